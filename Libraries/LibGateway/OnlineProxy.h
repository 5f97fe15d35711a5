#pragma once

#include "LibFleet/CrashEvidence.h"
#include "LibFleet/SilencePolicy.h"
#include "LibFleet/StreamProgress.h"
#include "LibGateway/CrashCheck.h"
#include "LibGateway/EndpointAttempt.h"
#include "LibGateway/StreamContinuation.h"
#include "LibGateway/StreamOrigins.h"
#include "LibHttpStream/ServerConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Outcome of an online request, for the log and the metrics.
enum class ProxyOutcome : std::uint8_t
{
  Responded,          ///< A complete response was forwarded.
  NotRun,             ///< Rejected; no endpoint ran it.
  Failed,             ///< No complete response; the request may have run.
  StreamAborted,      ///< A stream was aborted midway.
  TimedOut,           ///< Its deadline passed.
  CallerDisconnected, ///< The caller closed the connection.
  Suspect,            ///< Rejected, as such requests crash endpoints.
};

/// Forwards one online request to an endpoint and the response to the caller.
/// Retries at another endpoint if the request has not run or is idempotent, and
/// resumes resumable streams there. Used on the event thread only.
class OnlineProxy
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<OnlineProxy>
{
public:
  /// How long an endpoint may send bytes without completing a new event.
  static constexpr std::chrono::seconds kMaxTimeWithoutEvent{ 3 };

  /// Frees a slot at the chosen endpoint by cancelling a batch attempt.
  using PreemptBatch = std::function<void(const fleet::EndpointChoice&)>;

  OnlineProxy(SharedState& aShared,
              const boost::asio::any_io_executor& aExecutor,
              std::shared_ptr<httpstream::Exchange> aExchange,
              fleet::Route aRoute,
              OrganisationName aCaller,
              StreamOrigins& aOrigins,
              const PreemptBatch& aPreemptBatch);
  ~OnlineProxy() override = default;
  OnlineProxy(const OnlineProxy&) = delete;
  OnlineProxy& operator=(const OnlineProxy&) = delete;

  void Start();

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  httpstream::SilenceDecision OnSilence(
    const httpstream::Silence& aSilence) override;
  void OnEnd(httpstream::CallOutcome aOutcome) override;

private:
  /// No attempt starts with less time than this left, as none can complete in
  /// less.
  static constexpr std::chrono::milliseconds kMinAttemptTime{ 30 };

  [[nodiscard]] bool IsRetryable() const;
  [[nodiscard]] base::Duration TimeLeft() const;
  void TryNextEndpoint();
  /// Rejects the request if it would wait too long for a slot.
  /// @return whether the request may be sent.
  [[nodiscard]] bool Admit(const fleet::EndpointChoice& aChoice);
  /// Rejects the request if its organisation is beyond its share of the slots
  /// in a shortage.
  /// @return whether the request may be sent.
  [[nodiscard]] bool AdmitByShare(const std::string& aService);
  /// Responds that the request was not run, and ends it.
  void RejectNotRun(base::Duration aRetryAfter);
  void Send(const fleet::EndpointChoice& aChoice);
  /// @return the call to an endpoint, with the given timeouts.
  [[nodiscard]] EndpointCall MakeCall(const std::string& aEndpoint,
                                      const httpstream::Call& aTimeouts) const;
  /// @return whether the response depends on the endpoint's software version.
  [[nodiscard]] bool NeedsProcess() const;
  /// Finds out where the stream began that the caller resumes.
  void FindOrigin();
  void OnOrigin(const StreamOrigins::Result& aResult);
  void ResumeAt(const fleet::OriginFound& aOrigin,
                const StreamOrigins::Result& aResult);
  void RejectUnknownStream(std::string_view aCause,
                           const StreamOrigins::Result& aResult);
  /// @return the beginning of the id that the caller gave.
  [[nodiscard]] std::string_view LoggedResumedId() const;
  /// Records where the stream began, for callers that resume it.
  void RecordOrigin();
  /// @return the endpoint of the next attempt; empty if none is left.
  [[nodiscard]] std::optional<fleet::EndpointChoice> ChooseEndpoint(
    fleet::Evidence aEvidence);
  [[nodiscard]] std::optional<fleet::EndpointChoice> ChooseExcept(
    std::span<const std::string> aExcluded,
    fleet::Evidence aEvidence);
  /// @return the attempts made that count towards the route's maximum.
  [[nodiscard]] std::size_t CountedAttempts() const;
  /// @return whether another attempt may be made, if there is an endpoint.
  [[nodiscard]] bool MayTryAgain() const;
  /// @return what could take over from the current attempt.
  [[nodiscard]] fleet::Replacement FindReplacement();
  void LogSilence(const httpstream::Silence& aSilence,
                  fleet::SilenceAction aAction);
  /// Logs that the rest of a stream can't be served, if it is one.
  void LogIfNotContinued() const;
  /// Tries again a little later to get the rest of a stream whose version has
  /// endpoints, which were full or couldn't be reached.
  /// @return whether it does; not if it has waited for too long.
  [[nodiscard]] bool WaitForSlot();
  /// Takes a step after a pause, the next of a few that become longer.
  /// @return whether it does; not after all of them, and not beyond the
  ///         deadline.
  [[nodiscard]] bool PauseBefore(void (OnlineProxy::*aStep)());
  /// Ends the request if no further attempt may be made.
  void EndWithoutAttempt();
  /// Sets how long an endpoint of a retryable request may be silent.
  void SetGapTimeouts(httpstream::Call& aCall) const;
  /// Ends an attempt whose response isn't the stream's, is too large, or brings
  /// bytes but no new event for too long.
  /// @param aHasAdvanced Whether the last bytes completed a new event.
  /// @return whether the attempt was ended.
  bool RejectFaultyResponse(bool aHasAdvanced);
  /// Forwards complete events to the caller.
  void Forward(const std::string& aEvents);
  void OnCompleteResponse();
  /// Ends a stream whose events the caller has all.
  void CompleteStream();
  /// @return whether the rest of the stream can be asked for, and only that
  ///         shows whether there is one: nothing marks the response's end.
  [[nodiscard]] bool MayHaveRest() const;
  /// Asks the endpoint whose process lives on for what follows the last event:
  /// a whole response has no rest. Asks another one if that endpoint leaves.
  void AskForRest();
  /// Asks another endpoint, also as a further attempt if one of those made was
  /// lost with its endpoint's process.
  void AskAnotherForRest();
  /// Handles the end of that question, unless there is a rest or the endpoint
  /// says that there is none.
  /// @return whether it did.
  [[nodiscard]] bool EndQuestionForRest(httpstream::CallOutcome aOutcome);
  void OnAttemptRefused();
  void OnAttemptBroken(httpstream::CallOutcome aOutcome);
  /// Finds out whether the process of the endpoint that broke an attempt last
  /// has ended: the attempt then doesn't count. Goes on afterwards.
  void CheckForCrash();
  void OnCrashChecked(const CrashCheckResult& aResult);
  void OnDeadline();
  void RecordBroken(httpstream::CallOutcome aOutcome);
  /// Rejects the request if such ones crash endpoints, and restricts where one
  /// that is suspected of it may be sent.
  /// @return whether the request may be sent.
  [[nodiscard]] bool AdmitByCrashes();
  [[nodiscard]] bool AdmitSuspected(const fleet::Suspected& aSuspicion);
  [[nodiscard]] bool AdmitTrial(const fleet::CrashesEndpoints& aRefusal);
  [[nodiscard]] bool IsRefusedForCrashes() const;
  void RespondUnavailable();
  void Finish(ProxyOutcome aOutcome);

  SharedState& shared_;
  boost::asio::steady_timer deadlineTimer_;
  std::shared_ptr<httpstream::Exchange> exchange_;
  fleet::Route route_;
  OrganisationName caller_;
  /// When the request was found to be within its organisation's limit.
  base::Instant admittedAt_ = base::MonotonicNow();
  StreamOrigins& origins_;
  const PreemptBatch& preemptBatch_;
  CallerFields call_;
  base::Instant deadline_;
  std::shared_ptr<EndpointAttempt> attempt_;
  /// Where the next attempt is made; empty: not chosen yet.
  std::optional<fleet::EndpointChoice> replacement_;
  /// What was last logged about the silence of the current attempt.
  std::optional<fleet::SilenceAction> loggedSilence_;
  std::vector<std::string> triedEndpoints_; ///< Ids, one for each attempt.
  std::uint32_t undeliveredAttempts_ = 0;   ///< Since the last wait for a slot.
  /// Endpoints that aren't asked again before the next wait for a slot: they
  /// couldn't be reached, or were too full for the rest of a stream.
  std::vector<std::string> passedOver_;
  boost::asio::steady_timer slotTimer_;
  std::uint32_t slotWaits_ = 0;
  /// Attempts that don't count: they were rejected by another process at an
  /// endpoint's address, or after another endpoint may have run the request, or
  /// asked an endpoint for the rest of its own response.
  std::uint32_t uncountedAttempts_ = 0;
  /// Attempts that endpoints refused before a stream began. They don't count
  /// for its rest, as nothing of it ran there.
  std::uint32_t refusedAttempts_ = 0;
  /// An attempt doesn't count, as its endpoint crashed. Only one: a second
  /// crash is rather caused by the request.
  bool isLostToCrash_ = false;
  /// Broke an attempt last; empty: none did.
  std::optional<fleet::EndpointRecord> lastBroken_;
  std::shared_ptr<CrashCheck> crashCheck_;
  base::Duration expectedWait_{ 0 }; ///< For a slot, at the latest attempt.
  bool mayHaveRun_ = false;
  fleet::RequestFeatures features_;
  /// Feature that may crash endpoints: requests with it go to the same one.
  std::optional<std::uint64_t> suspectFeature_;
  /// Endpoints that crashed under requests with that feature.
  std::vector<std::string> crashedEndpoints_;
  /// Refused feature for which this request is let through.
  std::optional<std::uint64_t> trialFeature_;
  base::Instant sentAt_{}; ///< When the current attempt began.

  // State of the response that is being read.
  std::optional<httpstream::ResponseHead> head_;
  ResponseInfo responseInfo_;
  bool isEventStream_ = false;
  fleet::StreamProgress progress_{ kMaxTimeWithoutEvent };
  std::string body_;                 ///< Buffered unless it is an event stream.
  bool isFromOtherEndpoint_ = false; ///< Its events must not be joined.
  // State of all attempts.
  StreamContinuation stream_;
  std::optional<base::Instant> firstEventAt_;
  /// The stream ended only with its connection, and the endpoint's process
  /// lives on, so that it is whole unless somebody has a rest.
  bool hasUnmarkedEnd_ = false;
  bool isAskingForRest_ = false; ///< The current attempt does.
  bool isFinished_ = false;
  bool isCountedForShare_ = false;
};

} // namespace pumiceturn::gateway
