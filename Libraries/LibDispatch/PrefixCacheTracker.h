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

/// What happened to a block in the engine's prefix cache.
enum class CacheChange : std::uint8_t
{
  Stored,
  Evicted,
};

/// Translates the engine's cache events, which identify blocks of text by hash,
/// into the prefixes by which Entries choose an endpoint, and tracks which
/// changes each peer has yet to receive. Events arrive late and with gaps, so
/// the result is an estimate; an error costs one prefill. Bounded. Not
/// thread-safe.
class PrefixCacheTracker
{
public:
  struct Changes
  {
    std::vector<std::uint64_t> stored_;
    std::vector<std::uint64_t> evicted_;
  };

  static constexpr std::size_t kMaxPrefixes = 1024;
  static constexpr std::size_t kMaxChanges = 512;
  static constexpr std::size_t kMaxChangesPerHeartbeat = 16;
  /// Number of bytes kept from the beginning of each prompt.
  static constexpr std::size_t kHeadBytes = 256;

  /// Registers the prefix of a run that was sent to the engine. Id 0 is
  /// ignored; it means that the request names no prefix.
  void OnRun(std::uint64_t aPrefixId, std::string_view aPayload);

  /// @param aHash  HashBytes() of the first aBytes bytes of the prompt.
  /// @param aBytes Length of the hashed part of the prompt.
  void OnCacheEvent(CacheChange aChange,
                    std::uint64_t aHash,
                    std::uint32_t aBytes);

  /// Marks every prefix as evicted.
  void OnEngineRestarted();

  /// @return the changes that the peer has yet to receive, at most
  /// kMaxChangesPerHeartbeat. They are not returned again.
  Changes TakeChangesFor(const std::string& aPeer);

  void RemovePeer(const std::string& aPeer);

private:
  struct Prefix
  {
    std::string head_;
    bool isCached_ = false;
  };

  struct PrefixChange
  {
    std::uint64_t prefix_ = 0;
    CacheChange change_ = CacheChange::Stored;
  };

  void RebuildIndex(std::uint32_t aBytes);
  void Index(std::uint64_t aPrefixId, const Prefix& aState);
  void RecordChange(std::uint64_t aPrefixId,
                    Prefix& aState,
                    CacheChange aChange);

  std::unordered_map<std::uint64_t, Prefix> prefixes_;
  std::deque<std::uint64_t> insertionOrder_;
  /// Prefixes by the hash of their first block. May contain prefixes that were
  /// already removed.
  std::unordered_multimap<std::uint64_t, std::uint64_t> prefixesByBlockHash_;
  std::uint32_t blockBytes_ = 0; ///< Shortest block length seen in an event.
  std::deque<PrefixChange> changes_;
  std::uint64_t firstChange_ = 0; ///< Number of the oldest change kept.
  /// Number of the next change to send.
  std::map<std::string, std::uint64_t> nextChangeByPeer_;
};

} // namespace pumiceturn::dispatch
