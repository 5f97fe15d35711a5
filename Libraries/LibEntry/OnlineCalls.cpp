#include "LibEntry/OnlineCalls.h"

#include "LibEntry/Events.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace pumiceturn::entry {

namespace {

double
ToSeconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Two successive processes of a host must use different call numbers;
/// otherwise an owner could confuse a new call with one that it has already
/// answered.
std::uint64_t
MakeFirstCallNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | 1U;
}

} // namespace

OnlineCalls::OnlineCalls(node::Context aContext,
                         EndpointRouter::Options aRouting)
  : context_(aContext)
  , router_(std::move(aRouting))
  , nextCall_(MakeFirstCallNumber())
  , started_(
      aContext.metrics_.GetCounter("pumiceturn_calls_total",
                                   "Online calls that passed their checks."))
  , retries_(aContext.metrics_.GetCounter("pumiceturn_call_retries_total",
                                          "Runs of online calls beyond the "
                                          "first."))
  , failed_(aContext.metrics_.GetCounter("pumiceturn_calls_failed_total",
                                         "Online calls that ended without a "
                                         "durable result."))
  , firstToken_(
      aContext.metrics_.GetHistogram("pumiceturn_call_first_token_seconds",
                                     "Time to the first streamed text."))
  , duration_(aContext.metrics_.GetHistogram("pumiceturn_call_duration_seconds",
                                             "Time to the last message."))
{
}

std::uint64_t
OnlineCalls::Start(OnlineDescription aDescription, Sink aSink)
{
  const std::lock_guard lock(mutex_);
  const base::Instant now = base::MonotonicNow();
  const std::uint64_t call = nextCall_++;
  const routing::Suspicion suspicion =
    context_.quarantine_.Check(aDescription.fingerprint_, now);
  aDescription.quarantined_ = suspicion == routing::Suspicion::Quarantined;
  aDescription.record_.call_ = call;
  const std::uint32_t backoffMs = context_.settings_.entry().retry_backoff_ms();
  if (backoffMs > 0) {
    aDescription.backoff_ = std::chrono::milliseconds{ backoffMs };
  }
  const wire::JobId job = aDescription.record_.job_;
  ActiveCall active{ OnlineRequest(std::move(aDescription)),
                     std::move(aSink),
                     {},
                     suspicion == routing::Suspicion::Suspect,
                     now,
                     std::nullopt,
                     false,
                     {} };
  calls_.emplace(call, std::move(active));
  callsByJob_.emplace(job, call);
  started_.Add();
  Apply(call, [now](OnlineRequest& aRequest) { aRequest.Begin(now); });
  return call;
}

void
OnlineCalls::Cancel(std::uint64_t aCall)
{
  const std::lock_guard lock(mutex_);
  const base::Instant now = base::MonotonicNow();
  Apply(aCall, [now](OnlineRequest& aRequest) { aRequest.OnCallerGone(now); });
}

void
OnlineCalls::OnMessage(const std::string& aPeer, const wire::Message& aMessage)
{
  const std::lock_guard lock(mutex_);
  std::visit(
    [&](const auto& aContent) {
      using Content = std::decay_t<decltype(aContent)>;
      constexpr bool kIsHandled =
        std::is_same_v<Content, wire::Heartbeat> ||
        std::is_same_v<Content, wire::Chunk> ||
        std::is_same_v<Content, wire::RunEnded> ||
        std::is_same_v<Content, wire::RecordReply> ||
        std::is_same_v<Content, wire::RecordResultReply>;
      if constexpr (kIsHandled) {
        Handle(aPeer, aContent);
      }
    },
    aMessage);
}

