#include "LibEntry/OnlineRequest.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pumiceturn::entry {

namespace {

using namespace std::chrono_literals;
using base::Ran;
using base::ResultCode;

/// Simulates the owner, the agents and the caller of one request.
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

  /// Collects the actions and tells the request whether each message to the
  /// owner could be sent.
  void Collect()
  {
    for (bool hasNewActions = true; hasNewActions;) {
      hasNewActions = false;
      for (OnlineAction& action : request_->TakeActions()) {
        if (std::holds_alternative<SendToOwner>(action) && isOwnerUp_) {
          request_->OnOwnerSent(now_);
          hasNewActions = true;
        } else if (std::holds_alternative<SendToOwner>(action)) {
          request_->OnOwnerUnreachable(now_);
        }
        actions_.push_back(std::move(action));
      }
    }
  }

  template<typename Event>
  void Apply(Event aEvent)
  {
    aEvent(*request_);
    Collect();
  }

  /// @return the collected actions of one type, which are removed.
  template<typename Action>
  std::vector<Action> Take()
  {
    std::vector<Action> matches;
    for (const OnlineAction& action : actions_) {
      if (const auto* match = std::get_if<Action>(&action)) {
        matches.push_back(*match);
      }
    }
    std::erase_if(actions_, [](const OnlineAction& aAction) {
      return std::holds_alternative<Action>(aAction);
    });
    return matches;
  }

  template<typename Message>
  std::vector<Message> TakeSent()
  {
    std::vector<Message> matches;
    const auto addMatch = [&matches](const wire::Message& aMessage) {
      const auto* match = std::get_if<Message>(&aMessage);
      if (match != nullptr) {
        matches.push_back(*match);
      }
      return match != nullptr;
    };
    std::erase_if(actions_, [&addMatch](const OnlineAction& aAction) {
      if (const auto* toOwner = std::get_if<SendToOwner>(&aAction)) {
        return addMatch(toOwner->message_);
      }
      const auto* toEndpoint = std::get_if<SendToEndpoint>(&aAction);
      return toEndpoint != nullptr && addMatch(toEndpoint->message_);
    });
    return matches;
  }

  void AssignEndpoint(const std::string& aName)
  {
    Apply([&](OnlineRequest& aRequest) { aRequest.OnEndpoint(aName, now_); });
    const auto starts = TakeSent<wire::StartRun>();
    REQUIRE(starts.size() == 1);
    run_ = starts.front().run_;
    endpoint_ = aName;
  }

  void ReceiveRecordReply(wire::RecordState aState = wire::RecordState::New,
                          wire::ItemResult aResult = {})
  {
    wire::RecordReply reply;
    reply.state_ = aState;
    reply.result_ = std::move(aResult);
    Apply(
      [&](OnlineRequest& aRequest) { aRequest.OnRecordReply(reply, now_); });
  }

  void ReceiveChunk(std::uint64_t aSequence, const std::string& aText)
  {
    const wire::Chunk chunk{ run_, aSequence, aText, 1 };
    Apply([&](OnlineRequest& aRequest) { aRequest.OnChunk(chunk, now_); });
  }

  void ReceiveRunEnded(ResultCode aCode,
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
    Apply([&](OnlineRequest& aRequest) {
      aRequest.OnRunEnded(endpoint_, ended, now_);
    });
  }

  void ReceiveResultReply(bool aIsFirst = true, wire::ItemResult aOther = {})
  {
    wire::RecordResultReply reply;
    reply.first_ = aIsFirst;
    reply.result_ = std::move(aOther);
    Apply([&](OnlineRequest& aRequest) {
      aRequest.OnRecordResultReply(reply, now_);
    });
  }

  void SetLinkState(wire::LinkState aState)
  {
    Apply([&](OnlineRequest& aRequest) {
      aRequest.OnEndpointLink(endpoint_, aState, now_);
    });
  }

