#pragma once

#include <httplib.h>

#include <mutex>
#include <set>
#include <string>

namespace pumiceturn::standin {

/// An HTTP server that can drop its open connections, as a crashed process or a
/// faulty network would. Thread-safe.
class TrackingServer : public httplib::Server
{
public:
  /// @param aMaxConnections Connections served at once; further ones wait.
  explicit TrackingServer(std::size_t aMaxConnections);

  /// @param aPort 0: any free port.
  /// @return the port, or 0 if it cannot be bound.
  int Bind(const std::string& aHost, int aPort);

  /// Closes all connections, and those that are accepted from now on.
  void DropConnections();

  /// Closes the connection of the request that this thread handles, so that
  /// its answer is lost.
  static void DropCurrentConnection();

  /// @return whether the client of the request that this thread handles still
  /// waits.
  static bool IsCurrentConnectionOpen();

private:
  bool process_and_close_socket(socket_t aSocket) override;

  std::mutex mutex_; ///< Guards the members below.
  std::set<socket_t> open_;
  bool dropping_ = false;
};

} // namespace pumiceturn::standin