void
OnlineCalls::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  const std::lock_guard lock(mutex_);
  const base::Instant now = base::MonotonicNow();
  router_.OnLinkState(aPeer, aState);
  if (aState == wire::LinkState::Up) {
    const auto uncancelled = uncancelledRuns_.find(aPeer);
    if (uncancelled != uncancelledRuns_.end()) {
      for (const wire::RunId& run : uncancelled->second) {
        context_.links_.Send(aPeer, wire::CancelRun{ run });
      }
      uncancelledRunCount_ -= uncancelled->second.size();
      uncancelledRuns_.erase(uncancelled);
    }
  }
  std::vector<std::uint64_t> numbers;
  numbers.reserve(calls_.size());
  for (const auto& [call, active] : calls_) {
    numbers.push_back(call);
  }
  for (const std::uint64_t call : numbers) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
      continue;
    }
    const bool isOwner = found->second.owner_ == aPeer;
    Apply(call, [&](OnlineRequest& aRequest) {
      aRequest.OnEndpointLink(aPeer, aState, now);
      if (isOwner) {
        aRequest.OnOwnerChanged();
      }
    });
  }
}

void
OnlineCalls::OnConfiguration(const configuration::Snapshot& aConfiguration)
{
  const std::lock_guard lock(mutex_);
  const auto& drained = aConfiguration.Content().drained_hosts();
  drainedByOperators_ = { drained.begin(), drained.end() };
  const auto links = router_.SetConfiguration(
    aConfiguration,
    [this](const std::string& aEndpoint) { return IsDrained(aEndpoint); });
  std::map<std::string, std::string> wanted;
  for (const EndpointRouter::Link& link : links) {
    wanted.emplace(link.endpoint_, link.address_);
    const auto known = linkAddresses_.find(link.endpoint_);
    if (known == linkAddresses_.end() || known->second != link.address_) {
      context_.links_.Connect(link.endpoint_, link.address_);
    }
    if (context_.links_.IsUp(link.endpoint_)) {
      router_.OnLinkState(link.endpoint_, wire::LinkState::Up);
    }
  }
  for (const auto& [endpoint, address] : linkAddresses_) {
    // An endpoint that is still declared may also be linked by the keeper in
    // this process.
    const bool isGone = !wanted.contains(endpoint) &&
                        aConfiguration.FindEndpoint(endpoint) == nullptr;
    if (isGone) {
      context_.links_.Disconnect(endpoint);
    }
  }
  linkAddresses_ = std::move(wanted);
}

void
OnlineCalls::OnHostList(const settings::HostList& aHosts)
{
  const std::lock_guard lock(mutex_);
  leavingByHostList_.clear();
  for (const settings::ListedHost& host : aHosts.hosts()) {
    if (host.state() == settings::HOST_STATE_LEAVING) {
      leavingByHostList_.insert(host.name());
    }
  }
  for (const auto& [endpoint, address] : linkAddresses_) {
    router_.SetDrained(endpoint, IsDrained(endpoint));
  }
}

bool
OnlineCalls::HasJob(const wire::JobId& aJob) const
{
  const std::lock_guard lock(mutex_);
  return callsByJob_.contains(aJob) || finishedJobs_.contains(aJob);
}

