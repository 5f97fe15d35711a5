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

/// Kept-alive HTTP connections to one address. Thread-safe; a connection taken
/// belongs to the taker until given back.
class ConnectionPool
{
public:
  struct Options
  {
    std::string host_;
    int port_ = 0;
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
    std::size_t maxIdle_ = 64;
    /// Connections idle for longer are closed. Shorter than the servers' own
    /// limit, because a request sent just as the server closes an idle
    /// connection has an unknown outcome.
    base::Duration maxIdleTime_{ std::chrono::seconds{ 1 } };
  };

  /// @param aAddress IP:port.
  /// @return OutOfRange if it is none.
  static base::Result<Options> ParseAddress(const std::string& aAddress);

  explicit ConnectionPool(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /// @return an idle connection, or one that connects on its first request.
  std::unique_ptr<httplib::Client> Take();

  /// Keeps a connection whose last answer was read to its end.
  void GiveBack(std::unique_ptr<httplib::Client> aClient);

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
