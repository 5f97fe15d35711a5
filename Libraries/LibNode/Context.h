#pragma once

#include "LibBase/WorkerPool.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibMetrics/Registry.h"
#include "LibPartition/PartitionTable.h"
#include "LibPlatform/HostDirectory.h"
#include "LibPlatform/KeyValueClient.h"
#include "LibRouting/QuarantineTable.h"
#include "LibWire/LinkTable.h"

#include <Settings.pb.h>

namespace pumiceturn::node {

/// What every function of a process works with. All members outlive the
/// functions and are thread-safe.
struct Context
{
  const settings::Settings& settings_;
  base::WorkerPool& pool_;
  wire::LinkTable& links_;
  metrics::Registry& metrics_;
  platform::KeyValueClient& keyValue_;
  platform::HostDirectory& hosts_;
  configuration::ConfigurationCache& configuration_;
  partition::PartitionTable& partitions_;
  routing::QuarantineTable& quarantine_;
};

/// Whether new work may come in.
enum class Readiness : std::uint8_t
{
  Starting,
  Ready,
  Draining, ///< Refuses new work as not run; what runs is finished.
};

} // namespace pumiceturn::node
