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

/// Entry hosts and workers that hold the record of one stream, besides the host
/// that began it. Entry hosts are restarted together on some occasions and
/// workers on others, so both kinds hold it.
inline constexpr std::size_t kEntryHolders = 3;
inline constexpr std::size_t kWorkerHolders = 2;

/// Chooses the holders of a stream's record by rendezvous hashing, in different
/// failure domains as far as there are enough. Hosts with the same view choose
/// the same ones.
/// @param aId Id of the request that began the stream.
[[nodiscard]] std::vector<std::string>
ChooseRecordHolders(std::string_view aId, std::span<const RecordHolder> aHosts);

} // namespace pumiceturn::fleet
