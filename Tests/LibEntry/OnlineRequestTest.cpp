#include "LibEntry/OnlineRequest.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pumiceturn::entry {

namespace {

using namespace std::chrono_literals;
using base::Ran;
using base::ResultCode;

/// Plays the owner, the agents and the caller of one request.
struct OnlineFixture
{
  OnlineFixture()
  {
    description_.record_.call_ = 5;
    description_.record_.job_ = base::JobId{ 1, 2 };
    description_.record_.payload_ = "Rasmussen?";
    description_.deadline_ = now_ + 10s;
    description_.random_ = 0x1234567800000000ULL;
  }

  void Begin()
  {
    request_.emplace(description_);
    request_->Begin(now_);
    Collect();
  }

  /// Collects actions; a send to the owner succeeds at once.
  void Collect()
  {
    for (bool isOpen = true; isOpen;) {
      isOpen = false;
      for (OnlineAction& action : request_->TakeActions()) {
        if (std::holds_alternative<SendToOwner>(action) && ownerIsUp_) {
          request_->OnOwnerSent(now_);
          isOpen = true;
        } else if (std::holds_alternative<SendToOwner>(action)) {
          request_->OnOwnerUnreachable(now_);
        }
        actions_.push_back(std::move(action));
      }
    }
  }

  template<typename Event>
  void On(Event aEvent)
  {
    aEvent(*request_);
    Collect();
  }

  /// @return the actions of one kind so far, which are then forgotten.
  template<typename Action>
  std::vector<Action> Take()
  {
    std::vector<Action> taken;
    for (const OnlineAction& action : actions_) {
      if (const auto* match = std::get_if<Action>(&action)) {
        taken.push_back(*match);
      }
    }
    std::erase_if(actions_, [](const OnlineAction& aAction) {
      return std::holds_alternative<Action>(aAction);
    });
    return taken;
  }

  template<typename Message>
  std::vector<Message> TakeSent()
  {
    std::vector<Message> taken;
    const auto take = [&taken](const wire::Message& aMessage) {
      const auto* match = std::get_if<Message>(&aMessage);
      if (match != nullptr) {
        taken.push_back(*match);
      }
      return match != nullptr;
    };
    std::erase_if(actions_, [&take](const OnlineAction& aAction) {
      if (const auto* toOwner = std::get_if<SendToOwner>(&aAction)) {
        return take(toOwner->message_);
      }
      const auto* toEndpoint = std::get_if<SendToEndpoint>(&aAction);
      return toEndpoint != nullptr && take(toEndpoint->message_);
    });
    return taken;
  }

  void Endpoint(const std::string& aName)
  {
    On([&](OnlineRequest& aRequest) { aRequest.OnEndpoint(aName, now_); });
    const auto starts = TakeSent<wire::StartRun>();
    REQUIRE(starts.size() == 1);
    run_ = starts.front().run_;
    endpoint_ = aName;
  }

  void Recorded(wire::RecordState aState = wire::RecordState::New,
                wire::ItemResult aResult = {})
  {
    wire::RecordReply reply;
    reply.state_ = aState;
    reply.result_ = std::move(aResult);
    On([&](OnlineRequest& aRequest) { aRequest.OnRecordReply(reply, now_); });
  }

  void Chunk(std::uint64_t aSequence, const std::string& aText)
  {
    const wire::Chunk chunk{ run_, aSequence, aText, 1 };
    On([&](OnlineRequest& aRequest) { aRequest.OnChunk(chunk, now_); });
  }

  void Ended(ResultCode aCode,
             Ran aRan,
             std::uint64_t aLast = 0,
             std::uint32_t aRetryAfterMs = 0)
  {
    wire::RunEnded ended;
    ended.run_ = run_;
    ended.code_ = aCode;
    ended.ran_ = aRan;
    ended.lastSequence_ = aLast;
    ended.retryAfterMs_ = aRetryAfterMs;
    On([&](OnlineRequest& aRequest) {
      aRequest.OnRunEnded(endpoint_, ended, now_);
    });
  }

  void ResultRecorded(bool aIsFirst = true, wire::ItemResult aOther = {})
  {
    wire::RecordResultReply reply;
    reply.first_ = aIsFirst;
    reply.result_ = std::move(aOther);
    On([&](OnlineRequest& aRequest) {
      aRequest.OnRecordResultReply(reply, now_);
    });
  }

