#include "FakeFleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <numeric>

namespace pumiceturn::entry {

namespace {

using base::Ran;
using base::ResultCode;

/// A keeper that accepts everything and holds it in memory.
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

/// An agent that answers each run with "from Fyn".
void
AnswerRun(FakePeer& aSelf, const std::string&, const wire::Message& aMessage)
{
  if (const auto* start = std::get_if<wire::StartRun>(&aMessage)) {
    SendChunk(aSelf, start->run_, 1, "from ");
    SendChunk(aSelf, start->run_, 2, "Fyn");
    SendEnd(aSelf, start->run_, 2);
  }
}

/// An agent that begins each run and never ends it.
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

/// What a caller saw of one call.
struct Seen
{
  std::string text_;
  int accepted_ = 0;
  std::optional<caller::CallFinished> finished_;
  grpc::Status status_;
  caller::Outcome details_;
};

Seen
Call(FakeFleet& aFleet,
     const caller::CallRequest& aRequest,
     const std::string& aToken = FakeFleet::kToken,
     const std::function<void()>& aOnChunk = {})
{
  const auto context = FakeFleet::MakeContext(aToken);
  const auto stream = aFleet.Callers().Call(context.get(), aRequest);
  Seen seen;
  caller::CallEvent event;
  while (stream->Read(&event)) {
    seen.accepted_ += event.has_accepted() ? 1 : 0;
    if (event.has_chunk()) {
      seen.text_ += event.chunk().text();
      if (aOnChunk) {
        aOnChunk();
      }
    } else if (event.has_finished()) {
      seen.finished_ = event.finished();
    }
  }
  seen.status_ = stream->Finish();
  seen.details_.ParseFromString(seen.status_.error_details());
  return seen;
}

} // namespace

TEST_CASE("EntryFunction_LookUp_StreamsWholeAnswer")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  const Seen seen = Call(fleet, MakeLookUp());
  CHECK(seen.status_.ok());
  CHECK(seen.accepted_ == 1);
  CHECK(seen.text_ == "from Fyn");
  REQUIRE(seen.finished_.has_value());
  CHECK(seen.finished_->outcome().code() == 0);
  CHECK(seen.finished_->text().empty());
  const auto results = fleet.Keeper().Received<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.text_ == "from Fyn");
}

TEST_CASE("EntryFunction_BadInput_IsRefusedWithNumberedCode")
{
  FakeFleet fleet(AcceptingKeeper{}, AnswerRun, AnswerRun);
  const auto refusal = [&](const caller::CallRequest& aRequest,
                           const std::string& aToken = FakeFleet::kToken) {
    const Seen seen = Call(fleet, aRequest, aToken);
    CHECK_FALSE(seen.status_.ok());
    CHECK(seen.details_.ran() == caller::RAN_NOT_RUN);
    return static_cast<ResultCode>(seen.details_.code());
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

// Story: the host of the endpoint dies in the middle of a streamed answer. The
// link is lost and does not come back; the request runs again on the other
// endpoint, and the researcher reads one whole answer.
TEST_CASE("EntryFunction_AgentDiesWhileStreaming_AnswerIsWhole")
{
  FakeFleet fleet(AcceptingKeeper{}, BeginRun, AnswerRun);
  fleet.WaitForLinks({ "agent-0", "agent-1" });
  bool isKilled = false;
  Seen seen;
  for (int call = 0; call < 50 && !isKilled; ++call) {
    caller::CallRequest request = MakeLookUp();
    request.set_request_key("look-up-" + std::to_string(call));
    request.set_prompt(request.request_key());
    seen = Call(fleet, request, FakeFleet::kToken, [&] {
      // The first agent ends no run, so the first that it has is this one.
      if (!isKilled && !fleet.Agent(0).Received<wire::StartRun>().empty()) {
        isKilled = true;
        fleet.KillFirstAgent();
      }
    });
  }
  REQUIRE(isKilled);
  CHECK(seen.status_.ok());
  CHECK(seen.text_ == "from Fyn");
  CHECK(seen.finished_.has_value());
}

// Story: the researcher closes the page while the answer streams. The engine
// must stop, and the record is closed as cancelled.
TEST_CASE("EntryFunction_CallerCancels_StopsRunAndRecordsIt")
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
  const Seen refused = Call(fleet, MakeLookUp());
  CHECK(refused.details_.code() ==
        static_cast<std::uint32_t>(ResultCode::Draining));
  CHECK(refused.details_.ran() == caller::RAN_NOT_RUN);
  CHECK(refused.details_.retry_after_ms() > 0);

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

TEST_CASE("EntryFunction_LotWithoutKey_ReachesOwnerWholeUnderItsContent")
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

// Story: a publisher's connection breaks in the middle of a lot. What came must
// not be accepted as if it were the whole.
TEST_CASE("EntryFunction_LotCutShort_IsNotAccepted")
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

TEST_CASE("EntryFunction_ResultsInPages_AreReadToTheEnd")
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

// Story: a society reads a lot's results and finds some lines twice and the
// last ones missing. Order: the entry queues a page's results one by one; gRPC
// has written all that is queued before the next is there, so the page counts
// as taken, and the same page is asked for again, beside its own rest.
TEST_CASE("EntryFunction_CallerFasterThanThePage_GetsEachResultOnceInOrder")
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

// Story: an operator sees which content is refused and lets it run again.
TEST_CASE("EntryFunction_QuarantineLifted_IsGoneFromTheList")
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
