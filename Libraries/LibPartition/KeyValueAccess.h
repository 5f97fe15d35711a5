#pragma once

#include "LibBase/Result.h"
#include "LibPlatform/KeyValueClient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::partition {

/// The calls of platform::KeyValueClient that ownership needs, as values, so
/// that a test can lose an answer. Their meaning is told there.
struct KeyValueAccess
{
  std::function<base::Result<std::optional<platform::KeyValue>>(
    std::string_view aKey)>
    get_;
  std::function<base::Result<platform::RangeReply>(std::string_view aPrefix)>
    range_;
  std::function<base::Result<std::uint64_t>(
    const std::vector<platform::Swap>& aSwaps)>
    compareAndSwap_;
  std::function<void(std::string aPrefix,
                     std::uint64_t aAfterRevision,
                     std::function<void(const platform::WatchEvent&)> aHandler,
                     std::function<void()> aBroken)>
    watch_;
};

/// @param aClient Outlives the returned functions.
KeyValueAccess
AccessTo(platform::KeyValueClient& aClient);

} // namespace pumiceturn::partition
