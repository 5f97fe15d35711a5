#pragma once

#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::httpstream {

/// Keeps idle connections to servers for the next call. The last one used comes
/// first, so that few are kept warm. Belongs to the event thread.
class ConnectionPool
{
public:
  using Ready = std::function<void(std::shared_ptr<ClientConnection>)>;

  explicit ConnectionPool(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
  {
  }

  /// Gives an idle connection at once, or makes one.
  /// @param aKey     Names the server's process: a successor at the same
  ///                 address is another.
  /// @param aReady   Receives nullptr where no connection could be made.
  /// @return the connection under way, for Cancel().
  std::shared_ptr<ClientConnection> Acquire(
    const std::string& aKey,
    const boost::asio::ip::tcp::endpoint& aEndpoint,
    base::Duration aConnectTimeout,
    Ready aReady);

  /// Takes back a connection after a call; drops it if it can't be reused.
  void Release(const std::string& aKey,
               std::shared_ptr<ClientConnection> aConnection);

  /// Drops the idle connections of a server that has gone.
  void Forget(const std::string& aKey) { idle_.erase(aKey); }

  /// Drops idle connections whose time is up.
  void Sweep(base::Instant aNow);

  [[nodiscard]] std::uint64_t MadeCount() const { return made_; }

private:
  std::shared_ptr<ClientConnection> TakeIdle(const std::string& aKey);

  boost::asio::any_io_executor executor_;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<ClientConnection>>>
    idle_;
  std::uint64_t made_ = 0;
};

} // namespace pumiceturn::httpstream
