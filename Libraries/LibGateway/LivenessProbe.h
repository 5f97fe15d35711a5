#pragma once

#include "LibFleet/UnmarkedEnd.h"
#include "LibGateway/ProcessQuery.h"
#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// How to find out whether an endpoint's process runs.
struct LivenessQuestion
{
  std::string endpoint_; ///< Id.
  std::string address_;  ///< IP:PORT.
  /// How long a process that runs may take to accept a connection.
  base::Duration connectTimeout_{ 0 };
  /// How long the connection is watched, or answers are awaited. The kernel of
  /// a process that ends closes its connections one after the other, and the
  /// listening socket may be the last; on a busy machine that takes a while.
  base::Duration holdTime_{ 0 };
  /// Start of the process that is looked for, as Unix time. 0: each start of
  /// the endpoint has another id.
  std::int64_t startedAtMs_ = 0;
  /// The process must say which one it is. Otherwise one that isn't known to be
  /// another one counts as running if it keeps the connection open.
  bool mustNameItself_ = false;
  /// Path for the endpoint's health; empty: it has none.
  std::string healthPath_{};
};

/// What a probe found.
struct LivenessAnswer
{
  fleet::EndpointCheck check_ = fleet::EndpointCheck::Unreachable;
  bool isReport_ = false;    ///< Of the endpoint's report, not of its health.
  unsigned status_ = 0;      ///< That its health was last answered with.
  std::string answeredBy_{}; ///< Id; empty if that answer has none.
};

/// Finds out whether the process at an address lives on, by connecting to it.
/// Must be used only on the event thread.
class LivenessProbe
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<LivenessProbe>
{
public:
  using ResultHandler = std::function<void(const LivenessAnswer&)>;

  LivenessProbe(const boost::asio::any_io_executor& aExecutor,
                const Codec& aCodec);
  ~LivenessProbe() override;
  LivenessProbe(const LivenessProbe&) = delete;
  LivenessProbe& operator=(const LivenessProbe&) = delete;

  /// @param aHandler Called once, unless the probe is cancelled or destroyed.
  void Start(LivenessQuestion aQuestion, ResultHandler aHandler);

  void Cancel();

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(httpstream::CallOutcome aOutcome) override;

private:
  /// What is asked on the next connection.
  enum class Step : std::uint8_t
  {
    Report,
    Health,
    Watch, ///< Nothing; the connection is watched.
  };

  [[nodiscard]] Step FirstStep() const;
  void GoOnWith(Step aStep);
  void OnConnected(bool aIsConnected);
  void AskForReport();
  void OnReport(const ProcessAnswer& aAnswer);
  /// Evaluates a report that names no start.
  void OnReportWithoutStart(const ProcessStartNotTold& aAnswer);
  void AskForHealth();
  void Watch();
  void End(fleet::EndpointCheck aResult);

  boost::asio::any_io_executor executor_;
  const Codec& codec_;
  LivenessQuestion question_;
  Step step_ = Step::Watch;
  LivenessAnswer answer_;
  std::unique_ptr<ProcessQuery> processQuery_;
  std::shared_ptr<httpstream::ClientConnection> connection_;
  boost::asio::steady_timer holdTimer_;
  ResultHandler handler_;
};

} // namespace pumiceturn::gateway