std::size_t
OnlineCalls::Count() const
{
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

bool
OnlineCalls::HasEntryRun(const wire::RunId& aRun) const
{
  if (!OnlineRequest::IsEntryAttempt(aRun.attempt_)) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  return callsByJob_.contains(aRun.job_) || finishedJobs_.contains(aRun.job_);
}

std::map<std::string, wire::Heartbeat>
OnlineCalls::Heartbeats() const
{
  const std::lock_guard lock(mutex_);
  return heartbeats_;
}

void
OnlineCalls::Handle(const std::string& aPeer, const wire::Heartbeat& aMessage)
{
  const base::Instant now = base::MonotonicNow();
  // If the link came up during startup, OnLinkState() wasn't called for it.
  if (context_.links_.IsUp(aPeer)) {
    router_.OnLinkState(aPeer, wire::LinkState::Up);
  }
  router_.OnHeartbeat(aPeer, aMessage, now);
  heartbeats_[aPeer] = aMessage;
}

void
OnlineCalls::Handle(const std::string& /*aPeer*/, const wire::Chunk& aMessage)
{
  const base::Instant now = base::MonotonicNow();
  ApplyToJob(aMessage.run_.job_,
             [&](OnlineRequest& aRequest) { aRequest.OnChunk(aMessage, now); });
}

void
OnlineCalls::Handle(const std::string& aPeer, const wire::RunEnded& aMessage)
{
  const base::Instant now = base::MonotonicNow();
  const wire::JobId job = aMessage.run_.job_;
  if (finishedJobs_.contains(job)) {
    context_.links_.Send(aPeer, wire::RunRecorded{ aMessage.run_ });
    return;
  }
  for (const std::uint64_t call : CallsOf(job)) {
    ActiveCall& active = calls_.at(call);
    if (active.request_.Endpoint() != aPeer) {
      active.earlierRuns_.push_back(EarlierRun{ aPeer, aMessage.run_ });
    }
  }
  ApplyToJob(job, [&](OnlineRequest& aRequest) {
    aRequest.OnRunEnded(aPeer, aMessage, now);
  });
}

void
OnlineCalls::Handle(const std::string& /*aPeer*/,
                    const wire::RecordReply& aMessage)
{
  const auto found = calls_.find(aMessage.call_);
  if (found == calls_.end()) {
    return;
  }
  if (!aMessage.ownerHint_.empty()) {
    const auto& job = found->second.request_.Description().record_.job_;
    context_.partitions_.Hint(
      base::PartitionOf(job, context_.partitions_.Count()),
      aMessage.ownerHint_);
  }
  const base::Instant now = base::MonotonicNow();
  Apply(aMessage.call_, [&](OnlineRequest& aRequest) {
    aRequest.OnRecordReply(aMessage, now);
  });
}

void
OnlineCalls::Handle(const std::string& /*aPeer*/,
                    const wire::RecordResultReply& aMessage)
{
  const auto found = calls_.find(aMessage.call_);
  if (found == calls_.end()) {
    return;
  }
  if (!aMessage.ownerHint_.empty()) {
    const auto& job = found->second.request_.Description().record_.job_;
    context_.partitions_.Hint(
      base::PartitionOf(job, context_.partitions_.Count()),
      aMessage.ownerHint_);
  }
  const base::Instant now = base::MonotonicNow();
  Apply(aMessage.call_, [&](OnlineRequest& aRequest) {
    aRequest.OnRecordResultReply(aMessage, now);
  });
}

template<typename Event>
void
OnlineCalls::Apply(std::uint64_t aCall, Event aEvent)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  aEvent(found->second.request_);
  ExecuteActions(aCall, found->second);
}

template<typename Event>
void
OnlineCalls::ApplyToJob(const wire::JobId& aJob, Event aEvent)
{
  for (const std::uint64_t call : CallsOf(aJob)) {
    Apply(call, aEvent);
  }
}

void
OnlineCalls::ExecuteActions(std::uint64_t aCall, ActiveCall& aActive)
{
  while (true) {
    std::deque<OnlineAction> actions = aActive.request_.TakeActions();
    if (actions.empty()) {
      break;
    }
    for (OnlineAction& action : actions) {
      std::visit([&](auto& aAction) { Execute(aActive, aAction); }, action);
    }
  }
  if (aActive.request_.IsDone()) {
    Remove(aCall, aActive);
  } else {
    ScheduleTimer(aCall, aActive);
  }
}

void
OnlineCalls::Remove(std::uint64_t aCall, ActiveCall& aActive)
{
  const wire::JobId job = aActive.request_.Description().record_.job_;
  if (aActive.request_.IsResultDurable() && finishedJobs_.insert(job).second) {
    for (const EarlierRun& stale : aActive.earlierRuns_) {
      context_.links_.Send(stale.endpoint_, wire::RunRecorded{ stale.run_ });
    }
    finishedJobOrder_.push_back(job);
    if (finishedJobOrder_.size() > kMaxFinishedJobs) {
      finishedJobs_.erase(finishedJobOrder_.front());
      finishedJobOrder_.pop_front();
    }
  }
  const auto [first, last] = callsByJob_.equal_range(job);
  const auto own = std::find_if(
    first, last, [aCall](const auto& aItem) { return aItem.second == aCall; });
  callsByJob_.erase(own);
  calls_.erase(aCall);
}

