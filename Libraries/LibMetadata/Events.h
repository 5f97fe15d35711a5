#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::metadata {

inline constexpr base::Event kStoreLost{
  4201,
  "metadata_store_lost",
  base::LogLevel::Warning,
  "Calls to the metadata store fail; the last copy read stays in use."
};
inline constexpr base::Event kStoreRegained{
  4202,
  "metadata_store_regained",
  base::LogLevel::Info,
  "The metadata store responds again."
};
inline constexpr base::Event kMirrorRead{
  4203,
  "metadata_mirror_read",
  base::LogLevel::Info,
  "A prefix was read completely and replaces the local copy."
};
inline constexpr base::Event kLeaseLost{
  4204,
  "metadata_lease_lost",
  base::LogLevel::Warning,
  "This host's lease or registration ended; the host registers again."
};
inline constexpr base::Event kLeaseGranted{
  4205,
  "metadata_lease_granted",
  base::LogLevel::Info,
  "This host is registered under its lease."
};
inline constexpr base::Event kStorePathLost{
  4206,
  "metadata_store_path_lost",
  base::LogLevel::Warning,
  "The store doesn't respond to this host directly; peers are asked to relay "
  "calls."
};
inline constexpr base::Event kStorePathRegained{
  4207,
  "metadata_store_path_regained",
  base::LogLevel::Info,
  "The store responds to this host directly again."
};
inline constexpr base::Event kCopyChecked{
  4208,
  "metadata_copy_checked",
  base::LogLevel::Info,
  "The store is queried for a prefix that another host follows: a change was "
  "missed, or the copy was not confirmed recently."
};

} // namespace pumiceturn::metadata
