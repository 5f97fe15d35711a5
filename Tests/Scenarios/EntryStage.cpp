#include "Scenarios/EntryStage.h"

#include "Scenarios/Names.h"

#include "LibStandin/EngineAnswer.h"

#include <algorithm>

namespace pumiceturn::scenarios {

namespace {

constexpr const char* kService = "origin-llm";
constexpr base::Duration kOwnerDelay{ std::chrono::milliseconds{ 2 } };
constexpr base::Duration kFirstToken{ std::chrono::milliseconds{ 20 } };
constexpr base::Duration kTokenTime{ std::chrono::milliseconds{ 10 } };

entry::EndpointRouter::Options
MakeRouterOptions()
{
  entry::EndpointRouter::Options options;
  options.host_ = "entry-1";
  options.failureDomain_ = "dk-east-a";
  options.seed_ = 7;
  return options;
}

declarations::Configuration
MakeConfiguration(std::uint32_t aEndpoints)
{
  declarations::Configuration configuration;
  configuration.set_version(1);
  declarations::Service& service =
    *configuration.mutable_declarations()->add_services();
  service.set_name(kService);
  for (std::uint32_t index = 1; index <= aEndpoints; ++index) {
    declarations::Endpoint& endpoint = *service.add_endpoints();
    endpoint.set_name("endpoint-" + std::to_string(index));
    endpoint.set_failure_domain("dk-east-a");
    endpoint.set_max_running(8);
  }
  return configuration;
}

} // namespace

EntryStage::EntryStage(Arguments& aArguments)
  : router_(MakeRouterOptions())
{
  const std::uint32_t count = aArguments.Number("endpoints", 2);
  const configuration::Snapshot snapshot(MakeConfiguration(count));
  for (const auto& link : router_.SetConfiguration(
         snapshot, [](const std::string&) { return false; })) {
    endpoints_[link.endpoint_];
    router_.OnLinkState(link.endpoint_, wire::LinkState::Up);
  }
}

void
EntryStage::At(base::Duration aDelay, std::function<void()> aEvent)
{
  events_.emplace(now_ + aDelay, std::move(aEvent));
}

void
EntryStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  const std::string key = aArguments.Text("key", name);
  CallState call;
  call.prompt_ = aArguments.Text("prompt", key);
  call.tokens_ = aArguments.Number("tokens", 8);
  entry::OnlineDescription description;
  description.record_.call_ = nextJob_++;
  description.record_.job_ = base::MakeJobId("slaegtsspor", key);
  description.record_.service_ = kService;
  description.record_.payload_ = call.prompt_;
  description.record_.maxTokens_ = call.tokens_;
  description.record_.idempotent_ = aArguments.Flag("idempotent", true);
  description.isStreaming_ = description.record_.idempotent_;
  description.deadline_ =
    now_ + aArguments.Time("deadline", std::chrono::seconds{ 10 });
  description.random_ = description.record_.call_ << 33U;
  call.request_ =
    std::make_unique<entry::OnlineRequest>(std::move(description));
  CallState& placed = calls_[name] = std::move(call);
  placed.request_->Begin(now_);
  Collect(name);
}

void
EntryStage::Submit(Arguments& /*aArguments*/)
{
  throw ScenarioError("an entry's decisions have no lots");
}

void
EntryStage::Fault(Arguments& aArguments)
{
  if (aArguments.Has("chunks")) {
    const std::string order = aArguments.Text("chunks");
    chunkOrder_ = order == "reversed"  ? ChunkOrder::Reversed
                  : order == "doubled" ? ChunkOrder::Doubled
                                       : ChunkOrder::Kept;
  }
  if (aArguments.Has("endpoint_lost")) {
    SetLink(aArguments.Text("endpoint_lost"), wire::LinkState::Lost);
  }
  if (aArguments.Has("endpoint_back")) {
    SetLink(aArguments.Text("endpoint_back"), wire::LinkState::Up);
  }
  if (aArguments.Has("endpoint_killed")) {
    SetLink(aArguments.Text("endpoint_killed"), wire::LinkState::Replaced);
  }
  if (aArguments.Has("endpoint_refuses")) {
    endpoints_.at(aArguments.Text("endpoint_refuses")).refuses_ = true;
  }
  if (aArguments.Has("endpoint_leaving")) {
    wire::Heartbeat heartbeat;
    heartbeat.draining_ = true;
    heartbeat.capacity_ = 8;
    router_.OnHeartbeat(aArguments.Text("endpoint_leaving"), heartbeat, now_);
  }
  if (aArguments.Has("owner")) {
    ownerIsUp_ = aArguments.Text("owner") == "up";
    for (auto& [name, call] : calls_) {
      call.request_->OnOwnerChanged();
      Collect(name);
    }
  }
}

void
EntryStage::SetLink(const std::string& aEndpoint, wire::LinkState aState)
{
  Endpoint& endpoint = endpoints_.at(aEndpoint);
  endpoint.linked_ = aState == wire::LinkState::Up;
  if (aState == wire::LinkState::Replaced) {
    ++endpoint.incarnation_;
    endpoint.said_.clear();
  }
  router_.OnLinkState(aEndpoint, aState);
  for (auto& [name, call] : calls_) {
    call.request_->OnEndpointLink(aEndpoint, aState, now_);
    Collect(name);
  }
}