void
OnlineCalls::ScheduleTimer(std::uint64_t aCall, ActiveCall& aActive)
{
  const auto wake = aActive.request_.NextTimer();
  const bool isScheduled = !wake.has_value() || (aActive.wakeAt_.has_value() &&
                                                 *aActive.wakeAt_ <= *wake);
  if (isScheduled) {
    return;
  }
  aActive.wakeAt_ = wake;
  context_.pool_.PostAt(*wake, [self = weak_from_this(), aCall, time = *wake] {
    if (const auto calls = self.lock()) {
      calls->OnCallTimer(aCall, time);
    }
  });
}

void
OnlineCalls::OnCallTimer(std::uint64_t aCall, base::Instant aTime)
{
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.wakeAt_ == aTime) {
    found->second.wakeAt_.reset();
  }
  const base::Instant now = base::MonotonicNow();
  Apply(aCall, [now](OnlineRequest& aRequest) { aRequest.OnTimer(now); });
}

void
OnlineCalls::Execute(ActiveCall& aActive, SendToOwner& aAction)
{
  const base::Instant now = base::MonotonicNow();
  const std::uint32_t count = context_.partitions_.Count();
  if (count > 0) {
    const auto& job = aActive.request_.Description().record_.job_;
    aActive.owner_ =
      context_.partitions_.OwnerOf(base::PartitionOf(job, count));
  }
  const bool isSent =
    !aActive.owner_.empty() &&
    context_.links_.Send(aActive.owner_, std::move(aAction.message_)) ==
      base::ResultCode::Ok;
  if (isSent) {
    aActive.request_.OnOwnerSent(now);
  } else {
    aActive.request_.OnOwnerUnreachable(now);
  }
}

void
OnlineCalls::Execute(ActiveCall& aActive, SendToEndpoint& aAction)
{
  const bool isStart = std::holds_alternative<wire::StartRun>(aAction.message_);
  const auto* cancel = std::get_if<wire::CancelRun>(&aAction.message_);
  const wire::RunId cancelled =
    cancel != nullptr ? cancel->run_ : wire::RunId{};
  const bool isCancel = cancel != nullptr;
  const bool isSent =
    context_.links_.Send(aAction.endpoint_, std::move(aAction.message_)) ==
    base::ResultCode::Ok;
  if (isSent) {
    return;
  }
  if (isStart) {
    aActive.request_.OnStartNotSent(aAction.endpoint_, base::MonotonicNow());
  }
  if (isCancel && uncancelledRunCount_ < kMaxUncancelledRuns) {
    uncancelledRuns_[aAction.endpoint_].push_back(cancelled);
    ++uncancelledRunCount_;
  }
}

void
OnlineCalls::Execute(ActiveCall& aActive, ChooseEndpoint& aAction)
{
  const base::Instant now = base::MonotonicNow();
  const OnlineDescription& description = aActive.request_.Description();
  const wire::RecordRequest& record = description.record_;
  const routing::Suspicion suspicion =
    context_.quarantine_.Check(description.fingerprint_, now);
  aActive.suspect_ = suspicion == routing::Suspicion::Suspect;
  if (suspicion == routing::Suspicion::Quarantined) {
    aActive.request_.OnNoEndpoint(base::ResultCode::Quarantined, 0, now);
    return;
  }
  const auto route = router_.Choose(RouteRequest{ record.service_,
                                                  description.prefix_,
                                                  aActive.suspect_,
                                                  aAction.isRetry_,
                                                  aActive.request_.Tried() },
                                    now);
  if (const auto* none = std::get_if<NoRoute>(&route)) {
    base::Log(kNotRouted,
              { { "request", base::ToString(record.job_) },
                { "service", record.service_ },
                { "code", base::NameOf(none->code_) },
                { "tried", aActive.request_.Tried().size() },
                { "retry_after_ms", none->retryAfterMs_ } });
    aActive.request_.OnNoEndpoint(none->code_, none->retryAfterMs_, now);
    return;
  }
  const auto& choice = std::get<routing::Choice>(route);
  const std::int64_t age = choice.reportAge_ == base::Duration::max()
                             ? -1
                             : base::ToMs(choice.reportAge_);
  base::Log(kRoutingDecision,
            { { "request", base::ToString(record.job_) },
              { "service", record.service_ },
              { "endpoint", choice.endpoint_ },
              { "reason", routing::NameOf(choice.reason_) },
              { "load", choice.load_ },
              { "other", choice.other_ },
              { "other_load", choice.otherLoad_ },
              { "report_age_ms", age },
              { "attempt", aActive.request_.RunCount() + 1 },
              { "suspect", aActive.suspect_ } });
  if (aAction.isRetry_) {
    retries_.Add();
  }
  router_.OnStarted(
    record.service_, choice.endpoint_, description.prefix_, aActive.suspect_);
  aActive.request_.OnEndpoint(choice.endpoint_, now);
}

