#pragma once

#include "LibBase/Time.h"
#include "LibEntry/OnlineAction.h"
#include "LibEntry/StreamedText.h"
#include "LibRouting/RunAssembler.h"
#include "LibWire/LinkTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::entry {

/// The decisions of one online call, from its record to its recorded answer.
/// Events come in with the time; actions are taken out after each event, in
/// order. Does no I/O. docs/ARCHITECTURE.md, "An online call", has the
/// protocol; docs/design/retries.md the rules of reruns and refusals.
class OnlineRequest
{
public:
  /// A lost link may come back within this time before an idempotent request
  /// is run elsewhere.
  static constexpr base::Duration kEndpointGrace{ std::chrono::milliseconds{
    500 } };
  /// How long a takeover of the partition may take before the request is
  /// refused as not recorded.
  static constexpr base::Duration kOwnerPatience{ std::chrono::seconds{ 5 } };
  /// How long a refusal waits for the withdrawal of its record; then it says
  /// Unknown in the place of NotRun.
  static constexpr base::Duration kWithdrawalWait{ std::chrono::milliseconds{
    200 } };
  /// How long the end of a request that has answered its caller is still
  /// offered to the owner.
  static constexpr base::Duration kBackgroundPatience{ std::chrono::seconds{
    30 } };
  /// Less than this before the deadline, nothing is tried again.
  static constexpr base::Duration kShortestRetry{ std::chrono::milliseconds{
    50 } };
  static constexpr base::Duration kShortestResend{ std::chrono::milliseconds{
    100 } };
  static constexpr base::Duration kLongestResend{ std::chrono::seconds{ 1 } };
  static constexpr std::uint32_t kRetryAfterNotRecordedMs = 1000;
  static constexpr std::uint32_t kMaxOverloadedEndpoints = 2;
  static constexpr std::uint32_t kMaxRefusedEndpoints = 4;
  static constexpr std::uint32_t kCrashesToBlame = 2;

  /// @return whether an entry numbered this attempt; owners count from small
  /// numbers.
  static bool IsEntryAttempt(std::uint32_t aAttempt);

  explicit OnlineRequest(OnlineDescription aDescription);

  void Begin(base::Instant aNow);

  /// Answers to SendToOwner: queued on a link, or no owner or link is known.
  void OnOwnerSent(base::Instant aNow);
  void OnOwnerUnreachable(base::Instant aNow);

  /// The owner or the link to it changed: what it has not answered is sent
  /// again.
  void OnOwnerChanged();
  void OnRecordReply(const wire::RecordReply& aReply, base::Instant aNow);
  void OnRecordResultReply(const wire::RecordResultReply& aReply,
                           base::Instant aNow);

  /// Answers to ChooseEndpoint.
  void OnEndpoint(const std::string& aEndpoint, base::Instant aNow);
  void OnNoEndpoint(base::ResultCode aCode,
                    std::uint32_t aRetryAfterMs,
                    base::Instant aNow);

  /// StartRun could not be queued: certainly not run there.
  void OnStartNotSent(const std::string& aEndpoint, base::Instant aNow);
  void OnChunk(const wire::Chunk& aChunk, base::Instant aNow);
  void OnRunEnded(const std::string& aEndpoint,
                  const wire::RunEnded& aEnded,
                  base::Instant aNow);
  void OnEndpointLink(std::string_view aEndpoint,
                      wire::LinkState aState,
                      base::Instant aNow);

  /// The caller cancelled or its connection is gone.
  void OnCallerGone(base::Instant aNow);

  /// @return when OnTimer() is due next; nothing once IsDone().
  [[nodiscard]] std::optional<base::Instant> NextWake() const;
  void OnTimer(base::Instant aNow);

  /// @return actions since the last call, in order.
  [[nodiscard]] std::deque<OnlineAction> TakeActions();

  /// @return whether nothing is left to do; the request may be dropped.
  [[nodiscard]] bool IsDone() const { return done_; }

  /// @return whether the caller still waits.
  [[nodiscard]] bool IsCallerWaiting() const { return !answered_; }

  [[nodiscard]] const OnlineDescription& Description() const
  {
    return description_;
  }

  /// @return endpoints that were tried and are not to be tried again.
  [[nodiscard]] std::span<const std::string> Tried() const { return tried_; }

  /// @return the endpoint that runs it now; empty if none.
  [[nodiscard]] const std::string& Endpoint() const { return endpoint_; }

  [[nodiscard]] std::uint32_t Attempt() const { return starts_; }

