#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::joblog {

inline constexpr base::Event kTornTailCut{
  5101,
  "torn_tail_cut",
  base::LogLevel::Info,
  "A half-written group at the end of the log was cut at start."
};
inline constexpr base::Event kRecordDamaged{
  5102,
  "record_damaged",
  base::LogLevel::Error,
  "A record that was durable fails its checksum."
};
inline constexpr base::Event kStoreOpened{
  5103,
  "store_opened",
  base::LogLevel::Info,
  "The data folder was read and its log is ready."
};
inline constexpr base::Event kStoreFailed{
  5104,
  "store_failed",
  base::LogLevel::Error,
  "Writing the log failed; the host takes no more records until a restart."
};
inline constexpr base::Event kDiskFull{
  5105,
  "disk_full",
  base::LogLevel::Warning,
  "Free space fell below the reserve; new work is refused."
};
inline constexpr base::Event kDiskHasRoom{
  5106,
  "disk_has_room",
  base::LogLevel::Info,
  "Free space is above the reserve again."
};
inline constexpr base::Event kSegmentDeleted{
  5107,
  "segment_deleted",
  base::LogLevel::Info,
  "A segment without needed records was deleted."
};
inline constexpr base::Event kPartitionClaimed{
  5201,
  "partition_claimed",
  base::LogLevel::Info,
  "This host begins to take a partition over."
};
inline constexpr base::Event kPartitionYielded{
  5202,
  "partition_yielded",
  base::LogLevel::Warning,
  "This host is the recorded owner but its copy is unfit: another is named."
};
inline constexpr base::Event kPartitionHandedOver{
  5203,
  "partition_handed_over",
  base::LogLevel::Info,
  "This host leaves and names another owner."
};
inline constexpr base::Event kPartitionRecovering{
  5204,
  "partition_recovering",
  base::LogLevel::Info,
  "The new owner reads the partition's log."
};
inline constexpr base::Event kPartitionOwned{
  5205,
  "partition_owned",
  base::LogLevel::Info,
  "This host owns the partition and takes work for it."
};
inline constexpr base::Event kPartitionReleased{
  5206,
  "partition_released",
  base::LogLevel::Info,
  "This host owns the partition no longer."
};
inline constexpr base::Event kRecordSwapped{
  5207,
  "partition_record_swapped",
  base::LogLevel::Info,
  "This host asks the key-value service to change a partition's record."
};
inline constexpr base::Event kCopyDamaged{
  5208,
  "copy_damaged",
  base::LogLevel::Error,
  "An entry of this host's copy cannot be read; another copy goes on."
};

} // namespace pumiceturn::joblog