void
OnlineCalls::Execute(ActiveCall& aActive, ReportRunEnd& aAction)
{
  router_.OnEnded(aActive.request_.Description().record_.service_,
                  aAction.endpoint_,
                  aActive.suspect_,
                  aAction.outcome_,
                  base::MonotonicNow());
}

void
OnlineCalls::Execute(ActiveCall& aActive, QuarantineContent& /*aAction*/)
{
  const std::uint64_t fingerprint = aActive.request_.Description().fingerprint_;
  // The crashes may already have been merged from agents' heartbeats, or an
  // operator may have lifted the quarantine.
  const base::Instant now = base::MonotonicNow();
  const std::array fingerprints{ fingerprint };
  while (context_.quarantine_.Check(fingerprint, now) !=
         routing::Suspicion::Quarantined) {
    context_.quarantine_.RecordCrash(fingerprints, now);
  }
  base::Log(kContentQuarantined,
            { { "fingerprint", fmt::format("{:016x}", fingerprint) } });
  // Informs the other entries before the caller retries there.
  context_.links_.HeartbeatNow();
}

void
OnlineCalls::Execute(ActiveCall& aActive, EmitAccepted& aAction)
{
  aActive.sink_(aAction);
}

void
OnlineCalls::Execute(ActiveCall& aActive, EmitChunk& aAction)
{
  if (!aActive.hasStreamed_) {
    aActive.hasStreamed_ = true;
    firstToken_.Record(ToSeconds(base::MonotonicNow() - aActive.startedAt_));
  }
  aActive.sink_(std::move(aAction));
}

void
OnlineCalls::Execute(ActiveCall& aActive, EmitFinished& aAction)
{
  duration_.Record(ToSeconds(base::MonotonicNow() - aActive.startedAt_));
  aActive.sink_(std::move(aAction));
}

void
OnlineCalls::Execute(ActiveCall& aActive, EmitFailed& aAction)
{
  failed_.Add();
  const wire::RecordRequest& record = aActive.request_.Description().record_;
  base::Log(kCallFailed,
            { { "request", base::ToString(record.job_) },
              { "partner", record.partner_ },
              { "service", record.service_ },
              { "code", base::NameOf(aAction.code_) },
              { "ran", static_cast<int>(aAction.ran_) },
              { "retry_after_ms", aAction.retryAfterMs_ },
              { "detail", aAction.detail_ } });
  aActive.sink_(std::move(aAction));
}

bool
OnlineCalls::IsDrained(const std::string& aEndpoint) const
{
  return drainedByOperators_.contains(aEndpoint) ||
         leavingByHostList_.contains(aEndpoint);
}

std::vector<std::uint64_t>
OnlineCalls::CallsOf(const wire::JobId& aJob) const
{
  std::vector<std::uint64_t> calls;
  const auto [first, last] = callsByJob_.equal_range(aJob);
  for (auto item = first; item != last; ++item) {
    calls.push_back(item->second);
  }
  return calls;
}

} // namespace pumiceturn::entry