  void AdvanceTime(base::Duration aTime)
  {
    now_ += aTime;
    Apply([&](OnlineRequest& aRequest) { aRequest.OnTimer(now_); });
  }

  std::string StreamedText()
  {
    std::string text;
    for (const EmitChunk& chunk : Take<EmitChunk>()) {
      text += chunk.text_;
    }
    return text;
  }

  EmitFinished DrainFinished()
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
  bool isOwnerUp_ = true;
  wire::RunId run_;
  std::string endpoint_;
};

struct AtMostOnceFixture : OnlineFixture
{
  AtMostOnceFixture()
  {
    description_.record_.idempotent_ = false;
    description_.isStreaming_ = false;
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
  AssignEndpoint("e1");
  ReceiveChunk(1, "from ");
  ReceiveChunk(2, "Fyn");
  CHECK(Take<EmitAccepted>().empty());
  CHECK(StreamedText().empty());

  ReceiveRecordReply();
  CHECK(Take<EmitAccepted>().size() == 1);
  CHECK(StreamedText() == "from Fyn");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 2);
  CHECK(Take<EmitFinished>().empty());
  const auto results = TakeSent<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.text_ == "from Fyn");

  ReceiveResultReply();
  const EmitFinished finished = DrainFinished();
  CHECK(finished.isTextStreamed_);
  CHECK_FALSE(finished.replacesChunks_);
  CHECK(TakeSent<wire::RunRecorded>().size() == 1);
}

// Guards against repeated text after a rerun of a request that was partly
// streamed.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_AgentKilledWhileStreaming_ContinuesElsewhere")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveChunk(1, "Sommer");
  Take<ChooseEndpoint>();
  SetLinkState(wire::LinkState::Replaced);
  AdvanceTime(20ms);
  const auto again = Take<ChooseEndpoint>();
  REQUIRE(again.size() == 1);
  CHECK(again.front().isRetry_);
  CHECK(request_->Tried().front() == "e1");

  const wire::RunId killed = run_;
  AssignEndpoint("e2");
  CHECK(run_ != killed);
  ReceiveChunk(1, "Som");
  ReceiveChunk(2, "mersted");
  CHECK(StreamedText() == "Sommersted");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 2);
  ReceiveResultReply();
  CHECK(DrainFinished().isTextStreamed_);
}

// Guards against a mixture of two answers when the rerun produces a different
// text.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_RerunTextDiffers_FinalMessageReplacesChunks")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveChunk(1, "Sommer");
  SetLinkState(wire::LinkState::Replaced);
  AdvanceTime(20ms);
  AssignEndpoint("e2");
  ReceiveChunk(1, "Vinter");
  ReceiveChunk(2, "holm");
  CHECK(StreamedText() == "Sommer");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 2);
  ReceiveResultReply();
  const EmitFinished finished = DrainFinished();
  CHECK(finished.replacesChunks_);
  CHECK(finished.result_.text_ == "Vinterholm");
}

// Guards against missing or repeated chunks when the link is replaced while
// streaming.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_LinkLostAndUpAgain_RequestsMissingChunks")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveChunk(1, "a");
  SetLinkState(wire::LinkState::Lost);
  AdvanceTime(100ms);
  SetLinkState(wire::LinkState::Up);
  const auto attached = TakeSent<wire::AttachRun>();
  REQUIRE(attached.size() == 1);
  CHECK(attached.front().receivedSequence_ == 1);
  AdvanceTime(OnlineRequest::kEndpointGracePeriod);
  ReceiveChunk(3, "c");
  ReceiveChunk(1, "a");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 4);
  ReceiveChunk(4, "d");
  ReceiveChunk(2, "b");
  CHECK(StreamedText() == "abcd");
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  CHECK(TakeSent<wire::CancelRun>().empty());
}

