#include "LibPartition/KeyValueAccess.h"

#include <utility>

namespace pumiceturn::partition {

KeyValueAccess
AccessTo(platform::KeyValueClient& aClient)
{
  return KeyValueAccess{
    [&aClient](std::string_view aKey) { return aClient.Get(aKey); },
    [&aClient](std::string_view aPrefix) { return aClient.Range(aPrefix); },
    [&aClient](const std::vector<platform::Swap>& aSwaps) {
      return aClient.CompareAndSwap(aSwaps);
    },
    [&aClient](std::string aPrefix,
               std::uint64_t aAfterRevision,
               std::function<void(const platform::WatchEvent&)> aHandler,
               std::function<void()> aBroken) {
      aClient.Watch(std::move(aPrefix),
                    aAfterRevision,
                    std::move(aHandler),
                    std::move(aBroken));
    }
  };
}

} // namespace pumiceturn::partition
