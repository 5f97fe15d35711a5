#pragma once

#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::httpstream {

/// Keeps idle connections to servers for reuse, the most recently used first,
/// so that few stay open. Must be used only on the thread that runs the
/// io_context.
class ConnectionPool
{
public:
  using ReadyCallback = std::function<void(std::shared_ptr<ClientConnection>)>;

  explicit ConnectionPool(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
  {
  }

  /// If there is an idle connection, calls aReady with it before this function
  /// returns. Otherwise opens a connection and calls aReady when that has
  /// succeeded or failed.
  /// @param aKey     Identifies the server's process; a new process at the same
  ///                 address has another key.
  /// @param aReady   Receives nullptr if the connection failed.
  /// @return the connection, so that the caller can Cancel() it even while it
  /// is connecting.
  std::shared_ptr<ClientConnection> Acquire(
    const std::string& aKey,
    const boost::asio::ip::tcp::endpoint& aEndpoint,
    base::Duration aConnectTimeout,
    ReadyCallback aReady);

  /// Returns a connection to the pool after a call; closes it if it can't be
  /// reused. Ignores nullptr.
  void Release(const std::string& aKey,
               std::shared_ptr<ClientConnection> aConnection);

  /// Removes the idle connections of a server from the pool.
  void RemoveServer(const std::string& aKey) { idle_.erase(aKey); }

  /// Closes idle connections that have passed their idle limit.
  void CloseExpired(base::Instant aNow);

  [[nodiscard]] const boost::asio::any_io_executor& GetExecutor() const
  {
    return executor_;
  }

  /// @return the number of connections opened so far.
  [[nodiscard]] std::uint64_t OpenedCount() const { return openedCount_; }

private:
  std::shared_ptr<ClientConnection> PopIdle(const std::string& aKey);

  boost::asio::any_io_executor executor_;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<ClientConnection>>>
    idle_;
  std::uint64_t openedCount_ = 0;
};

} // namespace pumiceturn::httpstream