// Guards against mixing in the answer of an abandoned run after the request was
// rerun elsewhere.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_LinkStaysLost_RerunsAndIgnoresOldChunks")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  const wire::RunId old = run_;
  SetLinkState(wire::LinkState::Lost);
  AdvanceTime(OnlineRequest::kEndpointGracePeriod);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  AdvanceTime(20ms);
  AssignEndpoint("e2");
  const wire::RunId current = run_;
  run_ = old;
  ReceiveChunk(1, "old");
  run_ = current;
  ReceiveChunk(1, "new");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 1);
  CHECK(StreamedText() == "new");
}

// Guards against a third run of content that crashed two endpoints.
TEST_CASE_METHOD(OnlineFixture, "OnlineRequest_SecondCrash_RecordsQuarantined")
{
  description_.maxAttempts_ = 5;
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveRunEnded(ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(Take<QuarantineContent>().empty());
  AdvanceTime(20ms);
  AssignEndpoint("e2");
  ReceiveRunEnded(ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(Take<QuarantineContent>().size() == 1);
  ReceiveResultReply();
  const EmitFinished finished = DrainFinished();
  CHECK(finished.result_.code_ == ResultCode::Quarantined);
  CHECK(finished.result_.ran_ == Ran::Ran);
}

// Guards against running quarantined content, and against reporting NotRun
// before the withdrawal is durable.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_QuarantinedContent_IsRefusedNotRun")
{
  description_.quarantined_ = true;
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  ReceiveRecordReply();
  CHECK(Take<EmitFailed>().empty());
  const auto withdrawn = TakeSent<wire::RecordResult>();
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn.front().result_.ran_ == Ran::NotRun);
  ReceiveResultReply();
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Quarantined);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(Take<ChooseEndpoint>().empty());
}

// Guards against a second answer when a call is resent while the first one is
// running.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_ResendWhileFirstRuns_AnswersFromFirst")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveChunk(1, "mine");
  ReceiveRecordReply(wire::RecordState::Running);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  const auto accepted = Take<EmitAccepted>();
  REQUIRE(accepted.size() == 1);
  CHECK(accepted.front().duplicate_);
  ReceiveRecordReply(wire::RecordState::Finished,
                     MakeResult(ResultCode::Ok, Ran::Ran, "theirs"));
  CHECK(StreamedText().empty());
  const EmitFinished finished = DrainFinished();
  CHECK(finished.duplicate_);
  CHECK(finished.result_.text_ == "theirs");
  CHECK_FALSE(finished.isTextStreamed_);
}

// Guards against a duplicate that waits forever after the first call was
// withdrawn.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_FirstCallWithdrawn_DuplicateRuns")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply(wire::RecordState::Running);
  Take<ChooseEndpoint>();
  TakeSent<wire::RecordRequest>();
  AdvanceTime(1s);
  CHECK(TakeSent<wire::RecordRequest>().size() == 1);
  ReceiveRecordReply(wire::RecordState::New);
  CHECK(Take<ChooseEndpoint>().size() == 1);
  AssignEndpoint("e2");
  ReceiveChunk(1, "now");
  CHECK(StreamedText() == "now");
}

// Guards against losing the result when another keeper takes over the partition
// during the call.
TEST_CASE_METHOD(
  OnlineFixture,
  "OnlineRequest_PartitionTakenOverDuringCall_SendsResultToNewOwner")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveChunk(1, "x");
  isOwnerUp_ = false;
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 1);
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  CHECK(Take<EmitFinished>().empty());
  isOwnerUp_ = true;
  Apply([](OnlineRequest& aRequest) { aRequest.OnOwnerChanged(); });
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
  ReceiveResultReply();
  CHECK(DrainFinished().result_.text_ == "x");
}