  void Link(wire::LinkState aState)
  {
    On([&](OnlineRequest& aRequest) {
      aRequest.OnEndpointLink(endpoint_, aState, now_);
    });
  }

  void Wait(base::Duration aTime)
  {
    now_ += aTime;
    On([&](OnlineRequest& aRequest) { aRequest.OnTimer(now_); });
  }

  std::string StreamedText()
  {
    std::string text;
    for (const EmitChunk& chunk : Take<EmitChunk>()) {
      text += chunk.text_;
    }
    return text;
  }

  EmitFinished TakeFinished()
  {
    const auto finished = Take<EmitFinished>();
    REQUIRE(finished.size() == 1);
    CHECK(Take<EmitFailed>().empty());
    CHECK(request_->IsDone());
    return finished.front();
  }

  EmitFailed TakeFailed()
  {
    const auto failed = Take<EmitFailed>();
    REQUIRE(failed.size() == 1);
    CHECK(Take<EmitFinished>().empty());
    return failed.front();
  }

  base::Instant now_{ 1000s };
  OnlineDescription description_;
  std::optional<OnlineRequest> request_;
  std::vector<OnlineAction> actions_;
  bool ownerIsUp_ = true;
  wire::RunId run_;
  std::string endpoint_;
};

struct OnceOnlyFixture : OnlineFixture
{
  OnceOnlyFixture()
  {
    description_.record_.idempotent_ = false;
    description_.streamed_ = false;
  }
};

wire::ItemResult
MakeResult(ResultCode aCode, Ran aRan, std::string aText)
{
  wire::ItemResult result;
  result.code_ = aCode;
  result.ran_ = aRan;
  result.text_ = std::move(aText);
  return result;
}

} // namespace

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_AnswerBeforeRecord_IsHeldUntilDurable")
{
  Begin();
  CHECK(TakeSent<wire::RecordRequest>().size() == 1);
  CHECK(Take<ChooseEndpoint>().size() == 1);
  Endpoint("e1");
  Chunk(1, "from ");
  Chunk(2, "Fyn");
  CHECK(Take<EmitAccepted>().empty());
  CHECK(StreamedText().empty());

  Recorded();
  CHECK(Take<EmitAccepted>().size() == 1);
  CHECK(StreamedText() == "from Fyn");
  Ended(ResultCode::Ok, Ran::Ran, 2);
  CHECK(Take<EmitFinished>().empty());
  const auto results = TakeSent<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.text_ == "from Fyn");

  ResultRecorded();
  const EmitFinished finished = TakeFinished();
  CHECK(finished.streamedWhole_);
  CHECK_FALSE(finished.replacesChunks_);
  CHECK(TakeSent<wire::RunRecorded>().size() == 1);
}

// Story: the agent's process is killed while an answer streams. The caller sees
// a short pause and then the rest of the text: the rerun starts from the
// beginning, and the part already shown is not shown twice.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_AgentKilledWhileStreaming_GoesOnElsewhere")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Chunk(1, "Sommer");
  Take<ChooseEndpoint>();
  Link(wire::LinkState::Replaced);
  Wait(20ms);
  const auto again = Take<ChooseEndpoint>();
  REQUIRE(again.size() == 1);
  CHECK(again.front().isRetry_);
  CHECK(request_->Tried().front() == "e1");

  const wire::RunId killed = run_;
  Endpoint("e2");
  CHECK(run_ != killed);
  Chunk(1, "Som");
  Chunk(2, "mersted");
  CHECK(StreamedText() == "Sommersted");
  Ended(ResultCode::Ok, Ran::Ran, 2);
  ResultRecorded();
  CHECK(TakeFinished().streamedWhole_);
}

// Story: as above, but the engine is not deterministic and the rerun's text is
// another one. The caller must not be left with a mixture: nothing of the
// second text is streamed, and the last message replaces what was shown.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_RerunDiffersFromStreamed_FinalReplacesIt")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Chunk(1, "Sommer");
  Link(wire::LinkState::Replaced);
  Wait(20ms);
  Endpoint("e2");
  Chunk(1, "Vinter");
  Chunk(2, "holm");
  CHECK(StreamedText() == "Sommer");
  Ended(ResultCode::Ok, Ran::Ran, 2);
  ResultRecorded();
  const EmitFinished finished = TakeFinished();
  CHECK(finished.replacesChunks_);
  CHECK(finished.result_.text_ == "Vinterholm");
}

