#include "FakeFleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <numeric>

namespace pumiceturn::entry {

namespace {

using base::Ran;
using base::ResultCode;

/// A keeper that accepts all requests.
struct AcceptingKeeper
{
  void operator()(FakePeer& aSelf,
                  const std::string& aFrom,
                  const wire::Message& aMessage)
  {
    if (const auto* request = std::get_if<wire::RecordRequest>(&aMessage)) {
      wire::RecordReply reply;
      reply.call_ = request->call_;
      aSelf.Send(aFrom, reply);
    } else if (const auto* result =
                 std::get_if<wire::RecordResult>(&aMessage)) {
      wire::RecordResultReply reply;
      reply.call_ = result->call_;
      reply.first_ = true;
      aSelf.Send(aFrom, reply);
    } else if (const auto* frame = std::get_if<wire::SubmitFrame>(&aMessage)) {
      wire::SubmitReply reply;
      reply.call_ = frame->call_;
      reply.job_ = frame->job_;
      aSelf.Send(aFrom, reply);
    } else if (const auto* read = std::get_if<wire::ReadResults>(&aMessage)) {
      aSelf.Send(aFrom, MakePage(*read));
    }
  }

  wire::ResultsPage MakePage(const wire::ReadResults& aRead) const
  {
    wire::ResultsPage page;
    page.call_ = aRead.call_;
    for (std::uint32_t position = aRead.from_;
         position < results_ && page.items_.size() < pageItems_;
         ++position) {
      wire::ItemResult item;
      item.position_ = position;
      item.text_ = "result " + std::to_string(position);
      item.ran_ = Ran::Ran;
      page.items_.push_back(item);
    }
    page.ended_ = aRead.from_ + pageItems_ >= results_;
    return page;
  }

  std::uint32_t results_ = 3;
  std::uint32_t pageItems_ = 2;
};

void
SendChunk(FakePeer& aAgent,
          const wire::RunId& aRun,
          std::uint64_t aSequence,
          const std::string& aText)
{
  aAgent.Send("entry", wire::Chunk{ aRun, aSequence, aText, 1 });
}

void
SendEnd(FakePeer& aAgent, const wire::RunId& aRun, std::uint64_t aLast)
{
  wire::RunEnded ended;
  ended.run_ = aRun;
  ended.lastSequence_ = aLast;
  ended.ran_ = Ran::Ran;
  aAgent.Send("entry", ended);
}

/// Agent script: answers each run with "from Fyn".
void
AnswerRun(FakePeer& aSelf, const std::string&, const wire::Message& aMessage)
{
  if (const auto* start = std::get_if<wire::StartRun>(&aMessage)) {
    SendChunk(aSelf, start->run_, 1, "from ");
    SendChunk(aSelf, start->run_, 2, "Fyn");
    SendEnd(aSelf, start->run_, 2);
  }
}

/// Agent script: starts each run and never finishes it.
void
BeginRun(FakePeer& aSelf, const std::string&, const wire::Message& aMessage)
{
  if (const auto* start = std::get_if<wire::StartRun>(&aMessage)) {
    SendChunk(aSelf, start->run_, 1, "from ");
  }
}

caller::CallRequest
MakeLookUp()
{
  caller::CallRequest request;
  request.set_service("origin-llm");
  request.set_kind("look-up");
  request.set_prompt("Rasmussen?");
  request.set_request_key("look-up-1");
  return request;
}

/// The events and the status of one call.
struct ObservedCall
{
  std::string text_;
  int accepted_ = 0;
  std::optional<caller::CallFinished> finished_;
  grpc::Status status_;
  caller::Outcome outcome_;
};

ObservedCall
Call(FakeFleet& aFleet,
     const caller::CallRequest& aRequest,
     const std::string& aToken = FakeFleet::kToken,
     const std::function<void()>& aOnChunk = {})
{
  const auto context = FakeFleet::MakeContext(aToken);
  const auto stream = aFleet.Callers().Call(context.get(), aRequest);
  ObservedCall observed;
  caller::CallEvent event;
  while (stream->Read(&event)) {
    observed.accepted_ += event.has_accepted() ? 1 : 0;
    if (event.has_chunk()) {
      observed.text_ += event.chunk().text();
      if (aOnChunk) {
        aOnChunk();
      }
    } else if (event.has_finished()) {
      observed.finished_ = event.finished();
    }
  }
  observed.status_ = stream->Finish();
  observed.outcome_.ParseFromString(observed.status_.error_details());
  return observed;
}

} // namespace

TEST_CASE("EntryFunction_LookUp_StreamsCompleteAnswer")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  const ObservedCall observed = Call(fleet, MakeLookUp());
  CHECK(observed.status_.ok());
  CHECK(observed.accepted_ == 1);
  CHECK(observed.text_ == "from Fyn");
  REQUIRE(observed.finished_.has_value());
  CHECK(observed.finished_->outcome().code() == 0);
  CHECK(observed.finished_->text().empty());
  const auto results = fleet.Keeper().Received<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.text_ == "from Fyn");
}

