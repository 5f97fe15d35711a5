#include "LibGateway/PeerClients.h"

#include "LibGateway/EndpointAddress.h"

#include <algorithm>

namespace pumiceturn::gateway {

httpstream::HttpClient*
PeerClients::FindOrCreate(const std::string& aAddress)
{
  const auto found = clients_.find(aAddress);
  if (found != clients_.end()) {
    return found->second.get();
  }
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return nullptr;
  }
  auto& client = clients_[aAddress];
  client = std::make_unique<httpstream::HttpClient>(executor_, *address);
  return client.get();
}

void
PeerClients::RetainOnly(const std::vector<batch::PeerAddress>& aPeers)
{
  std::erase_if(clients_, [&aPeers](const auto& aEntry) {
    return std::none_of(
      aPeers.begin(), aPeers.end(), [&aEntry](const auto& aPeer) {
        return aPeer.address_ == aEntry.first;
      });
  });
}

} // namespace pumiceturn::gateway
