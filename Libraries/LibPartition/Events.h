#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::partition {

inline constexpr base::Event kLayoutAgreed{
  5001,
  "layout_agreed",
  base::LogLevel::Info,
  "The fleet's count of partitions is known."
};
inline constexpr base::Event kTableRead{
  5002,
  "table_read",
  base::LogLevel::Info,
  "The partition table was read from the key-value service."
};
inline constexpr base::Event kTableUnreadable{
  5003,
  "table_unreadable",
  base::LogLevel::Warning,
  "The partition table cannot be read; the last one known is used."
};
inline constexpr base::Event kRecordMalformed{
  5004,
  "partition_record_malformed",
  base::LogLevel::Error,
  "A value of the partition table cannot be read and is ignored."
};

} // namespace pumiceturn::partition
