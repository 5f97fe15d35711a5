#pragma once

#include "LibBatch/HostSet.h"
#include "LibHttpStream/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// HTTP clients for peers, by address. Used on the event thread only.
class PeerClients
{
public:
  explicit PeerClients(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
  {
  }

  /// Creates the client if there is none yet.
  /// @param aAddress IP:PORT.
  /// @return the peer's client, valid until RetainOnly(), or nullptr if the
  ///         address can't be parsed.
  [[nodiscard]] httpstream::HttpClient* FindOrCreate(
    const std::string& aAddress);

  /// Drops the clients of all other peers.
  void RetainOnly(const std::vector<batch::PeerAddress>& aPeers);

  [[nodiscard]] std::size_t Count() const { return clients_.size(); }

private:
  boost::asio::any_io_executor executor_;
  std::unordered_map<std::string, std::unique_ptr<httpstream::HttpClient>>
    clients_;
};

} // namespace pumiceturn::gateway