void
EntryStage::Advance(base::Duration aTime)
{
  const base::Instant end = now_ + aTime;
  while (true) {
    base::Instant next = end;
    if (!events_.empty()) {
      next = std::min(next, events_.begin()->first);
    }
    for (const auto& [name, call] : calls_) {
      const auto wake = call.request_->NextTimer();
      next = wake ? std::min(next, std::max(*wake, now_)) : next;
    }
    now_ = std::max(now_, next);
    if (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
      continue;
    }
    bool hasWoken = false;
    for (auto& [name, call] : calls_) {
      const auto wake = call.request_->NextTimer();
      if (wake && *wake <= now_ && now_ < end) {
        call.request_->OnTimer(now_);
        Collect(name);
        hasWoken = true;
      }
    }
    if (!hasWoken && now_ >= end) {
      return;
    }
  }
}

void
EntryStage::Collect(const std::string& aName)
{
  entry::OnlineRequest& request = *calls_.at(aName).request_;
  for (auto actions = request.TakeActions(); !actions.empty();
       actions = request.TakeActions()) {
    for (const entry::OnlineAction& action : actions) {
      std::visit([&](const auto& aOne) { Do(aName, aOne); }, action);
    }
  }
}

void
EntryStage::Do(const std::string& aName, const entry::SendToOwner& aAction)
{
  entry::OnlineRequest& request = *calls_.at(aName).request_;
  if (!ownerIsUp_) {
    request.OnOwnerUnreachable(now_);
    return;
  }
  request.OnOwnerSent(now_);
  At(kOwnerDelay, [this, aName, message = aAction.message_] {
    if (ownerIsUp_) {
      AnswerOwner(aName, message);
    }
  });
}

void
EntryStage::AnswerOwner(const std::string& aName, const wire::Message& aMessage)
{
  entry::OnlineRequest& request = *calls_.at(aName).request_;
  const wire::JobId job = request.Description().record_.job_;
  if (std::holds_alternative<wire::RecordRequest>(aMessage)) {
    wire::RecordReply reply;
    if (recorded_.contains(job)) {
      reply.state_ = wire::RecordState::Finished;
      reply.result_ = recorded_.at(job);
    }
    accepted_.insert(job);
    request.OnRecordReply(reply, now_);
  }
  if (const auto* result = std::get_if<wire::RecordResult>(&aMessage)) {
    wire::RecordResultReply reply;
    if (result->result_.ran_ == base::Ran::NotRun) {
      accepted_.erase(job);
      reply.first_ = true;
    } else {
      reply.first_ = recorded_.try_emplace(job, result->result_).second;
      reply.result_ = recorded_.at(job);
    }
    request.OnRecordResultReply(reply, now_);
  }
  Collect(aName);
}

void
EntryStage::Do(const std::string& aName, const entry::ChooseEndpoint& aAction)
{
  entry::OnlineRequest& request = *calls_.at(aName).request_;
  entry::RouteRequest route;
  route.service_ = kService;
  route.isRetry_ = aAction.isRetry_;
  route.tried_ = request.Tried();
  const auto chosen = router_.Choose(route, now_);
  if (const auto* choice = std::get_if<routing::Choice>(&chosen)) {
    router_.OnStarted(kService, choice->endpoint_, 0, false);
    request.OnEndpoint(choice->endpoint_, now_);
    return;
  }
  const auto& none = std::get<entry::NoRoute>(chosen);
  request.OnNoEndpoint(none.code_, none.retryAfterMs_, now_);
}

void
EntryStage::Do(const std::string& aName, const entry::SendToEndpoint& aAction)
{
  Endpoint& endpoint = endpoints_.at(aAction.endpoint_);
  const auto* order = std::get_if<wire::StartRun>(&aAction.message_);
  if (!endpoint.linked_) {
    if (order != nullptr) {
      calls_.at(aName).request_->OnStartNotSent(aAction.endpoint_, now_);
    }
    return;
  }
  if (order != nullptr) {
    StartRun(aName, aAction.endpoint_, *order);
  }
  const auto* attach = std::get_if<wire::AttachRun>(&aAction.message_);
  if (attach == nullptr) {
    return;
  }
  for (const wire::Message& said : endpoint.said_[attach->run_]) {
    const auto* chunk = std::get_if<wire::Chunk>(&said);
    if (chunk == nullptr || chunk->sequence_ > attach->receivedSequence_) {
      At(kOwnerDelay, [this, aName, name = aAction.endpoint_, said] {
        Deliver(aName, name, said);
      });
    }
  }
}

