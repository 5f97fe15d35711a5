#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <httplib.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::endpoint {

/// Pool of keep-alive HTTP connections to one address. Thread-safe; an acquired
/// connection belongs to the caller until it is released.
class ConnectionPool
{
public:
  struct Options
  {
    std::string host_;
    int port_ = 0;
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
    std::size_t maxIdleConnections_ = 64;
    /// Connections that have been idle for longer are closed. Must be shorter
    /// than the server's own limit, because a request that is sent while the
    /// server closes an idle connection has an unknown outcome.
    base::Duration maxIdleTime_{ std::chrono::seconds{ 1 } };
  };

  /// @param aAddress IP:port.
  /// @return OutOfRange if the address is malformed.
  static base::Result<Options> ParseAddress(const std::string& aAddress);

  explicit ConnectionPool(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /// @return an idle connection, or one that connects on its first request.
  std::unique_ptr<httplib::Client> Acquire();

  /// Returns a connection to the pool. Its last response must have been read
  /// completely.
  void Release(std::unique_ptr<httplib::Client> aClient);

private:
  struct Idle
  {
    std::unique_ptr<httplib::Client> client_;
    base::Instant since_;
  };

  const Options options_;
  std::mutex mutex_;
  std::vector<Idle> idle_;
};

} // namespace pumiceturn::endpoint
