#pragma once

#include "LibBase/Result.h"
#include "LibPlatform/KeyValueClient.h"

#include <string>
#include <string_view>
#include <vector>

/// Requests and replies of the key-value service's JSON gateway: keys and
/// values in base64, 64-bit numbers as text, defaults left out.
namespace pumiceturn::platform::gateway {

constexpr const char* kRangePath = "/v3/kv/range";
constexpr const char* kTransactionPath = "/v3/kv/txn";
constexpr const char* kWatchPath = "/v3/watch";

/// Keys from the first, included, to the end, excluded. An empty end means the
/// first key alone.
struct KeyRange
{
  std::string first_;
  std::string end_;
};

/// @return the range of all keys that begin with a prefix.
KeyRange
RangeOfPrefix(std::string_view aPrefix);

std::string
EncodeRange(const KeyRange& aRange);

/// @return a range read that leaves the values out.
std::string
EncodeKeyRange(const KeyRange& aRange);

/// @return MalformedMessage where the reply cannot be read.
base::Result<RangeReply>
DecodeRange(std::string_view aReply);

/// @return a transaction that puts every value if every comparison holds.
std::string
EncodeSwaps(const std::vector<Swap>& aSwaps);

/// @return a transaction that deletes keys, if all have the revisions given.
std::string
EncodeDeletes(const std::vector<KeyValue>& aEntries);

/// @return a transaction that reads single keys at one revision.
std::string
EncodeReads(const std::vector<std::string>& aKeys);

struct TransactionReply
{
  bool succeeded_ = false;
  std::uint64_t revision_ = 0;
  std::vector<KeyValue> entries_; ///< Of its reads, in their order.
};

/// @return MalformedMessage where the reply cannot be read.
base::Result<TransactionReply>
DecodeTransaction(std::string_view aReply);

/// @param aStartRevision First revision wanted.
std::string
EncodeWatch(const KeyRange& aRange, std::uint64_t aStartRevision);

/// One line of a watch's stream.
struct WatchReply
{
  bool created_ = false;
  bool cancelled_ = false;
  std::uint64_t revision_ = 0;          ///< The store's.
  std::uint64_t compactedRevision_ = 0; ///< 0: nothing asked for is lost.
  std::vector<WatchEvent> events_;
};

/// @return MalformedMessage where the line cannot be read.
base::Result<WatchReply>
DecodeWatch(std::string_view aLine);

} // namespace pumiceturn::platform::gateway