// Guards against a lost or mixed answer when owner and endpoint fail at the
// same time.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OwnerAndAgentLostTogether_AnswerIsComplete")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveChunk(1, "half");
  isOwnerUp_ = false;
  SetLinkState(wire::LinkState::Replaced);
  wire::RecordReply moved;
  moved.code_ = ResultCode::NotOwner;
  moved.ownerHint_ = "k2";
  Apply([&](OnlineRequest& aRequest) { aRequest.OnRecordReply(moved, now_); });
  AdvanceTime(20ms);
  AssignEndpoint("e2");
  ReceiveChunk(1, "half and half");
  ReceiveRunEnded(ResultCode::Ok, Ran::Ran, 1);
  isOwnerUp_ = true;
  AdvanceTime(OnlineRequest::kMaxResendDelay);
  ReceiveRecordReply();
  CHECK(StreamedText() == "half and half");
  ReceiveResultReply();
  CHECK(DrainFinished().isTextStreamed_);
}

// Guards against runs that continue, and records that stay open, after the
// caller disconnected.
TEST_CASE_METHOD(
  OnlineFixture,
  "OnlineRequest_CallerDisconnects_CancelsRunAndRecordsCancellation")
{
  Begin();
  AssignEndpoint("e1");
  Apply([&](OnlineRequest& aRequest) { aRequest.OnCallerGone(now_); });
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  CHECK_FALSE(request_->IsDone());
  ReceiveRecordReply();
  const auto results = TakeSent<wire::RecordResult>();
  REQUIRE(results.size() == 1);
  CHECK(results.front().result_.code_ == ResultCode::Cancelled);
  CHECK(results.front().result_.ran_ == Ran::Unknown);
  ReceiveResultReply();
  CHECK(request_->IsDone());
  CHECK(Take<EmitFinished>().empty());
}

// Guards against trying more endpoints in an overloaded fleet instead of
// refusing with a retry delay.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_TwoEndpointsOverloaded_RefusesWithRetryDelay")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  Take<ChooseEndpoint>();
  ReceiveRunEnded(ResultCode::Overloaded, Ran::NotRun, 0, 900);
  CHECK(Take<ChooseEndpoint>().size() == 1);
  AssignEndpoint("e2");
  ReceiveRunEnded(ResultCode::Overloaded, Ran::NotRun, 0, 400);
  CHECK(Take<ChooseEndpoint>().empty());
  ReceiveResultReply();
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Overloaded);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(failed.retryAfterMs_ == 400);
}

// Guards against a delayed refusal, and against reporting NotRun, while the
// owner doesn't answer.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OverloadedAndOwnerSilent_RefusesAsUnknown")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRunEnded(ResultCode::Overloaded, Ran::NotRun, 0, 300);
  Apply([&](OnlineRequest& aRequest) {
    aRequest.OnNoEndpoint(ResultCode::RetryBudgetSpent, 0, now_);
  });
  AdvanceTime(OnlineRequest::kWithdrawalTimeout);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::Overloaded);
  CHECK(failed.ran_ == Ran::Unknown);
  CHECK(failed.retryAfterMs_ == 300);
  ReceiveRecordReply();
  CHECK(TakeSent<wire::RecordResult>().front().result_.ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_NoOwnerReachable_RefusesNotRunAfterTimeout")
{
  isOwnerUp_ = false;
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  AdvanceTime(OnlineRequest::kOwnerTimeout);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::NotRecorded);
  CHECK(failed.ran_ == Ran::NotRun);
  CHECK(failed.retryAfterMs_ > 0);
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_DeadlineExceeded_CancelsAndReportsUnknown")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  AdvanceTime(10s);
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  const EmitFailed failed = TakeFailed();
  CHECK(failed.code_ == ResultCode::DeadlineExceeded);
  CHECK(failed.ran_ == Ran::Unknown);
  CHECK(TakeSent<wire::RecordResult>().size() == 1);
}

