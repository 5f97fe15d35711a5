#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::platform {

/// A key with its value and the revision of its last change.
struct KeyValue
{
  std::string key_;
  std::string value_;
  std::uint64_t modRevision_ = 0;
};

struct RangeReply
{
  std::vector<KeyValue> entries_;
  std::uint64_t revision_ = 0; ///< The store's revision that was read.
};

/// Puts a value whatever is there, for keys that name their content by its
/// digest: two writers can only put the same.
constexpr std::uint64_t kAnyRevision = ~std::uint64_t{ 0 };

/// One compare-and-swap of a transaction: the value is put if the key's last
/// change has the expected revision; 0 expects that the key does not exist.
struct Swap
{
  std::string key_;
  std::string value_;
  std::uint64_t expectedRevision_ = 0;
};

struct WatchEvent
{
  KeyValue entry_;
  bool deleted_ = false;
};

/// The platform's key-value service, by the published JSON gateway. Calls
/// block, so they belong on pool threads. Every call is counted against this
/// host's budget. Thread-safe.
class KeyValueClient
{
public:
  struct Options
  {
    std::vector<std::string> addresses_; ///< IP:port, tried in turn.
    double callsPerSecond_ = 5.0; ///< Budget, with a burst of twice that.
    base::Duration callTimeout_{ base::Duration{ 2000000 } };
  };

  static std::unique_ptr<KeyValueClient> Make(Options aOptions);
  ~KeyValueClient();
  KeyValueClient(const KeyValueClient&) = delete;
  KeyValueClient& operator=(const KeyValueClient&) = delete;

  /// @return the entry, or nothing if the key does not exist;
  /// PlatformUnavailable, BudgetExhausted or TimedOut otherwise.
  base::Result<std::optional<KeyValue>> Get(std::string_view aKey);

  /// @return all entries under a prefix, in key order.
  base::Result<RangeReply> Range(std::string_view aPrefix);

  /// @return entries from the first key, included, to the end, excluded, in key
  /// order.
  base::Result<RangeReply> RangeBetween(std::string_view aFirst,
                                        std::string_view aEnd);

  /// @return keys under a prefix with their revisions, without values.
  base::Result<RangeReply> RangeKeys(std::string_view aPrefix);

  /// Reads single keys in one call.
  /// @return those that exist, in the order given.
  base::Result<std::vector<KeyValue>> GetMany(
    const std::vector<std::string>& aKeys);

  /// Puts all values, or none, in one call.
  /// @return the new revision; PlatformConflict when a key was changed by
  /// another writer; PlatformOutcomeUnknown when the answer was lost: read back
  /// and look for your write id in the value.
  base::Result<std::uint64_t> CompareAndSwap(const std::vector<Swap>& aSwaps);

  /// Deletes a key at an expected revision; as CompareAndSwap.
  base::Result<void> Delete(std::string_view aKey,
                            std::uint64_t aExpectedRevision);

  /// Deletes all keys, or none where one was changed, in one call.
  base::Result<void> DeleteMany(const std::vector<KeyValue>& aEntries);

  /// Reports changes under a prefix after a revision, on a thread of the
  /// client's own, until Stop(). Re-armed after errors with jittered backoff.
  /// @param aHandler Receives each change in revision order.
  /// @param aBroken  Called when changes may have been missed (compaction,
  /// outage): read the prefix again.
  void Watch(std::string aPrefix,
             std::uint64_t aAfterRevision,
             std::function<void(const WatchEvent&)> aHandler,
             std::function<void()> aBroken);

  /// Ends watches and refuses further calls.
  void Stop();

  /// @return calls made so far, watches included, for metrics.
  [[nodiscard]] std::uint64_t CallCount() const;

private:
  struct State;
  explicit KeyValueClient(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::platform
