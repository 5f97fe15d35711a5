#pragma once

#include "LibFleet/EndpointTable.h"
#include "LibGateway/LivenessProbe.h"
#include "LibGateway/ProcessQuery.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::gateway {

/// A call to an endpoint.
struct EndpointCall
{
  httpstream::Call call_;
  /// How long the endpoint may work on the request, as the request says.
  base::Duration timeLimit_{ 0 };
};

/// What an attempt sends, and to which process.
struct AttemptRequest
{
  /// Makes the call. Called when a connection is ready, as the time limits in
  /// the request count from then on.
  std::function<EndpointCall()> makeCall_;
  /// Only the registered process of the endpoint may get the request, as the
  /// response depends on its software version.
  bool needsProcess_ = false;
  /// How long the endpoint may take to say which process it is before it counts
  /// as silent.
  base::Duration processTimeout_{ 0 };
  std::string requestId_{}; ///< That the response echoes; empty: none.
};

/// One attempt of a request at one endpoint. Counts as in flight there while it
/// lasts, uses a pooled connection and forwards the response to an observer.
/// Used on the event thread only.
class EndpointAttempt
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<EndpointAttempt>
{
public:
  EndpointAttempt(SharedState& aShared,
                  fleet::EndpointRecord aEndpoint,
                  fleet::WorkClass aWorkClass);
  ~EndpointAttempt() override;
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;

  /// Sends the request. Ends as NotConnected if the endpoint's process must be
  /// the registered one and isn't. The observer must outlive the attempt or
  /// call Cancel().
  void Start(AttemptRequest aRequest, httpstream::CallObserver& aObserver);

  /// Closes the connection, which stops the work at the endpoint. The observer
  /// isn't called any more.
  void Cancel();

  /// Ends the attempt as Malformed: its observer found that the response isn't
  /// what it should be. May be called from OnBody().
  void Reject();

  /// Sets how long an attempt may be without any byte of a response; if it is
  /// cancelled later than that, it counts as failed. Requests that can't be
  /// retried have no other timeout before the caller's.
  void SetSilenceTimeout(base::Duration aTimeout)
  {
    silenceTimeout_ = aTimeout;
  }

  /// Pauses or resumes reading the response.
  void SetPaused(bool aIsPaused);

  [[nodiscard]] const fleet::EndpointRecord& Endpoint() const
  {
    return endpoint_;
  }

  /// @return how the end of the response is marked. Its head must have been
  ///         read.
  [[nodiscard]] httpstream::ResponseFraming Framing() const { return framing_; }

  /// @return whether the endpoint said that its process isn't the registered
  ///         one.
  [[nodiscard]] bool HasMetOtherProcess() const { return hasMetOtherProcess_; }

  /// @return how old the connection was when the response ended.
  [[nodiscard]] base::Duration ConnectionAge() const { return connectionAge_; }

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  httpstream::SilenceDecision OnSilence(
    const httpstream::Silence& aSilence) override;
  void OnEnd(httpstream::CallOutcome aOutcome) override;

private:
  void Acquire();
  void OnConnection(std::shared_ptr<httpstream::ClientConnection> aConnection);
  void SendCall();
  /// Counts on what the knowledge of the connection's process rests, and logs
  /// what isn't the process's own word.
  void ReportProcessEvidence(fleet::ProcessEvidence aEvidence);
  void AskForProcess();
  void OnProcessAnswer(const ProcessAnswer& aAnswer);
  /// Sends the request, on another connection if the endpoint closes this one.
  void GoOnAfterAnswer();
  void OnOtherProcess(std::int64_t aStartedAtMs);
  void OnProcessQueryFailed(httpstream::CallOutcome aOutcome);
  /// Ends an attempt that has sent nothing of its request.
  void EndUnsent();
  /// Checks whether the endpoint's process lives on. A response whose end isn't
  /// marked is whole only then.
  void CheckUnmarkedEnd();
  void OnEndChecked(const LivenessAnswer& aAnswer);
  /// @return whether the endpoint's process may end soon.
  [[nodiscard]] bool IsLeaving(const LivenessAnswer& aAnswer) const;
  /// @return whether it must be seen that the process goes on for a while.
  [[nodiscard]] bool NeedsSecondCheck(const LivenessAnswer& aAnswer) const;
  void CheckAgainLater();
  /// @return whether a response that ended in order is whole by its head alone:
  ///         it has a length, or a status that says all.
  [[nodiscard]] bool IsWholeByHead() const;
  void End(httpstream::CallOutcome aOutcome);
  void EndCounting();
  /// Sets whether events of a stream are due.
  void SetStreaming(bool aIsStreaming);
  void RecordOutcome(httpstream::CallOutcome aOutcome);
  /// Records bytes of the response, also as the end of a silence.
  void RecordActivity(base::Instant aNow);
  /// Reports bytes that arrive while a later process is registered under the
  /// endpoint's id, once.
  void ReportLaterProcess();
  /// Reports the time since the last event of a stream.
  void RecordEvent(base::Instant aNow);

  SharedState& shared_;
  fleet::EndpointRecord endpoint_;
  fleet::WorkClass workClass_;
  httpstream::CallObserver* observer_ = nullptr;
  AttemptRequest request_;
  std::shared_ptr<httpstream::ClientConnection> connection_;
  std::unique_ptr<ProcessQuery> processQuery_;
  base::Instant processAskedAt_{};
  /// Start of the process that got the request, as Unix time; 0: not known.
  std::int64_t processStartedAtMs_ = 0;
  std::uint32_t processQueries_ = 0;
  std::shared_ptr<LivenessProbe> probe_;
  base::Instant endedAt_{};    ///< When an end that isn't marked was read.
  base::Duration ranFor_{ 0 }; ///< From sentAt_ to the end of the response.
  bool isCheckedAgain_ = false;
  boost::asio::steady_timer recheckTimer_;
  base::Instant startedAt_{};
  base::BootInstant sentAt_{};    ///< When the request was sent.
  base::Duration timeLimit_{ 0 }; ///< That the endpoint got, from sentAt_.
  base::Duration silenceTimeout_ = base::Duration::max();
  std::optional<base::Instant> lastEventAt_;
  std::optional<base::Instant> pausedAt_; ///< Set while reading is paused.
  /// How long reading was paused since the last event.
  base::Duration pausedSinceEvent_{ 0 };
  bool isCountedInFlight_ = false;
  bool isStreaming_ = false; ///< Counted by CountStreaming().
  bool hasResponse_ = false; ///< The head of a response arrived.
  bool wasNotRun_ = false;
  bool isServerError_ = false;
  bool isSuccess_ = false; ///< The endpoint's status is 2xx.
  /// Nothing arrived within a timeout, nor since.
  bool isSilent_ = false;
  /// That counts as a failure of the endpoint.
  bool isSilenceFailure_ = false;
  bool isEventStream_ = false;
  bool isLaterProcessReported_ = false;
  bool hasMetOtherProcess_ = false;
  base::Duration connectionAge_{ 0 };
  httpstream::ResponseFraming framing_ = httpstream::ResponseFraming::Length;
};

} // namespace pumiceturn::gateway
