#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace pumiceturn::routing {

/// Estimates which endpoints have which prompt prefixes in their cache, from
/// the requests sent to them and the cache events of their agents. Events may
/// be delayed or lost; a wrong estimate only costs a cache miss. Not
/// thread-safe.
class PrefixEstimate
{
public:
  static constexpr std::size_t kMaxPrefixesPerEndpoint = 512;
  static constexpr std::size_t kMaxHoldersPerPrefix = 4;

  /// @param aPrefix Hash of the prefix; 0 for none, which is ignored.
  void Add(std::size_t aPosition, std::uint64_t aPrefix);
  void Drop(std::size_t aPosition, std::uint64_t aPrefix);

  /// Removes all prefixes of an endpoint, after its process was replaced.
  void Clear(std::size_t aPosition);

  /// @return positions of the endpoints that probably hold the prefix.
  [[nodiscard]] std::span<const std::size_t> HoldersOf(
    std::uint64_t aPrefix) const;

private:
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> holders_;
  std::unordered_map<std::size_t, std::deque<std::uint64_t>> insertionOrder_;
};

} // namespace pumiceturn::routing
