#include "Tests/LibFleet/CrashLoadFixture.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kFirstSharedPart = 100;
constexpr std::uint64_t kSharedParts = 3;
constexpr std::uint64_t kFirstRarePart = 1000;
constexpr std::uint64_t kExchangeSteps = 100;
constexpr std::size_t kMaxAttempts = 2;
constexpr std::size_t kMaxCrashesToRetry = 2;
constexpr std::size_t kSlots = 8;

} // namespace

CrashLoadFixture::Outcome
CrashLoadFixture::Run(const Load& aLoad,
                      base::Duration aTime,
                      std::uint64_t aSeed)
{
  load_ = aLoad;
  outcome_ = {};
  steps_ = 0;
  random_.seed(aSeed);
  hosts_.clear();
  endpoints_.clear();
  messages_.clear();
  refusedAt_.clear();
  soundRefused_.clear();
  for (std::size_t host = 0; host < load_.hosts_; ++host) {
    hosts_.push_back(
      std::make_unique<CrashAttribution>("h" + std::to_string(host)));
  }
  for (std::size_t endpoint = 0; endpoint < load_.endpoints_; ++endpoint) {
    endpoints_.push_back({ "e" + std::to_string(++lastEndpoint_), {}, now_ });
  }
  for (const base::Instant end = now_ + aTime; now_ < end;) {
    Step();
  }
  outcome_.soundRefused_ = soundRefused_.size();
  outcome_.badRefused_ = refusedAt_.size();
  return outcome_;
}

void
CrashLoadFixture::Step()
{
  now_ += 1ms;
  ++steps_;
  Deliver();
  for (Endpoint& endpoint : endpoints_) {
    Answer(endpoint);
    if (endpoint.crashesAt_ && *endpoint.crashesAt_ <= now_) {
      Crash(endpoint);
    }
  }
  CrashByThemselves();
  Arrive();
  if (steps_ % kExchangeSteps == 0) {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      Update(host);
      Broadcast(host);
    }
  }
}

void
CrashLoadFixture::Arrive()
{
  const auto arrive = [this](std::vector<std::uint64_t> aParts, bool aIsBad) {
    Request request;
    request.features_ = { ++lastContent_, std::move(aParts) };
    request.isBad_ = aIsBad;
    request.host_ =
      static_cast<std::size_t>(Draw(0, static_cast<int>(hosts_.size()) - 1));
    Send(std::move(request));
  };
  const auto drawShared = [this] {
    return kFirstSharedPart +
           static_cast<std::uint64_t>(Draw(0, 2)) % kSharedParts;
  };
  for (int count = DrawArrivals(load_.soundPerSecond_); count > 0; --count) {
    // A few rare parts are common among their kind.
    const double position =
      std::pow(std::uniform_real_distribution<double>(0, 1)(random_), 3.0);
    const auto rare = static_cast<std::uint64_t>(
      position * static_cast<double>(load_.rareParts_));
    arrive({ drawShared(), kFirstRarePart + rare }, false);
  }
  if (load_.badParts_ == 0 ||
      std::chrono::milliseconds(steps_) < load_.badFrom_) {
    return;
  }
  for (int count = DrawArrivals(load_.badPerSecond_); count > 0; --count) {
    std::vector<std::uint64_t> parts{ drawShared() };
    if (load_.areBadPartsTogether_) {
      for (std::uint64_t part = 0; part < load_.badParts_; ++part) {
        parts.push_back(part);
      }
    } else {
      parts.push_back(static_cast<std::uint64_t>(
        Draw(0, static_cast<int>(load_.badParts_) - 1)));
    }
    arrive(std::move(parts), true);
  }
}

std::optional<std::size_t>
CrashLoadFixture::Choose(const CrashAssessment& aAssessment)
{
  const auto* suspected = std::get_if<Suspected>(&aAssessment);
  std::vector<std::size_t> free;
  for (std::size_t index = 0; index < endpoints_.size(); ++index) {
    const Endpoint& endpoint = endpoints_[index];
    const bool hasCrashed =
      suspected != nullptr &&
      std::find(suspected->crashedEndpoints_.begin(),
                suspected->crashedEndpoints_.end(),
                endpoint.id_) != suspected->crashedEndpoints_.end();
    if (endpoint.upAt_ <= now_ && endpoint.running_.size() < kSlots &&
        !hasCrashed) {
      free.push_back(index);
    }
  }
  if (free.empty()) {
    return std::nullopt;
  }
  if (suspected == nullptr) {
    return free[static_cast<std::size_t>(
      Draw(0, static_cast<int>(free.size()) - 1))];
  }
  return *std::max_element(
    free.begin(), free.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return base::HashBytes(endpoints_[aLeft].id_, suspected->feature_) <
             base::HashBytes(endpoints_[aRight].id_, suspected->feature_);
    });
}

