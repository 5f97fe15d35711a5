#pragma once

#include "LibBase/ResultCode.h"
#include "LibBase/Time.h"
#include "LibBase/WorkerPool.h"
#include "LibJobLog/FleetView.h"
#include "LibJobLog/SegmentStore.h"
#include "LibMetrics/Registry.h"
#include "LibPartition/KeyValueAccess.h"
#include "LibPartition/PartitionTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pumiceturn::joblog {

/// What settings say of a keeper's log.
struct LogOptions
{
  std::string host_;
  std::string failureDomain_;
  std::string keyPrefix_;
  SegmentStore::Options store_;
  std::uint32_t copies_ = 2;
  std::uint32_t minCopies_ = 2;
  std::uint32_t proposedPartitions_ = 256;
  base::Duration takeoverAfter_{ base::Duration{ 2000000 } };
  /// Between looks at links and due work; short against takeoverAfter_.
  base::Duration tickInterval_{ base::Duration{ 100000 } };
  /// How long swaps wait for others, to leave in one call.
  base::Duration swapDelay_{ base::Duration{ 20000 } };
  /// First wait after a failed call to the key-value service; doubles up to
  /// retryDelayMax_.
  base::Duration retryDelay_{ base::Duration{ 100000 } };
  base::Duration retryDelayMax_{ base::Duration{ 2000000 } };
};

/// A host of the host list that has the keeper function.
struct ListedKeeper
{
  std::string host_;
  std::string failureDomain_;
  bool isLeaving_ = false;
};

/// What the log needs from the rest of the process. All are thread-safe, may be
/// called with a partition's work in hand, and outlive the log.
struct LogPorts
{
  partition::KeyValueAccess keyValue_;
  std::function<base::ResultCode(const std::string& aPeer, wire::Message)>
    send_;
  std::function<bool(const std::string& aPeer)> isUp_;
  std::function<std::vector<ListedKeeper>()> listKeepers_;
  base::WorkerPool& pool_;
  partition::PartitionTable& table_;
  metrics::Registry& metrics_;
};

} // namespace pumiceturn::joblog
