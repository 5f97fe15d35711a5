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
PeerCallers::Keep(const std::vector<batch::PeerAddress>& aPeers)
{
  std::erase_if(callers_, [&aPeers](const auto& aEntry) {
    return std::none_of(
      aPeers.begin(), aPeers.end(), [&aEntry](const auto& aPeer) {
        return aPeer.address_ == aEntry.first;
      });
  });
}

} // namespace pumiceturn::gateway