// Story: the link goes silent in the middle of an answer and is replaced. Two
// chunks were lost on the old connection, the run went on. The entry asks for
// what came after the last chunk it has; late copies arrive as well.
TEST_CASE_METHOD(
  OnlineFixture,
  "OnlineRequest_LinkReplacedWhileStreaming_ReattachesBySequence")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Chunk(1, "a");
  Link(wire::LinkState::Lost);
  Wait(100ms);
  Link(wire::LinkState::Up);
  const auto attached = TakeSent<wire::AttachRun>();
  REQUIRE(attached.size() == 1);
  CHECK(attached.front().receivedSequence_ == 1);
  Wait(OnlineRequest::kEndpointGrace);
  Chunk(3, "c");
  Chunk(1, "a");
  Ended(ResultCode::Ok, Ran::Ran, 4);
  Chunk(4, "d");
  Chunk(2, "b");
  CHECK(StreamedText() == "abcd");
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  CHECK(TakeSent<wire::CancelRun>().empty());
}

// Story: the engine finished and the answer was on its way when the link fell
// silent for good; a host in between has lost track of it. After the grace the
// request runs elsewhere. The old connection comes back with the old answer:
// it belongs to an abandoned run and is not mixed in.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_AnswerLostAfterRun_RunsElsewhereAndIgnoresOld")
{
  Begin();
  Endpoint("e1");
  Recorded();
  const wire::RunId old = run_;
  Link(wire::LinkState::Lost);
  Wait(OnlineRequest::kEndpointGrace);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  Wait(20ms);
  Endpoint("e2");
  const wire::RunId current = run_;
  run_ = old;
  Chunk(1, "old");
  run_ = current;
  Chunk(1, "new");
  Ended(ResultCode::Ok, Ran::Ran, 1);
  CHECK(StreamedText() == "new");
}

// Story: a request crashes the engine and is run once more elsewhere; that
// engine crashes too. It is answered as quarantined and every entry is told.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_SecondCrash_IsRecordedAsQuarantined")
{
  description_.maxAttempts_ = 5;
  Begin();
  Endpoint("e1");
  Recorded();
  Ended(ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(Take<BlameContent>().empty());
  Wait(20ms);
  Endpoint("e2");
  Ended(ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(Take<BlameContent>().size() == 1);
  ResultRecorded();
  const EmitFinished finished = TakeFinished();
  CHECK(finished.result_.code_ == ResultCode::Quarantined);
  CHECK(finished.result_.ran_ == Ran::Ran);
}

// Story: the caller sends the poison again through another entry, which knows
// the fingerprint from heartbeats. Nothing reaches an endpoint, the record is
// withdrawn, and "not run" is said only when that is durable.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_PoisonThroughAnotherEntry_IsRefusedNotRun")
{
  description_.quarantined_ = true;
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  Recorded();
  CHECK(Take<EmitFailed>().empty());
  const auto withdrawn = TakeSent<wire::RecordResult>();
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn.front().result_.ran_ == Ran::NotRun);
  ResultRecorded();
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Quarantined);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(Take<ChooseEndpoint>().empty());
}

// Story: the caller resends while its first call still runs through another
// entry. What this entry started is cancelled, and the caller gets the first
// call's answer, marked as a duplicate.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_ResendWhileFirstRuns_AnswersFromFirst")
{
  Begin();
  Endpoint("e1");
  Chunk(1, "mine");
  Recorded(wire::RecordState::Running);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  const auto accepted = Take<EmitAccepted>();
  REQUIRE(accepted.size() == 1);
  CHECK(accepted.front().duplicate_);
  Recorded(wire::RecordState::Finished,
           MakeResult(ResultCode::Ok, Ran::Ran, "theirs"));
  CHECK(StreamedText().empty());
  const EmitFinished finished = TakeFinished();
  CHECK(finished.duplicate_);
  CHECK(finished.result_.text_ == "theirs");
  CHECK_FALSE(finished.streamedWhole_);
}

