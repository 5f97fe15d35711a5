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

/// State machine of one online call, from its record to its durable result.
/// Events are passed in with the current time; the resulting actions are
/// fetched with TakeActions() after each event. Does no I/O. See "An online
/// call" in docs/ARCHITECTURE.md for the protocol and docs/design/retries.md
/// for reruns and refusals.
class OnlineRequest
{
public:
  /// Time for a lost link to come up again before an idempotent request is run
  /// on another endpoint.
  static constexpr base::Duration kEndpointGracePeriod{
    std::chrono::milliseconds{ 500 }
  };
  /// Time for the owner to answer, including a takeover of its partition,
  /// before the request is refused as NotRecorded.
  static constexpr base::Duration kOwnerTimeout{ std::chrono::seconds{ 5 } };
  /// A refused request's record is withdrawn by recording a NotRun result. If
  /// that takes longer than this, the caller gets Ran::Unknown instead of
  /// NotRun.
  static constexpr base::Duration kWithdrawalTimeout{ std::chrono::milliseconds{
    200 } };
  /// How long the result is still sent to the owner after the caller was
  /// answered.
  static constexpr base::Duration kBackgroundTimeout{ std::chrono::seconds{
    30 } };
  /// Minimum time before the deadline to start a retry.
  static constexpr base::Duration kMinRetryTime{ std::chrono::milliseconds{
    50 } };
  static constexpr base::Duration kMinResendDelay{ std::chrono::milliseconds{
    100 } };
  static constexpr base::Duration kMaxResendDelay{ std::chrono::seconds{ 1 } };
  static constexpr std::uint32_t kRetryAfterNotRecordedMs = 1000;
  static constexpr std::uint32_t kMaxOverloadRefusals = 2;
  static constexpr std::uint32_t kMaxRefusals = 4;
  static constexpr std::uint32_t kCrashesToQuarantine = 2;

  /// @return whether the attempt number was assigned by an entry rather than an
  /// owner.
  static bool IsEntryAttempt(std::uint32_t aAttempt);

  explicit OnlineRequest(OnlineDescription aDescription);

  void Begin(base::Instant aNow);

  /// The message of a SendToOwner was queued on the link to the owner.
  void OnOwnerSent(base::Instant aNow);
  /// The message of a SendToOwner wasn't queued: the owner isn't known or not
  /// linked.
  void OnOwnerUnreachable(base::Instant aNow);

  /// The owner or the link to it changed. Messages without a reply are sent
  /// again.
  void OnOwnerChanged();
  void OnRecordReply(const wire::RecordReply& aReply, base::Instant aNow);
  void OnRecordResultReply(const wire::RecordResultReply& aReply,
                           base::Instant aNow);

  /// Results of ChooseEndpoint.
  void OnEndpoint(const std::string& aEndpoint, base::Instant aNow);
  void OnNoEndpoint(base::ResultCode aCode,
                    std::uint32_t aRetryAfterMs,
                    base::Instant aNow);

  /// StartRun could not be queued, so the request didn't run there.
  void OnStartNotSent(const std::string& aEndpoint, base::Instant aNow);
  void OnChunk(const wire::Chunk& aChunk, base::Instant aNow);
  void OnRunEnded(const std::string& aEndpoint,
                  const wire::RunEnded& aEnded,
                  base::Instant aNow);
  void OnEndpointLink(std::string_view aEndpoint,
                      wire::LinkState aState,
                      base::Instant aNow);

  /// The caller cancelled or disconnected.
  void OnCallerGone(base::Instant aNow);

  /// @return when OnTimer() must be called next; std::nullopt once IsDone().
  [[nodiscard]] std::optional<base::Instant> NextTimer() const;
  void OnTimer(base::Instant aNow);

  /// @return the actions since the last call, in order.
  [[nodiscard]] std::deque<OnlineAction> TakeActions();

  /// @return whether the request is complete and may be destroyed.
  [[nodiscard]] bool IsDone() const { return done_; }

  /// @return whether the caller has not been answered yet.
  [[nodiscard]] bool IsCallerWaiting() const { return !callerAnswered_; }

  [[nodiscard]] const OnlineDescription& Description() const
  {
    return description_;
  }

  /// @return the endpoints that must not be tried again.
  [[nodiscard]] std::span<const std::string> Tried() const { return tried_; }

  /// @return the endpoint of the current or last run; empty before the first.
  [[nodiscard]] const std::string& Endpoint() const { return endpoint_; }

  [[nodiscard]] std::uint32_t RunCount() const { return runsSent_; }

