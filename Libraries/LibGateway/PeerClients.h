#pragma once

#include "LibBatch/HostSet.h"
#include "LibHttpStream/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Calls to peers, by their address. Belongs to the event thread.
class PeerClients
{
public:
  explicit PeerClients(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
  {
  }

  /// @param aAddress IP:PORT.
  /// @return what calls that peer, or nullptr where the address can't be read.
  ///   Valid until Keep().
  [[nodiscard]] httpstream::HttpClient* Find(const std::string& aAddress);

  /// Drops the connections to all peers but these.
  void Keep(const std::vector<batch::PeerAddress>& aPeers);

  [[nodiscard]] std::size_t Count() const { return clients_.size(); }

private:
  boost::asio::any_io_executor executor_;
  std::unordered_map<std::string, std::unique_ptr<httpstream::HttpClient>>
    clients_;
};

} // namespace pumiceturn::gateway
