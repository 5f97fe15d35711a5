#pragma once

#include "LibKeeper/JobService.h"
#include "LibMetrics/Registry.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace pumiceturn::keeper {

/// Publishes the counts of the job service in the metrics registry.
class KeeperMetrics
{
public:
  KeeperMetrics(metrics::Registry& aRegistry,
                const std::shared_ptr<JobService>& aService);

  /// Adds the increments since the last call. Not thread-safe.
  void Update(const JobCounts& aCounts);

private:
  struct Row
  {
    std::uint64_t JobCounts::*count_;
    metrics::Counter* counter_;
  };

  std::vector<Row> rows_;
  JobCounts last_;
};

} // namespace pumiceturn::keeper