  /// @return whether its result is durable: agents may forget its runs.
  [[nodiscard]] bool IsRecorded() const { return recorded_; }

private:
  enum class RecordPhase : std::uint8_t
  {
    Asked,     ///< RecordRequest is under way.
    Accepted,  ///< Durable, and this entry runs it.
    Duplicate, ///< Another call with this key runs it.
    Refused,   ///< The owner has no record of it from us.
  };
  enum class RunPhase : std::uint8_t
  {
    Idle,
    Choosing,
    Running,
    Pausing, ///< Backoff before the next attempt.
    Over,
  };
  struct Refusal
  {
    base::ResultCode code_ = base::ResultCode::NoEndpoint;
    std::uint32_t retryAfterMs_ = 0;
  };

  void SendRecord();
  void SendResult();
  void ResendLater(base::Instant aNow);
  void ResendNow();
  void OnAccepted(base::Instant aNow);
  void OnNotOursToEnd();
  void OnAnotherRuns(base::Instant aNow);
  void OnFinishedBefore(const wire::ItemResult& aResult);
  void OnRecordRefused(const wire::RecordReply& aReply, base::Instant aNow);
  void Choose(bool aIsRetry);
  void OnNotRun(Refusal aRefusal, base::Instant aNow);
  void OnBroken(base::ResultCode aCode, base::Instant aNow);
  void OnAnswered(const wire::RunEnded& aEnded, base::Instant aNow);
  void EndRun(base::ResultCode aCode,
              std::string aText,
              std::uint32_t aTokens,
              std::string aDetail,
              base::Instant aNow);
  void AskForMissing();
  void CancelRunNow();
  void LeaveRun(routing::RunEnd aEnd);
  void Refuse(Refusal aRefusal, base::Instant aNow);
  void Conclude(base::ResultCode aCode,
                std::string aDetail,
                base::Instant aNow);
  void Record(wire::ItemResult aResult, base::Instant aNow);
  void OnDeadline(base::Instant aNow);
  void OnOwnerMissing();
  void OnWithdrawalSlow(base::Instant aNow);
  void StreamOut();
  void AnswerFinished(const wire::ItemResult& aRecorded);
  void AnswerFailed(base::ResultCode aCode,
                    base::Ran aRan,
                    std::uint32_t aRetryAfterMs,
                    std::string aDetail);
  void GoToBackground(base::Instant aNow);
  void Finish();
  [[nodiscard]] bool MayHaveRun() const { return unknownRuns_ > 0; }
  [[nodiscard]] bool HoldsRetry(base::Instant aNow) const;
  [[nodiscard]] bool WaitsForOwner() const;
  [[nodiscard]] wire::RunId CurrentRun() const;
  [[nodiscard]] std::uint64_t NextRandom();

  OnlineDescription description_;
  std::uint64_t jitter_;
  std::deque<OnlineAction> actions_;

  RecordPhase record_ = RecordPhase::Asked;
  bool recordSent_ = false;      ///< An owner may have a record.
  std::uint32_t unanswered_ = 0; ///< RecordRequests without a reply.
  bool mayWithdraw_ = true;
  std::uint32_t resends_ = 0;
  std::optional<base::Instant> resendAt_;
  base::Instant ownerPatienceEnds_;

  RunPhase run_ = RunPhase::Idle;
  std::string endpoint_;
  std::vector<std::string> tried_;
  std::uint32_t starts_ = 0;      ///< Runs sent, also those then refused.
  std::uint32_t unknownRuns_ = 0; ///< Runs that may have begun.
  std::uint32_t refusals_ = 0;
  std::uint32_t overloaded_ = 0;
  std::uint32_t crashes_ = 0;
  base::ResultCode lastBroken_ = base::ResultCode::EndpointLost;
  std::optional<base::Instant> runAgainAt_;
  std::optional<base::Instant> lostGraceEnds_;
  routing::RunAssembler assembler_;
  std::uint64_t askedBeyond_ = 0; ///< Gap that was asked for, plus 1.

  std::optional<Refusal> lastRefusal_; ///< By an endpoint.
  std::optional<Refusal> refusal_;     ///< Given up, not told yet.
  std::optional<base::Instant> refusalWaitEnds_;
  std::optional<wire::ItemResult> result_; ///< To be recorded.
  wire::RunId resultRun_;
  bool resultIsOwn_ = false; ///< An endpoint's answer, not a verdict of ours.

  StreamedText streamed_;
  std::uint64_t chunksSent_ = 0;
  std::uint32_t tokensSent_ = 0;
  bool acceptedSent_ = false;
  bool answered_ = false;
  bool done_ = false;
  bool recorded_ = false;
  std::optional<base::Instant> backgroundEnds_;
};

} // namespace pumiceturn::entry