void
EntryStage::StartRun(const std::string& aName,
                     const std::string& aEndpoint,
                     const wire::StartRun& aOrder)
{
  Endpoint& endpoint = endpoints_.at(aEndpoint);
  wire::RunEnded ended;
  ended.run_ = aOrder.run_;
  if (endpoint.refuses_) {
    ended.code_ = base::ResultCode::Overloaded;
    ended.ran_ = base::Ran::NotRun;
    Say(aName, aEndpoint, kOwnerDelay, ended);
    return;
  }
  ++endpoint.runs_;
  ++calls_.at(aName).runs_;
  const auto tokens = standin::EngineAnswer(aOrder.payload_, aOrder.maxTokens_);
  const base::Duration last = kFirstToken + kTokenTime * tokens.size();
  for (std::size_t index = 0; index < tokens.size(); ++index) {
    const base::Duration inOrder = kFirstToken + kTokenTime * index;
    const bool isReversed = chunkOrder_ == ChunkOrder::Reversed;
    const wire::Chunk chunk{ aOrder.run_, index + 1, tokens[index], 1 };
    Say(aName, aEndpoint, isReversed ? last - inOrder : inOrder, chunk);
    if (chunkOrder_ == ChunkOrder::Doubled) {
      Say(aName, aEndpoint, inOrder, chunk);
    }
  }
  ended.ran_ = base::Ran::Ran;
  ended.lastSequence_ = tokens.size();
  for (const std::string& token : tokens) {
    ended.text_ += aOrder.wantChunks_ ? "" : token;
  }
  Say(aName, aEndpoint, last, ended);
}

void
EntryStage::Say(const std::string& aName,
                const std::string& aEndpoint,
                base::Duration aDelay,
                wire::Message aMessage)
{
  const std::uint64_t incarnation = endpoints_.at(aEndpoint).incarnation_;
  At(aDelay,
     [this, aName, aEndpoint, incarnation, message = std::move(aMessage)] {
       Endpoint& endpoint = endpoints_.at(aEndpoint);
       if (endpoint.incarnation_ != incarnation) {
         return;
       }
       const wire::RunId run = std::visit(
         [](const auto& aOne) {
           if constexpr (requires { aOne.run_; }) {
             return wire::RunId(aOne.run_);
           } else {
             return wire::RunId{};
           }
         },
         message);
       endpoint.said_[run].push_back(message);
       Deliver(aName, aEndpoint, message);
     });
}

void
EntryStage::Deliver(const std::string& aName,
                    const std::string& aEndpoint,
                    const wire::Message& aMessage)
{
  if (!endpoints_.at(aEndpoint).linked_) {
    return;
  }
  entry::OnlineRequest& request = *calls_.at(aName).request_;
  if (const auto* chunk = std::get_if<wire::Chunk>(&aMessage)) {
    request.OnChunk(*chunk, now_);
  } else if (const auto* ended = std::get_if<wire::RunEnded>(&aMessage)) {
    request.OnRunEnded(aEndpoint, *ended, now_);
  }
  Collect(aName);
}

void
EntryStage::Do(const std::string& /*aName*/, const entry::ReportRunEnd& aAction)
{
  router_.OnEnded(kService, aAction.endpoint_, false, aAction.outcome_, now_);
}

void
EntryStage::Do(const std::string& aName, const entry::EmitAccepted&)
{
  calls_.at(aName).accepted_ = true;
}

void
EntryStage::Do(const std::string& aName, const entry::EmitChunk& aAction)
{
  calls_.at(aName).streamed_ += aAction.text_;
}

void
EntryStage::Do(const std::string& aName, const entry::EmitFinished& aAction)
{
  CallState& call = calls_.at(aName);
  call.ended_ = base::NameOf(aAction.result_.code_);
  call.ran_ = NameOf(aAction.result_.ran_);
  call.streamedWhole_ = aAction.isTextStreamed_;
  call.final_ = aAction.result_.text_;
}

void
EntryStage::Do(const std::string& aName, const entry::EmitFailed& aAction)
{
  CallState& call = calls_.at(aName);
  call.ended_ = base::NameOf(aAction.code_);
  call.ran_ = NameOf(aAction.ran_);
}

std::string
EntryStage::Observe(const std::string& aSubject, const std::string& aField)
{
  if (const auto found = endpoints_.find(aSubject);
      found != endpoints_.end() && aField == "runs") {
    return std::to_string(found->second.runs_);
  }
  const auto found = calls_.find(aSubject);
  if (found == calls_.end()) {
    throw ScenarioError("nothing is called " + aSubject);
  }
  const CallState& call = found->second;
  const std::string whole =
    standin::EngineAnswerText(call.prompt_, call.tokens_);
  if (aField == "ended") {
    return call.ended_;
  }
  if (aField == "ran") {
    return call.ran_;
  }
  if (aField == "runs") {
    return std::to_string(call.runs_);
  }
  if (aField == "accepted") {
    return YesOrNo(call.accepted_);
  }
  if (aField == "streamed") {
    return JudgeAnswer(call.streamed_, whole);
  }
  if (aField == "answer") {
    return JudgeAnswer(call.streamedWhole_ ? call.streamed_ : call.final_,
                       whole);
  }
  throw ScenarioError("a call has no " + aField);
}

} // namespace pumiceturn::scenarios
