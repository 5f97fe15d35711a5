#include "LibLoad/LotRun.h"

#include "LibStandin/EngineAnswer.h"

#include <algorithm>

namespace pumiceturn::load {

namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr int kFirstNotRunCode = 200;
constexpr int kFirstRunCode = 300;

client::Client::Options
StartingAt(client::Client::Options aOptions, std::size_t aEntry)
{
  std::rotate(aOptions.entries_.begin(),
              aOptions.entries_.begin() +
                static_cast<std::ptrdiff_t>(aEntry % aOptions.entries_.size()),
              aOptions.entries_.end());
  return aOptions;
}

} // namespace

bool
StopSignal::WaitUntil(base::Instant aMoment)
{
  std::unique_lock lock(mutex_);
  return !wake_.wait_until(lock, aMoment, [this] { return isStopped_; });
}

void
StopSignal::Stop()
{
  const std::lock_guard lock(mutex_);
  isStopped_ = true;
  wake_.notify_all();
}

LotRun::LotRun(Options aOptions,
               std::span<const caller::JobItem> aItems,
               Recorder& aRecorder)
  : options_(std::move(aOptions))
  , items_(aItems)
  , recorder_(aRecorder)
  , client_(options_.client_)
  , hasResult_(aItems.size(), false)
{
}

void
LotRun::Run(StopSignal& aStop)
{
  const auto at = std::chrono::duration<double>(options_.plan_.at_s());
  const base::Instant start =
    recorder_.Start() + std::chrono::duration_cast<base::Duration>(at);
  if (!aStop.WaitUntil(start) || !Submit()) {
    return;
  }
  SubmitAgain();
  Follow();
  Conclude();
}

bool
LotRun::Submit()
{
  recorder_.Update([&](Counts& aCounts) { aCounts.sent_ += items_.size(); });
  caller::JobHeader header;
  header.set_service(options_.service_);
  header.set_kind(options_.plan_.kind());
  header.set_job_key(options_.jobKey_);
  header.set_max_tokens(options_.plan_.max_tokens());
  if (options_.plan_.due_s() > 0) {
    header.set_due_unix_ms(
      base::ToUnixMs(base::WallNow()) +
      static_cast<std::int64_t>(options_.plan_.due_s() * kMsPerSecond));
  }
  const auto outcome =
    base::Capture([&] { return client_.SubmitJob(header, items_); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    CountRefused(*failure);
    return false;
  }
  dueUnixMs_ = std::get<caller::SubmitJobReply>(outcome).due_unix_ms();
  recorder_.Update(
    [&](Counts& aCounts) { aCounts.accepted_ += items_.size(); });
  return true;
}

void
LotRun::CountRefused(const base::Failure& aFailure)
{
  const int code = static_cast<int>(aFailure.code_);
  recorder_.AddCode(static_cast<std::uint32_t>(code));
  recorder_.Update([&](Counts& aCounts) {
    const bool isNotRun = code >= kFirstNotRunCode && code < kFirstRunCode;
    (isNotRun ? aCounts.refusedNotRun_ : aCounts.unknown_) += items_.size();
  });
}

void
LotRun::SubmitAgain()
{
  caller::JobHeader header;
  header.set_service(options_.service_);
  header.set_kind(options_.plan_.kind());
  header.set_job_key(options_.jobKey_);
  header.set_max_tokens(options_.plan_.max_tokens());
  header.set_due_unix_ms(dueUnixMs_);
  for (std::uint32_t resend = 1; resend <= options_.plan_.resends(); ++resend) {
    client::Client other(StartingAt(options_.client_, resend));
    const auto outcome =
      base::Capture([&] { return other.SubmitJob(header, items_); });
    const auto* reply = std::get_if<caller::SubmitJobReply>(&outcome);
    const bool isSecondJob =
      reply != nullptr &&
      (!reply->duplicate() || reply->job_key() != options_.jobKey_);
    if (isSecondJob) {
      recorder_.Update(
        [&](Counts& aCounts) { aCounts.doubled_ += items_.size(); });
    }
  }
}

void
LotRun::Follow()
{
  caller::ReadResultsRequest request;
  request.set_job_key(options_.jobKey_);
  request.set_follow(true);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    options_.end_ - base::MonotonicNow());
  (void)base::Capture([&] {
    return client_.ReadResults(
      request,
      [&](const caller::ItemResult& aResult) { Take(aResult); },
      std::max(left, std::chrono::milliseconds{ 1 }));
  });
}

void
LotRun::Take(const caller::ItemResult& aResult)
{
  const std::uint32_t item = aResult.item();
  const std::uint32_t code = aResult.outcome().code();
  recorder_.AddBatchItem(aResult.tokens(), base::MonotonicNow());
  recorder_.AddCode(code);
  const bool isKnown = item < items_.size();
  const bool isSecond = isKnown && hasResult_[item];
  const bool isRight =
    isKnown && aResult.name() == items_[item].name() &&
    (code != 0 ||
     aResult.text() ==
       standin::EngineAnswerText(items_[item].prompt(), options_.maxTokens_));
  const bool isLate =
    dueUnixMs_ != 0 && base::ToUnixMs(base::WallNow()) > dueUnixMs_;
  recorder_.Update([&](Counts& aCounts) {
    aCounts.doubled_ += isSecond ? 1 : 0;
    aCounts.completed_ += isKnown && !isSecond ? 1 : 0;
    aCounts.failed_ += isKnown && !isSecond && code != 0 ? 1 : 0;
    aCounts.mixedUp_ += isRight ? 0 : 1;
    aCounts.dueMissed_ += isLate ? 1 : 0;
  });
  if (isKnown) {
    hasResult_[item] = true;
  }
}

void
LotRun::Conclude()
{
  const auto missing = static_cast<std::uint64_t>(
    std::count(hasResult_.begin(), hasResult_.end(), false));
  if (missing == 0) {
    return;
  }
  const auto outcome =
    base::Capture([&] { return client_.GetJob(options_.jobKey_); });
  const auto* status = std::get_if<caller::JobStatus>(&outcome);
  const bool isRunning =
    status != nullptr && status->state() == caller::JOB_STATE_RUNNING;
  const bool isLate =
    dueUnixMs_ != 0 && base::ToUnixMs(base::WallNow()) > dueUnixMs_;
  recorder_.Update([&](Counts& aCounts) {
    (isRunning ? aCounts.unfinished_ : aCounts.lost_) += missing;
    aCounts.dueMissed_ += isLate ? missing : 0;
  });
}

} // namespace pumiceturn::load
