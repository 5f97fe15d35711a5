#pragma once

#include "LibBase/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::http {

/// Serves the pages that the platform's balancer and its monitoring ask for:
/// `/metrics`, `/healthz` (the process lives) and `/readyz` (new work may
/// come).
class StatusServer
{
public:
  /// What the pages show. Called on the server's threads.
  struct Callbacks
  {
    std::function<std::string()> writeMetrics_;
    std::function<bool()> isHealthy_;
    std::function<bool()> isReady_;
  };

  /// Binds and serves until destroyed.
  /// @param aAddress IP:port; port 0 takes a free one.
  /// @return the server, or OutOfRange for a bad address, or InputOutput when
  /// the address is taken.
  static base::Result<std::unique_ptr<StatusServer>> Start(
    const std::string& aAddress,
    Callbacks aCallbacks);

  /// Ends after the requests now served.
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// @return the port that is listened on.
  [[nodiscard]] std::uint16_t Port() const;

private:
  struct State;
  explicit StatusServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::http
