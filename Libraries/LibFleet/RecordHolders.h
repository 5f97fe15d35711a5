#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::fleet {

/// A host that may hold records of streams.
struct RecordHolder
{
  std::string host_;
  std::string failureDomain_;
  bool isWorker_ = false;
};

/// Number of hosts that hold the record of one stream, besides the host that
/// began it. Entry hosts are restarted together on some occasions and workers
/// on others, so both kinds hold it.
struct HolderCounts
{
  std::size_t entryHosts_ = 0;
  std::size_t workers_ = 0;
};

/// While a service has several versions.
inline constexpr HolderCounts kHolders{ 3, 2 };

/// While it has one, in case that the host is lost just when it gets another.
inline constexpr HolderCounts kAheadHolders{ 1, 1 };

/// Chooses the holders of a stream's record by rendezvous hashing, in different
/// failure domains as far as there are enough. Hosts with the same view choose
/// the same ones.
/// Fewer holders are a part of more.
/// @param aId Id of the request that began the stream.
[[nodiscard]] std::vector<std::string>
ChooseRecordHolders(std::string_view aId,
                    std::span<const RecordHolder> aHosts,
                    HolderCounts aCounts = kHolders);

} // namespace pumiceturn::fleet
