#pragma once

#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// Finds out whether the process at an address lives on, by connecting to it.
/// Must be used only on the event thread.
class LivenessProbe : public std::enable_shared_from_this<LivenessProbe>
{
public:
  using ResultHandler = std::function<void(bool aIsAlive)>;

  explicit LivenessProbe(const boost::asio::any_io_executor& aExecutor);

  /// @param aAddress IP:PORT.
  /// @param aTimeout How long a process that runs may take to accept.
  /// @param aHandler Called once, unless the probe is cancelled: true if the
  ///                 address accepts a connection and keeps it.
  void Start(const std::string& aAddress,
             base::Duration aTimeout,
             ResultHandler aHandler);

  void Cancel();

private:
  void OnConnected(bool aIsConnected);
  void End(bool aIsAlive);

  std::shared_ptr<httpstream::ClientConnection> connection_;
  boost::asio::steady_timer holdTimer_;
  ResultHandler handler_;
};

} // namespace pumiceturn::gateway