// Story: the first call, which the resent one waits for, is refused and
// withdrawn. The resent call is the only one now and runs.
TEST_CASE_METHOD(OnlineFixture, "OnlineRequest_FirstCallWithdrawn_RunsItself")
{
  Begin();
  Endpoint("e1");
  Recorded(wire::RecordState::Running);
  Take<ChooseEndpoint>();
  TakeSent<wire::RecordRequest>();
  Wait(1s);
  CHECK(TakeSent<wire::RecordRequest>().size() == 1);
  Recorded(wire::RecordState::New);
  CHECK(Take<ChooseEndpoint>().size() == 1);
  Endpoint("e2");
  Chunk(1, "now");
  CHECK(StreamedText() == "now");
}

// Story: the partition's owner dies between the record and the result, and
// another keeper takes over in the middle of the call. The result is offered
// to the new owner; the caller sees nothing of it.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OwnerTakenOverMidCall_ResultGoesToNewOwner")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Chunk(1, "x");
  ownerIsUp_ = false;
  Ended(ResultCode::Ok, Ran::Ran, 1);
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  CHECK(Take<EmitFinished>().empty());
  ownerIsUp_ = true;
  On([](OnlineRequest& aRequest) { aRequest.OnOwnerChanged(); });
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  ResultRecorded();
  CHECK(TakeFinished().result_.text_ == "x");
}

// Story: owner and endpoint are lost together in the middle of an answer. Both
// halves recover on their own, and the text stays whole.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OwnerAndAgentLostTogether_IsStillWhole")
{
  Begin();
  Endpoint("e1");
  Chunk(1, "half");
  ownerIsUp_ = false;
  Link(wire::LinkState::Replaced);
  wire::RecordReply moved;
  moved.code_ = ResultCode::NotOwner;
  moved.ownerHint_ = "k2";
  On([&](OnlineRequest& aRequest) { aRequest.OnRecordReply(moved, now_); });
  Wait(20ms);
  Endpoint("e2");
  Chunk(1, "half and half");
  Ended(ResultCode::Ok, Ran::Ran, 1);
  ownerIsUp_ = true;
  Wait(OnlineRequest::kLongestResend);
  Recorded();
  CHECK(StreamedText() == "half and half");
  ResultRecorded();
  CHECK(TakeFinished().streamedWhole_);
}

// Story: the caller hangs up. The engine must not go on for nobody, and the
// record must not be left open for its owner to run.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_CallerGone_CancelsRunAndRecordsIt")
{
  Begin();
  Endpoint("e1");
  On([&](OnlineRequest& aRequest) { aRequest.OnCallerGone(now_); });
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  CHECK_FALSE(request_->IsDone());
  Recorded();
  const auto results = TakeSent<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.code_ == ResultCode::Cancelled);
  CHECK(results.front().result_.ran_ == Ran::Unknown);
  ResultRecorded();
  CHECK(request_->IsDone());
  CHECK(Take<EmitFinished>().empty());
}

// Story: a burst fills the fleet. One more endpoint is tried, then the caller
// is told at once when to come back, and "not run" is true.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_TwoEndpointsOverloaded_RefusesAtOnceWithAdvice")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Take<ChooseEndpoint>();
  Ended(ResultCode::Overloaded, Ran::NotRun, 0, 900);
  CHECK(Take<ChooseEndpoint>().size() == 1);
  Endpoint("e2");
  Ended(ResultCode::Overloaded, Ran::NotRun, 0, 400);
  CHECK(Take<ChooseEndpoint>().empty());
  ResultRecorded();
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Overloaded);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(failed.retryAfterMs_ == 400);
}

// Story: overload, and the owner of the record hangs at the same moment. The
// refusal is not held back for it; but since the record may stand and be run
// by its next owner, it does not claim "not run".
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OverloadedAndOwnerSilent_RefusesAsUnknown")
{
  Begin();
  Endpoint("e1");
  Ended(ResultCode::Overloaded, Ran::NotRun, 0, 300);
  On([&](OnlineRequest& aRequest) {
    aRequest.OnNoEndpoint(ResultCode::RetryBudgetSpent, 0, now_);
  });
  Wait(OnlineRequest::kWithdrawalWait);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Overloaded);
  CHECK(failed.ran_ == Ran::Unknown);
  CHECK(failed.retryAfterMs_ == 300);
  Recorded();
  CHECK(TakeSent<wire::RecordResult>().front().result_.ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_NoOwnerReachable_RefusesNotRunWithinPatience")
{
  ownerIsUp_ = false;
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  Wait(OnlineRequest::kOwnerPatience);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::NotRecorded);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(failed.retryAfterMs_ > 0);
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_DeadlinePasses_CancelsAndDoesNotClaimNotRun")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Wait(10s);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::DeadlineExceeded);
  CHECK(failed.ran_ == Ran::Unknown);
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
}

