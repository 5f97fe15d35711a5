#pragma once

#include "LibClient/Client.h"
#include "LibLoad/LotRun.h"

#include <LoadPlan.pb.h>

#include <vector>

namespace pumiceturn::load {

/// One change of configuration, and how it spread.
struct ConfigurationSpread
{
  std::uint64_t version_ = 0;
  double spreadMs_ = 0; ///< From the acceptance until in force everywhere.
  bool isAccepted_ = false;
  bool isEverywhere_ = false; ///< Else spreadMs_ is how long was waited.
};

/// Makes a change that alters nothing (a partner's batch share between 0 and 1,
/// which mean the same) at each moment that the plan names, and asks every
/// entry until every linked host and endpoint has it. Blocks until the last
/// change has spread, or until stopped.
std::vector<ConfigurationSpread>
RunConfigurationChanges(const LoadPlan& aPlan,
                        const client::Client::Options& aOptions,
                        base::Instant aStart,
                        StopSignal& aStop);

} // namespace pumiceturn::load