TEST_CASE("EntryFunction_InvalidInput_ReturnsMatchingCode")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  const auto refusal = [&](const caller::CallRequest& aRequest,
                           const std::string& aToken = FakeFleet::kToken) {
    const ObservedCall observed = Call(fleet, aRequest, aToken);
    CHECK_FALSE(observed.status_.ok());
    CHECK(observed.outcome_.ran() == caller::RAN_NOT_RUN);
    return static_cast<ResultCode>(observed.outcome_.code());
  };
  CHECK(refusal(MakeLookUp(), "wrong") == ResultCode::Unauthenticated);
  caller::CallRequest request = MakeLookUp();
  request.set_service("other-llm");
  CHECK(refusal(request) == ResultCode::UnknownService);
  request = MakeLookUp();
  request.set_kind("no-such");
  CHECK(refusal(request) == ResultCode::UnknownKind);
  request.set_kind("lineage-batch");
  CHECK(refusal(request) == ResultCode::WrongPriority);
  request = MakeLookUp();
  request.set_prompt(std::string(2000, 'x'));
  CHECK(refusal(request) == ResultCode::ItemTooLarge);
  request = MakeLookUp();
  request.set_max_tokens(1000000);
  CHECK(refusal(request) == ResultCode::OutOfRange);
}

// Guards against a truncated or mixed answer when the endpoint's host fails
// while streaming.
TEST_CASE("EntryFunction_AgentFailsWhileStreaming_AnswerIsComplete")
{
  FakeFleet fleet(AcceptingKeeper{}, BeginRun, AnswerRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  bool isKilled = false;
  ObservedCall observed;
  for (int call = 0; call < 50 && !isKilled; ++call) {
    caller::CallRequest request = MakeLookUp();
    request.set_request_key("look-up-" + std::to_string(call));
    request.set_prompt(request.request_key());
    observed = Call(fleet, request, FakeFleet::kToken, [&] {
      // The first agent never finishes a run, so its first run belongs to this
      // call.
      if (!isKilled && !fleet.Agent(0).Received<wire::StartRun>().empty()) {
        isKilled = true;
        fleet.KillFirstAgent();
      }
    });
  }
  REQUIRE(isKilled);
  CHECK(observed.status_.ok());
  CHECK(observed.text_ == "from Fyn");
  CHECK(observed.finished_.has_value());
}

// Guards against runs that continue, and records that stay open, after the
// caller cancelled.
TEST_CASE("EntryFunction_CallerCancels_StopsRunAndRecordsCancellation")
{
  FakeFleet fleet(AcceptingKeeper{}, BeginRun, BeginRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  const auto context = FakeFleet::MakeContext();
  const auto stream = fleet.Callers().Call(context.get(), MakeLookUp());
  caller::CallEvent event;
  REQUIRE(stream->Read(&event));
  context->TryCancel();
  CHECK(fleet.Keeper().WaitFor<wire::RecordResult>(
    [](const wire::RecordResult& aResult) {
      return aResult.result_.code_ == ResultCode::Cancelled;
    }));
  const auto cancels = fleet.Agent(0).Received<wire::StartRun>().empty()
                         ? fleet.Agent(1).WaitFor<wire::CancelRun>(
                             [](const wire::CancelRun&) { return true; })
                         : fleet.Agent(0).WaitFor<wire::CancelRun>(
                             [](const wire::CancelRun&) { return true; });
  CHECK(cancels);
  CHECK(stream->Finish().error_code() == grpc::StatusCode::CANCELLED);
}

TEST_CASE("EntryFunction_Draining_RefusesNewAndFinishesRunning")
{
  FakeFleet fleet(AcceptingKeeper{}, BeginRun, BeginRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  const auto context = FakeFleet::MakeContext();
  const auto stream = fleet.Callers().Call(context.get(), MakeLookUp());
  caller::CallEvent event;
  REQUIRE(stream->Read(&event));
  fleet.Entry().BeginDrain();
  CHECK(fleet.Entry().GetReadiness() == node::Readiness::Draining);
  CHECK_FALSE(fleet.Entry().IsIdle());
  const ObservedCall refused = Call(fleet, MakeLookUp());
  CHECK(refused.outcome_.code() ==
        static_cast<std::uint32_t>(ResultCode::Draining));
  CHECK(refused.outcome_.ran() == caller::RAN_NOT_RUN);
  CHECK(refused.outcome_.retry_after_ms() > 0);

  const bool isOnFirst = !fleet.Agent(0).Received<wire::StartRun>().empty();
  FakePeer& agent = fleet.Agent(isOnFirst ? 0 : 1);
  SendEnd(agent, agent.Received<wire::StartRun>().front().run_, 1);
  bool hasFinished = false;
  while (stream->Read(&event)) {
    hasFinished = hasFinished || event.has_finished();
  }
  CHECK(hasFinished);
  CHECK(stream->Finish().ok());
}

TEST_CASE("EntryFunction_JobWithoutKey_ReachesOwnerCompletely")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  fleet.WaitForLinks({});
  constexpr std::uint32_t kItems = 5000;
  const auto submit = [&](const std::string& aFirstName) {
    const auto context = FakeFleet::MakeContext();
    caller::SubmitJobReply reply;
    const auto stream = fleet.Callers().SubmitJob(context.get(), &reply);
    caller::SubmitJobRequest part;
    part.mutable_header()->set_service("origin-llm");
    part.mutable_header()->set_kind("lineage-batch");
    part.mutable_header()->set_items(kItems);
    stream->Write(part);
    for (std::uint32_t item = 0; item < kItems; ++item) {
      part.mutable_item()->set_name(item == 0 ? aFirstName : "n");
      part.mutable_item()->set_prompt("surname " + std::to_string(item));
      stream->Write(part);
    }
    stream->WritesDone();
    CHECK(stream->Finish().ok());
    CHECK(reply.items() == kItems);
    return reply.job_key();
  };
  const std::string key = submit("a");
  const auto frames = fleet.Keeper().Received<wire::SubmitFrame>();
  std::uint32_t next = 0;
  for (const wire::SubmitFrame& frame : frames) {
    CHECK(frame.firstItem_ == next);
    CHECK(frame.job_.itemCount_ == kItems);
    next += static_cast<std::uint32_t>(frame.items_.size());
  }
  CHECK(next == kItems);
  CHECK(frames.back().last_);
  CHECK(frames.size() > 1);
  CHECK(submit("a") == key);
  CHECK(submit("b") != key);
}

// Guards against accepting a truncated job after the connection broke.
TEST_CASE("EntryFunction_TruncatedJob_IsNotAccepted")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  fleet.WaitForLinks({});
  const auto context = FakeFleet::MakeContext();
  caller::SubmitJobReply reply;
  const auto stream = fleet.Callers().SubmitJob(context.get(), &reply);
  caller::SubmitJobRequest part;
  part.mutable_header()->set_service("origin-llm");
  part.mutable_header()->set_kind("lineage-batch");
  part.mutable_header()->set_items(3);
  stream->Write(part);
  part.mutable_item()->set_prompt("surname");
  stream->Write(part);
  stream->WritesDone();
  const grpc::Status status = stream->Finish();
  caller::Outcome details;
  details.ParseFromString(status.error_details());
  CHECK(details.code() ==
        static_cast<std::uint32_t>(ResultCode::InvalidRequest));
  CHECK(fleet.Keeper().Received<wire::SubmitFrame>().empty());
}

TEST_CASE("EntryFunction_ResultsInSeveralPages_AreReadCompletely")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  fleet.WaitForLinks({});
  const auto context = FakeFleet::MakeContext();
  caller::ReadResultsRequest request;
  request.set_job_key("lot-1");
  const auto stream = fleet.Callers().ReadResults(context.get(), request);
  std::vector<std::string> texts;
  caller::ItemResult item;
  while (stream->Read(&item)) {
    texts.push_back(item.text());
  }
  CHECK(stream->Finish().ok());
  CHECK(texts ==
        std::vector<std::string>{ "result 0", "result 1", "result 2" });
}

