#pragma once

#include "LibBase/Result.h"
#include "LibClient/Client.h"
#include "LibLoad/Report.h"

#include <LoadPlan.pb.h>

#include <functional>
#include <string>

namespace pumiceturn::load {

/// How far a run is, once a second.
struct Progress
{
  double atS_ = 0;
  double lengthS_ = 0;
  std::size_t inFlight_ = 0; ///< Online calls.
  Counts counts_;
};

struct LoadOptions
{
  client::Client::Options client_;
  std::function<void(const Progress&)> onProgress_;
};

/// Runs a plan against a fleet: online calls without a thread each, a thread
/// for each lot, one for faults, one for changes of configuration. Blocks for
/// the plan's length and the wait for the rest.
/// @return what was measured, or UnknownService or UnknownKind where the
/// configuration in force does not know what the plan names.
base::Result<RunOutcome>
RunLoad(const LoadPlan& aPlan, const LoadOptions& aOptions);

} // namespace pumiceturn::load