void
CrashLoadFixture::Send(Request aRequest)
{
  CrashAttribution& host = *hosts_[aRequest.host_];
  const CrashAssessment assessment = host.Assess(aRequest.features_, now_);
  const auto* suspected = std::get_if<Suspected>(&assessment);
  if (const auto* refusal = std::get_if<CrashesEndpoints>(&assessment)) {
    if (!refusal->isTrialDue_ || aRequest.attempts_ > 0) {
      return;
    }
    host.BeginTrial(refusal->feature_, now_);
  }
  const bool isGivenUp =
    aRequest.attempts_ >= kMaxAttempts ||
    (aRequest.attempts_ > 0 && suspected != nullptr &&
     suspected->crashedEndpoints_.size() >= kMaxCrashesToRetry);
  const auto chosen = isGivenUp ? std::nullopt : Choose(assessment);
  if (!chosen) {
    return;
  }
  for (const std::uint64_t part : aRequest.features_.parts_) {
    const auto refused = refusedAt_.find(part);
    if (IsBad(part) && refused != refusedAt_.end() &&
        now_ > refused->second + 1s) {
      ++outcome_.lateSends_;
    }
  }
  outcome_.soundSent_ += aRequest.isBad_ ? 0 : 1;
  Endpoint& endpoint = endpoints_[*chosen];
  ++aRequest.attempts_;
  aRequest.sentAt_ = now_;
  aRequest.endsAt_ = now_ + std::chrono::milliseconds(Draw(300, 800));
  if (aRequest.isBad_) {
    aRequest.endsAt_ = base::Instant::max();
    const base::Instant crash = now_ + std::chrono::milliseconds(Draw(60, 220));
    if (!endpoint.crashesAt_ || crash < *endpoint.crashesAt_) {
      endpoint.crashesAt_ = crash;
      endpoint.crashesByPart_ = true;
    }
  }
  endpoint.running_.push_back(std::move(aRequest));
}

void
CrashLoadFixture::Answer(Endpoint& aEndpoint)
{
  std::erase_if(aEndpoint.running_, [this](const Request& aRequest) {
    if (aRequest.endsAt_ > now_) {
      return false;
    }
    hosts_[aRequest.host_]->RecordAnswered(aRequest.features_, now_);
    return true;
  });
}

void
CrashLoadFixture::Crash(Endpoint& aEndpoint)
{
  outcome_.crashesByParts_ += aEndpoint.crashesByPart_ ? 1 : 0;
  std::vector<Request> broken = std::exchange(aEndpoint.running_, {});
  const EndpointIncarnation incarnation{ aEndpoint.id_, 1 };
  aEndpoint = { "e" + std::to_string(++lastEndpoint_),
                {},
                now_ + std::chrono::milliseconds(Draw(2000, 5000)) };
  std::set<std::size_t> concerned;
  for (Request& request : broken) {
    outcome_.soundBroken_ += request.isBad_ ? 0 : 1;
    hosts_[request.host_]->RecordBroken(
      { incarnation, request.features_, request.sentAt_, now_ });
    concerned.insert(request.host_);
  }
  for (const std::size_t host : concerned) {
    Update(host);
    Broadcast(host);
  }
  for (Request& request : broken) {
    Send(std::move(request));
  }
}

void
CrashLoadFixture::CrashByThemselves()
{
  const auto crashOne = [this] {
    Endpoint& endpoint = endpoints_[static_cast<std::size_t>(
      Draw(0, static_cast<int>(endpoints_.size()) - 1))];
    if (endpoint.upAt_ <= now_) {
      endpoint.crashesByPart_ = false;
      Crash(endpoint);
    }
  };
  for (int count = DrawArrivals(load_.ownCrashesPerSecond_); count > 0;
       --count) {
    crashOne();
  }
  const auto interval = load_.massCrashInterval_ / base::Duration(1ms);
  if (interval > 0 && steps_ % static_cast<std::uint64_t>(interval) == 0) {
    for (std::size_t count = load_.endpoints_ / 5; count > 0; --count) {
      crashOne();
    }
  }
}

void
CrashLoadFixture::Broadcast(std::size_t aHost)
{
  const CrashEvidence report = hosts_[aHost]->Report(now_);
  if (report.IsEmpty()) {
    return;
  }
  for (std::size_t to = 0; to < hosts_.size(); ++to) {
    const bool isLost = std::bernoulli_distribution(load_.lossRate_)(random_);
    if (to != aHost && !isLost) {
      messages_.emplace(now_ + std::chrono::milliseconds(Draw(2, 25)),
                        Message{ to, report, now_ });
    }
  }
}

void
CrashLoadFixture::Deliver()
{
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    Message message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    // Hosts send ages, so each time is later by the time on the way.
    const base::Duration delay = now_ - message.sentAt_;
    for (BrokenAttempt& attempt : message.evidence_.broken_) {
      attempt.sentAt_ += delay;
      attempt.brokeAt_ += delay;
    }
    for (AnsweredFeature& answered : message.evidence_.answered_) {
      answered.answeredAt_ += delay;
    }
    for (CrashVerdict& verdict : message.evidence_.verdicts_) {
      verdict.decidedAt_ += delay;
      verdict.liftedAt_ += delay;
    }
    hosts_[message.to_]->Merge(message.evidence_);
    Update(message.to_);
    if (hosts_[message.to_]->TakeHasNews()) {
      Broadcast(message.to_);
    }
  }
}

void
CrashLoadFixture::Update(std::size_t aHost)
{
  const auto changes = hosts_[aHost]->Update(
    now_, [](const std::string&, base::Instant) { return false; });
  for (const auto& change : changes) {
    if (change.decision_ != CrashAttribution::Decision::Refused) {
      continue;
    }
    if (IsBad(change.feature_)) {
      refusedAt_.emplace(change.feature_, now_);
    } else {
      soundRefused_.insert(change.feature_);
    }
  }
}

} // namespace pumiceturn::fleet
