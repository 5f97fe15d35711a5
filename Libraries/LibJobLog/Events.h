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

} // namespace pumiceturn::joblog
