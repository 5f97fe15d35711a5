#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::standin {

/// One block of text that came into the cache or left it.
struct PrefixChange
{
  bool stored_ = true; ///< False: evicted.
  std::uint64_t hash_ = 0;
  std::uint32_t bytes_ = 0; ///< Length of the prefix that the hash is of.
};

/// The engine's prefix cache: blocks of text, each known by the hash of all
/// text up to its end, in limited memory. The least recently used is evicted.
/// Not thread-safe.
class PrefixCache
{
public:
  static constexpr std::size_t kBlockBytes = 64;

  /// @param aMaxBlocks Blocks held at most.
  explicit PrefixCache(std::size_t aMaxBlocks)
    : maxBlocks_(aMaxBlocks)
  {
  }

  /// @return bytes at the text's start that need no prefill; whole blocks.
  [[nodiscard]] std::size_t CachedBytes(std::string_view aText) const;

  /// Takes all whole blocks of a text in, as just used.
  void Store(std::string_view aText);

  /// Forgets everything, as a restarted engine does, and reports nothing.
  void Clear();

  /// @return what changed since the last call, in order.
  std::vector<PrefixChange> TakeChanges();

private:
  struct Block
  {
    std::uint64_t hash_ = 0;
    std::uint32_t bytes_ = 0;
  };

  const std::size_t maxBlocks_;
  std::list<Block> recentFirst_;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> byHash_;
  std::vector<PrefixChange> changes_;
};

} // namespace pumiceturn::standin