  /// @return whether the result is durable; agents may then forget the
  /// request's runs.
  [[nodiscard]] bool IsResultDurable() const { return recorded_; }

private:
  enum class RecordPhase : std::uint8_t
  {
    Pending, ///< No reply of the owner yet; the RecordRequest may not have been
             ///< sent.
    Accepted,  ///< Durable; this entry runs the request.
    Duplicate, ///< Another call with this key runs it.
    Refused,   ///< The owner has no record of this call.
  };
  enum class RunPhase : std::uint8_t
  {
    Idle,
    Choosing,
    Running,
    BackingOff, ///< Waiting before the next attempt.
    Ended,
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
  void OnOwnerRunsRequest();
  void OnOtherCallRunning(base::Instant aNow);
  void OnAlreadyFinished(const wire::ItemResult& aResult);
  void OnRecordRefused(const wire::RecordReply& aReply, base::Instant aNow);
  void Choose(bool aIsRetry);
  void OnRunRefused(Refusal aRefusal, base::Instant aNow);
  void OnRunFailed(base::ResultCode aCode, base::Instant aNow);
  void OnRunAnswered(const wire::RunEnded& aEnded, base::Instant aNow);
  void CompleteRun(base::ResultCode aCode,
                   std::string aText,
                   std::uint32_t aTokens,
                   std::string aDetail,
                   base::Instant aNow);
  void RequestMissingChunks();
  void CancelCurrentRun();
  void ReleaseRun(routing::RunOutcome aOutcome);
  void Refuse(Refusal aRefusal, base::Instant aNow);
  void EndWithError(base::ResultCode aCode,
                    std::string aDetail,
                    base::Instant aNow);
  void Record(wire::ItemResult aResult, base::Instant aNow);
  void OnDeadline(base::Instant aNow);
  void OnOwnerTimeout();
  void OnWithdrawalTimeout(base::Instant aNow);
  void StreamNewText();
  void AnswerFinished(const wire::ItemResult& aRecorded);
  void AnswerFailed(base::ResultCode aCode,
                    base::Ran aRan,
                    std::uint32_t aRetryAfterMs,
                    std::string aDetail);
  void ContinueInBackground(base::Instant aNow);
  void Finish();
  [[nodiscard]] bool MayHaveRun() const { return begunRuns_ > 0; }
  [[nodiscard]] bool HasTimeForRetry(base::Instant aNow) const;
  [[nodiscard]] bool WaitsForOwner() const;
  [[nodiscard]] wire::RunId CurrentRun() const;
  [[nodiscard]] std::uint64_t NextRandom();

  OnlineDescription description_;
  std::uint64_t jitter_;
  std::deque<OnlineAction> actions_;

  RecordPhase recordPhase_ = RecordPhase::Pending;
  bool recordSent_ = false;             ///< The owner may have the record.
  std::uint32_t unansweredRecords_ = 0; ///< RecordRequests without a reply.
  bool mayWithdraw_ = true; ///< False if the record may belong to another call.
  std::uint32_t resends_ = 0;
  std::optional<base::Instant> resendAt_;
  base::Instant ownerTimeoutAt_;

  RunPhase runPhase_ = RunPhase::Idle;
  std::string endpoint_;
  std::vector<std::string> tried_;
  std::uint32_t runsSent_ = 0; ///< Runs sent, including refused ones.
  /// Runs sent and not refused; they may have begun.
  std::uint32_t begunRuns_ = 0;
  std::uint32_t refusals_ = 0;
  std::uint32_t overloadRefusals_ = 0;
  std::uint32_t crashes_ = 0;
  base::ResultCode lastFailure_ = base::ResultCode::EndpointLost;
  std::optional<base::Instant> retryAt_;
  std::optional<base::Instant> endpointGraceEndsAt_;
  routing::RunAssembler assembler_;
  /// First sequence number that was requested again; 0 if none.
  std::uint64_t requestedFrom_ = 0;

  /// Refusal with the shortest known retry delay.
  std::optional<Refusal> bestRefusal_;
  std::optional<Refusal> refusal_; ///< Not reported to the caller yet.
  std::optional<base::Instant> withdrawalTimeoutAt_;
  std::optional<wire::ItemResult> result_; ///< To be recorded by the owner.
  wire::RunId resultRun_;
  /// False if result_ is an error decided by this entry.
  bool isResultFromEndpoint_ = false;

  StreamedText streamed_;
  std::uint64_t chunksSent_ = 0;
  std::uint32_t tokensSent_ = 0;
  bool acceptedSent_ = false;
  bool callerAnswered_ = false;
  bool done_ = false;
  bool recorded_ = false;
  std::optional<base::Instant> backgroundEndsAt_;
};

} // namespace pumiceturn::entry
