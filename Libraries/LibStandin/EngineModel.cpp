#include "LibStandin/EngineModel.h"

#include "LibStandin/EngineAnswer.h"

#include <algorithm>

namespace pumiceturn::standin {

namespace {

constexpr double kMicrosecondsPerMs = 1000.0;

std::size_t
TokensOf(std::size_t aBytes)
{
  return (aBytes + EngineModel::kBytesPerToken - 1) /
         EngineModel::kBytesPerToken;
}

} // namespace

bool
EngineModel::Submit(Submission aSubmission)
{
  if (waiting_.size() >= options_.maxWaiting_) {
    return false;
  }
  waiting_.push_back(std::move(aSubmission));
  return true;
}

bool
EngineModel::Cancel(std::string_view aId)
{
  const auto running =
    std::find_if(running_.begin(), running_.end(), [&](const Stream& aStream) {
      return aStream.submission_.id_ == aId;
    });
  if (running != running_.end()) {
    cache_.Store(TextOf(*running));
    running_.erase(running);
    return true;
  }
  return std::erase_if(waiting_, [&](const Submission& aWaiting) {
           return aWaiting.id_ == aId;
         }) > 0;
}

std::string
EngineModel::TextOf(const Stream& aStream)
{
  std::string text = aStream.submission_.prompt_;
  for (std::size_t index = 0; index < aStream.position_; ++index) {
    text += aStream.answer_[index];
  }
  return text;
}

std::size_t
EngineModel::Admit()
{
  std::size_t prefill = 0;
  while (running_.size() < options_.maxRunning_ && !waiting_.empty()) {
    Stream stream;
    stream.submission_ = std::move(waiting_.front());
    waiting_.pop_front();
    stream.answer_ =
      EngineAnswer(stream.submission_.prompt_, stream.submission_.maxTokens_);
    stream.position_ = std::min<std::size_t>(stream.submission_.resumeFrom_,
                                             stream.answer_.size());
    const std::string text = TextOf(stream);
    const std::size_t cached = cache_.CachedBytes(text);
    stream.cachedTokens_ = static_cast<std::uint32_t>(TokensOf(cached));
    prefill += TokensOf(text.size() - cached);
    cache_.Store(text);
    running_.push_back(std::move(stream));
  }
  return prefill;
}

base::Duration
EngineModel::BeginStep()
{
  const std::size_t prefill = Admit();
  if (running_.empty()) {
    return base::Duration::zero();
  }
  for (Stream& stream : running_) {
    stream.stepped_ = true;
  }
  const double ms =
    options_.stepMs_ +
    options_.stepPerRunningMs_ * static_cast<double>(running_.size()) +
    options_.prefillPerTokenMs_ * static_cast<double>(prefill);
  return base::Duration{ static_cast<std::int64_t>(ms * kMicrosecondsPerMs) };
}

std::vector<Emission>
EngineModel::EndStep()
{
  std::vector<Emission> emissions;
  for (Stream& stream : running_) {
    if (!stream.stepped_) {
      continue;
    }
    Emission emission;
    emission.id_ = stream.submission_.id_;
    emission.cachedTokens_ = stream.cachedTokens_;
    if (stream.position_ < stream.answer_.size()) {
      emission.text_ = stream.answer_[stream.position_];
      ++stream.position_;
    }
    if (stream.position_ == stream.answer_.size()) {
      const bool isCut = stream.answer_.size() == stream.submission_.maxTokens_;
      emission.finishReason_ = isCut ? "length" : "stop";
      cache_.Store(TextOf(stream));
    }
    emissions.push_back(std::move(emission));
  }
  std::erase_if(running_, [](const Stream& aStream) {
    return aStream.stepped_ && aStream.position_ == aStream.answer_.size();
  });
  return emissions;
}

bool
EngineModel::MustCrash() const
{
  if (options_.crashMarker_.empty()) {
    return false;
  }
  return std::any_of(
    running_.begin(), running_.end(), [&](const Stream& aStream) {
      return aStream.submission_.prompt_.find(options_.crashMarker_) !=
             std::string::npos;
    });
}

void
EngineModel::Restart()
{
  waiting_.clear();
  running_.clear();
  cache_.Clear();
}

} // namespace pumiceturn::standin