// Story: the first call's client lost its connection before anything ran, and
// its call was cancelled. The same client is back with the same key and waits
// for that call: it must get an answer, not the old call's cancellation.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_FirstCallCancelledUnrun_RunsItself")
{
  Begin();
  Endpoint("e1");
  Recorded(wire::RecordState::Running);
  wire::RecordReply cancelled;
  cancelled.code_ = ResultCode::Cancelled;
  On([&](OnlineRequest& aRequest) { aRequest.OnRecordReply(cancelled, now_); });
  CHECK(Take<EmitFailed>().empty());
  Take<ChooseEndpoint>();
  Wait(OnlineRequest::kShortestResend);
  Recorded(wire::RecordState::New);
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

// Story: the owner took this entry for lost, and runs the request itself. The
// entry's run breaks off as well; its verdict must not end what still runs.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OwnerRunsItItself_WaitsForItsResult")
{
  description_.maxAttempts_ = 1;
  Begin();
  Endpoint("e1");
  Recorded();
  Ended(ResultCode::EndpointCrashed, Ran::Ran);
  wire::RecordResultReply refused;
  refused.code_ = ResultCode::StillRunning;
  TakeSent<wire::RecordRequest>();
  On([&](OnlineRequest& aRequest) {
    aRequest.OnRecordResultReply(refused, now_);
  });
  CHECK(TakeSent<wire::RecordRequest>().size() == 1);
  Recorded(wire::RecordState::Finished,
           MakeResult(ResultCode::Ok, Ran::Ran, "by the owner"));
  CHECK(TakeFinished().result_.text_ == "by the owner");
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_CancelledByItsKey_StopsRunAndTellsCaller")
{
  Begin();
  Endpoint("e1");
  Recorded();
  Chunk(1, "x");
  Recorded(wire::RecordState::Finished,
           MakeResult(ResultCode::Cancelled, Ran::Unknown, {}));
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  CHECK(TakeFinished().result_.code_ == ResultCode::Cancelled);
}

TEST_CASE_METHOD(OnceOnlyFixture,
                 "OnlineRequest_NonIdempotent_StartsOnlyAfterItsRecord")
{
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  Recorded();
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

// Story: a plain service that counts is called once, and its host goes before
// the answer. It may have counted: running it again could count twice, so the
// caller hears that the outcome is unknown, and nothing else is tried.
TEST_CASE_METHOD(OnceOnlyFixture,
                 "OnlineRequest_NonIdempotentAgentLost_IsUnknownAndNeverRerun")
{
  Begin();
  Recorded();
  Endpoint("e1");
  Take<ChooseEndpoint>();
  Link(wire::LinkState::Lost);
  Wait(2s);
  CHECK(Take<ChooseEndpoint>().empty());
  Link(wire::LinkState::Replaced);
  Wait(1s);
  CHECK(Take<ChooseEndpoint>().empty());
  ResultRecorded();
  const EmitFinished finished = TakeFinished();
  CHECK(finished.result_.code_ == ResultCode::OutcomeUnknown);
  CHECK(finished.result_.ran_ == Ran::Unknown);
}

// Story: the reply to a once-only record is lost with the owner's link. The
// record is sent again and the owner says "running": that may be this call's
// own record or another call's run. Starting it could run it twice.
TEST_CASE_METHOD(OnceOnlyFixture,
                 "OnlineRequest_NonIdempotentReplyLost_DoesNotStart")
{
  Begin();
  On([](OnlineRequest& aRequest) { aRequest.OnOwnerChanged(); });
  Recorded(wire::RecordState::Running);
  CHECK(Take<ChooseEndpoint>().empty());
  Wait(10s);
  CHECK(TakeFailed().ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(OnceOnlyFixture,
                 "OnlineRequest_NonIdempotentRefusedNotRun_MayGoElsewhere")
{
  Begin();
  Recorded();
  Endpoint("e1");
  Take<ChooseEndpoint>();
  Ended(ResultCode::Draining, Ran::NotRun);
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

} // namespace pumiceturn::entry
