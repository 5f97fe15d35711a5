#include "LibGateway/PeerCallers.h"

#include "LibGateway/EndpointAddress.h"

#include <algorithm>

namespace pumiceturn::gateway {

httpstream::HttpCaller*
PeerCallers::Find(const std::string& aAddress)
{
  const auto found = callers_.find(aAddress);
  if (found != callers_.end()) {
    return found->second.get();
  }
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return nullptr;
  }
  auto& caller = callers_[aAddress];
  caller = std::make_unique<httpstream::HttpCaller>(executor_, *address);
  return caller.get();
}

void
PeerCallers::Keep(const std::vector<std::string>& aAddresses)
{
  std::erase_if(callers_, [&aAddresses](const auto& aEntry) {
    return std::find(aAddresses.begin(), aAddresses.end(), aEntry.first) ==
           aAddresses.end();
  });
}

} // namespace pumiceturn::gateway
