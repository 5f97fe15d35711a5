#pragma once

#include "LibBatch/LedgerCache.h"
#include "LibFleet/AdmissionControl.h"
#include "LibFleet/CrashAttribution.h"
#include "LibFleet/EndpointTable.h"
#include "LibFleet/FairShare.h"
#include "LibFleet/RateLimiter.h"
#include "LibFleet/RouteTable.h"
#include "LibGateway/Codec.h"
#include "LibGateway/OutputBudget.h"
#include "LibHttpStream/ConnectionPool.h"
#include "LibMetrics/Registry.h"

#include <optional>
#include <random>

namespace pumiceturn::gateway {

/// Tables, codec and metrics that the handlers of a gateway share. Used on the
/// event thread only.
struct SharedState
{
  const Codec& codec_;
  fleet::RouteTable routes_;
  fleet::EndpointTable endpoints_;
  httpstream::ConnectionPool pool_; ///< Connections to endpoints.
  std::mt19937_64 random_;
  metrics::Registry metrics_;
  fleet::CrashAttribution crashes_;
  fleet::AdmissionControl admission_;
  batch::LedgerCache ledgers_;
  fleet::RateLimiter rateLimiter_;
  OutputBudget outputBudget_;
  fleet::FairShare fairShare_{};
};

/// @return a uniformly distributed random number in [0, 1).
inline double
NextRandom(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
}

} // namespace pumiceturn::gateway
