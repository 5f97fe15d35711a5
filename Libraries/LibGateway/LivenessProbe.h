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
  std::string address_; ///< IP:PORT.
  /// How long a process that runs may take to accept a connection.
  base::Duration connectTimeout_{ 0 };
  /// How long the connection is watched, or an answer awaited. The kernel of a
  /// process that ends closes its connections one after the other, and the
  /// listening socket may be the last; on a busy machine that takes a while.
  base::Duration holdTime_{ 0 };
  /// Start of the process that is looked for, as Unix time: the endpoint is
  /// asked for its own. 0: it isn't asked.
  std::int64_t startedAtMs_ = 0;
  /// Serialized request for the endpoint's health, if it isn't asked for its
  /// process or doesn't say; empty: none is sent.
  std::string healthRequest_{};
  /// @return whether the endpoint itself answers, not another one that has its
  ///         address now.
  std::function<bool(const httpstream::ResponseHead&)> isFromEndpoint_{};
};

/// Finds out whether the process at an address lives on, by connecting to it.
/// Must be used only on the event thread.
class LivenessProbe
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<LivenessProbe>
{
public:
  using ResultHandler = std::function<void(fleet::EndpointCheck)>;

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
  void Connect();
  void OnConnected(bool aIsConnected);
  void AskForProcess();
  void OnProcessAnswer(const ProcessAnswer& aAnswer);
  void AskForHealth();
  void Watch();
  void End(fleet::EndpointCheck aResult);

  boost::asio::any_io_executor executor_;
  const Codec& codec_;
  LivenessQuestion question_;
  std::unique_ptr<ProcessQuery> processQuery_;
  std::shared_ptr<httpstream::ClientConnection> connection_;
  boost::asio::steady_timer holdTimer_;
  ResultHandler handler_;
};

} // namespace pumiceturn::gateway