// Guards against answering a retry with the cancellation of the earlier call
// that it waited for.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_FirstCallCancelledBeforeRun_DuplicateRuns")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply(wire::RecordState::Running);
  wire::RecordReply cancelled;
  cancelled.code_ = ResultCode::Cancelled;
  Apply(
    [&](OnlineRequest& aRequest) { aRequest.OnRecordReply(cancelled, now_); });
  CHECK(Take<EmitFailed>().empty());
  Take<ChooseEndpoint>();
  AdvanceTime(OnlineRequest::kMinResendDelay);
  ReceiveRecordReply(wire::RecordState::New);
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

// Guards against recording the failure of this entry's run while the owner is
// running the request itself.
TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_OwnerRunsRequest_WaitsForItsResult")
{
  description_.maxAttempts_ = 1;
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveRunEnded(ResultCode::EndpointCrashed, Ran::Ran);
  wire::RecordResultReply refused;
  refused.code_ = ResultCode::StillRunning;
  TakeSent<wire::RecordRequest>();
  Apply([&](OnlineRequest& aRequest) {
    aRequest.OnRecordResultReply(refused, now_);
  });
  CHECK(TakeSent<wire::RecordRequest>().size() == 1);
  ReceiveRecordReply(wire::RecordState::Finished,
                     MakeResult(ResultCode::Ok, Ran::Ran, "by the owner"));
  CHECK(DrainFinished().result_.text_ == "by the owner");
}

TEST_CASE_METHOD(OnlineFixture,
                 "OnlineRequest_CancelledByKey_StopsRunAndNotifiesCaller")
{
  Begin();
  AssignEndpoint("e1");
  ReceiveRecordReply();
  ReceiveChunk(1, "x");
  ReceiveRecordReply(wire::RecordState::Finished,
                     MakeResult(ResultCode::Cancelled, Ran::Unknown, {}));
  CHECK(TakeSent<wire::CancelRun>().size() == 1);
  CHECK(DrainFinished().result_.code_ == ResultCode::Cancelled);
}

TEST_CASE_METHOD(AtMostOnceFixture,
                 "OnlineRequest_NonIdempotent_StartsOnlyAfterItsRecord")
{
  Begin();
  CHECK(Take<ChooseEndpoint>().empty());
  ReceiveRecordReply();
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

// Guards against a rerun of a non-idempotent request whose outcome is unknown.
TEST_CASE_METHOD(AtMostOnceFixture,
                 "OnlineRequest_NonIdempotentAgentLost_IsUnknownAndNeverRerun")
{
  Begin();
  ReceiveRecordReply();
  AssignEndpoint("e1");
  Take<ChooseEndpoint>();
  SetLinkState(wire::LinkState::Lost);
  AdvanceTime(2s);
  CHECK(Take<ChooseEndpoint>().empty());
  SetLinkState(wire::LinkState::Replaced);
  AdvanceTime(1s);
  CHECK(Take<ChooseEndpoint>().empty());
  ReceiveResultReply();
  const EmitFinished finished = DrainFinished();
  CHECK(finished.result_.code_ == ResultCode::OutcomeUnknown);
  CHECK(finished.result_.ran_ == Ran::Unknown);
}

// Guards against a second run of a non-idempotent request when the reply to its
// record was lost.
TEST_CASE_METHOD(AtMostOnceFixture,
                 "OnlineRequest_NonIdempotentReplyLost_DoesNotStart")
{
  Begin();
  Apply([](OnlineRequest& aRequest) { aRequest.OnOwnerChanged(); });
  ReceiveRecordReply(wire::RecordState::Running);
  CHECK(Take<ChooseEndpoint>().empty());
  AdvanceTime(10s);
  CHECK(TakeFailed().ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(
  AtMostOnceFixture,
  "OnlineRequest_NonIdempotentRefusedNotRun_TriesAnotherEndpoint")
{
  Begin();
  ReceiveRecordReply();
  AssignEndpoint("e1");
  Take<ChooseEndpoint>();
  ReceiveRunEnded(ResultCode::Draining, Ran::NotRun);
  CHECK(Take<ChooseEndpoint>().size() == 1);
}

} // namespace pumiceturn::entry
