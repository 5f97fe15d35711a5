#pragma once

#include "LibFleet/EventSplitter.h"
#include "LibGateway/EndpointAttempt.h"
#include "LibHttpStream/ServerConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Why an online request ended, for the log.
enum class ProxyOutcome : std::uint8_t
{
  Answered,           ///< An endpoint's whole answer was passed on.
  NotRun,             ///< Refused, and certainly not run.
  Failed,             ///< Ended without an answer; may have run.
  BrokenOff,          ///< A stream was broken off midway.
  TimedOut,           ///< Its time was up.
  CallerDisconnected, ///< The caller closed.
  Suspect, ///< Refused: it seems to crash each endpoint that runs it.
};

/// Carries one online request to an endpoint and its answer back. Tries another
/// endpoint where the request has certainly not run or may run again, and goes
/// on with a resumable stream at another endpoint. Belongs to the event thread.
class OnlineProxy
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<OnlineProxy>
{
public:
  /// Makes room at the chosen endpoint by cancelling a batch run there.
  using PreemptBatch = std::function<void(const fleet::EndpointChoice&)>;

  OnlineProxy(SharedState& aShared,
              const boost::asio::any_io_executor& aExecutor,
              std::shared_ptr<httpstream::Exchange> aExchange,
              fleet::Route aRoute,
              CallerName aCaller,
              const PreemptBatch& aPreemptBatch);

  void Start();

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(httpstream::CallOutcome aEnd) override;

private:
  [[nodiscard]] bool MayRunAgain() const;
  [[nodiscard]] base::Duration TimeLeft() const;
  void TryNext();
  /// Refuses the request where it would wait too long for a place.
  /// @return whether it may be sent.
  [[nodiscard]] bool Admit(const fleet::EndpointChoice& aChoice);
  void Send(const fleet::EndpointChoice& aChoice);
  void PassEvents();
  void OnWholeAnswer();
  void OnRefused();
  void OnBroken(httpstream::CallOutcome aEnd);
  void OnTimeUp();
  void NoteSuspect(httpstream::CallOutcome aEnd);
  [[nodiscard]] bool IsSuspect() const;
  void AnswerNotRun();
  void Finish(ProxyOutcome aEnd);

  SharedState& shared_;
  boost::asio::steady_timer deadlineTimer_;
  std::shared_ptr<httpstream::Exchange> exchange_;
  fleet::Route route_;
  CallerName caller_;
  const PreemptBatch& preemptBatch_;
  OnlineCall call_;
  base::Instant deadline_;
  std::shared_ptr<EndpointAttempt> run_;
  std::vector<std::string> tried_; ///< Endpoints that got the request.
  std::uint32_t failedConnects_ = 0;
  base::Duration expectedWait_{ 0 }; ///< For a place, when it was last sent.
  bool mayHaveRun_ = false;
  std::uint64_t content_;           ///< Hash of what is asked.
  bool runIsRetry_ = false;         ///< After a crash of such a run.
  std::uint64_t runFirstEvent_ = 0; ///< The last event before the run.

  // Of the answer that is being read.
  std::optional<httpstream::ResponseHead> head_;
  ResponseInfo responseInfo_;
  bool isEventStream_ = false;
  std::string body_; ///< Of an answer that is passed on whole.
  fleet::EventSplitter splitter_;
  std::uint64_t lastEvent_ = 0;
  std::optional<base::Instant> firstPieceAt_;
  bool ended_ = false;
};

} // namespace pumiceturn::gateway