// Guards against repeated and missing results when gRPC writes faster than the
// entry queues a page.
TEST_CASE(
  "EntryFunction_CallerReadsFasterThanEntryQueues_GetsEachResultOnceInOrder")
{
  constexpr std::uint32_t kResults = 1000;
  constexpr std::uint32_t kPage = 256;
  constexpr int kReads = 10;
  FakeFleet fleet(AcceptingKeeper{ kResults, kPage }, AnswerRun, AnswerRun);
  fleet.WaitForLinks({});
  std::vector<std::uint32_t> expected(kResults);
  std::iota(expected.begin(), expected.end(), 0U);
  for (int read = 0; read < kReads; ++read) {
    const auto context = FakeFleet::MakeContext();
    caller::ReadResultsRequest request;
    request.set_job_key("lot-1");
    const auto stream = fleet.Callers().ReadResults(context.get(), request);
    std::vector<std::uint32_t> positions;
    caller::ItemResult item;
    while (stream->Read(&item)) {
      positions.push_back(item.position());
    }
    CHECK(stream->Finish().ok());
    CHECK(positions == expected);
  }
}

// Guards against a lifted quarantine that is still listed.
TEST_CASE("EntryFunction_QuarantineLifted_IsNotListed")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  const auto list = [&] {
    const auto context = FakeFleet::MakeContext();
    operations::QuarantineReply reply;
    CHECK(fleet.Operators().Quarantine(context.get(), {}, &reply).ok());
    return reply;
  };
  const std::array suspects{ wire::Suspect{ 0xABC, 2, 60000 } };
  fleet.Quarantine().Merge(suspects, base::MonotonicNow());
  REQUIRE(list().entries_size() == 1);
  CHECK(list().entries(0).quarantined());

  const auto context = FakeFleet::MakeContext();
  operations::LiftQuarantineRequest request;
  request.set_fingerprint(list().entries(0).fingerprint());
  operations::LiftQuarantineReply reply;
  CHECK(fleet.Operators().LiftQuarantine(context.get(), request, &reply).ok());
  CHECK(reply.found());
  CHECK(list().entries_size() == 0);
}

} // namespace pumiceturn::entry
