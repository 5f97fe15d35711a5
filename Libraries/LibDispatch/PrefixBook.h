#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::dispatch {

enum class CacheNews : std::uint8_t
{
  Stored,
  Evicted,
};

/// Translates the engine's cache events, which name blocks of text by hash,
/// into the prefixes by which entries route, and keeps what each peer has not
/// heard yet. Engines' events come late and with gaps, so this is an estimate;
/// a wrong one costs a prefill. Bounded. Not thread-safe.
class PrefixBook
{
public:
  struct Changes
  {
    std::vector<std::uint64_t> added_;
    std::vector<std::uint64_t> dropped_;
  };

  static constexpr std::size_t kMaxPrefixes = 1024;
  static constexpr std::size_t kMaxChanges = 512;
  static constexpr std::size_t kMaxTold = 16; ///< In one heartbeat.
  static constexpr std::size_t kHeadBytes = 256;

  /// A run with this prefix was sent to the engine.
  void OnRun(std::uint64_t aPrefix, std::string_view aPayload);

  /// @param aHash  HashBytes() of the prompt's start.
  /// @param aBytes Length of that start.
  void OnCacheEvent(CacheNews aNews, std::uint64_t aHash, std::uint32_t aBytes);

  /// The cache is empty.
  void OnEngineRestarted();

  /// @return what a peer was not told yet, at most kMaxTold changes.
  Changes TakeChangesFor(const std::string& aPeer);

  void ForgetPeer(const std::string& aPeer);

private:
  struct Prefix
  {
    std::string head_;
    bool isCached_ = false;
  };

  struct Change
  {
    std::uint64_t prefix_ = 0;
    CacheNews news_ = CacheNews::Stored;
  };

  void SetBlockBytes(std::uint32_t aBytes);
  void Index(std::uint64_t aPrefix, const Prefix& aKnown);
  void Note(std::uint64_t aPrefix, Prefix& aKnown, CacheNews aNews);

  std::unordered_map<std::uint64_t, Prefix> known_;
  std::deque<std::uint64_t> order_;
  /// By the hash of their first block. May name forgotten prefixes.
  std::unordered_multimap<std::uint64_t, std::uint64_t> byBlock_;
  std::uint32_t blockBytes_ = 0; ///< Shortest start seen in an event.
  std::deque<Change> changes_;
  std::uint64_t firstChange_ = 0; ///< Number of the oldest one kept.
  std::map<std::string, std::uint64_t> told_; ///< Next number for a peer.
};

} // namespace pumiceturn::dispatch
