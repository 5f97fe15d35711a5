#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace pumiceturn::routing {

/// Which endpoints probably hold which prompt prefixes in their cache: what was
/// sent there, corrected by cache events, which come late and with gaps. A
/// wrong estimate costs a cache miss, nothing more. Not thread-safe.
class PrefixEstimate
{
public:
  static constexpr std::size_t kMaxPrefixesPerEndpoint = 512;
  static constexpr std::size_t kMaxHoldersPerPrefix = 4;

  void Add(std::size_t aEndpoint, std::uint64_t aPrefix);
  void Drop(std::size_t aEndpoint, std::uint64_t aPrefix);

  /// Forgets all of an endpoint, whose process was replaced.
  void Clear(std::size_t aEndpoint);

  /// @return positions of the endpoints believed to hold the prefix.
  [[nodiscard]] std::span<const std::size_t> HoldersOf(
    std::uint64_t aPrefix) const;

private:
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> holders_;
  std::unordered_map<std::size_t, std::deque<std::uint64_t>> order_;
};

} // namespace pumiceturn::routing
