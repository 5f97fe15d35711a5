#include "LibHttpStream/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::httpstream {

std::shared_ptr<ClientConnection>
ConnectionPool::Acquire(const std::string& aKey,
                        const boost::asio::ip::tcp::endpoint& aEndpoint,
                        base::Duration aConnectTimeout,
                        ReadyCallback aReady)
{
  if (auto connection = PopIdle(aKey)) {
    aReady(connection);
    return connection;
  }
  ++openedCount_;
  auto connection = std::make_shared<ClientConnection>(executor_);
  connection->Connect(aEndpoint,
                      aConnectTimeout,
                      [connection = std::weak_ptr(connection),
                       ready = std::move(aReady)](bool aIsConnected) {
                        ready(aIsConnected ? connection.lock() : nullptr);
                      });
  return connection;
}

std::shared_ptr<ClientConnection>
ConnectionPool::PopIdle(const std::string& aKey)
{
  const auto found = idle_.find(aKey);
  if (found == idle_.end()) {
    return nullptr;
  }
  const base::Instant now = base::MonotonicNow();
  auto& connections = found->second;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->UsableUntil() > now && connection->IsIdleAndOpen()) {
      return connection;
    }
    connection->Cancel();
  }
  return nullptr;
}

void
ConnectionPool::Release(const std::string& aKey,
                        std::shared_ptr<ClientConnection> aConnection)
{
  if (!aConnection) {
    return;
  }
  if (!aConnection->IsReusable()) {
    aConnection->Cancel();
    return;
  }
  idle_[aKey].push_back(std::move(aConnection));
}

void
ConnectionPool::CloseExpired(base::Instant aNow)
{
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    const auto closeIfExpired = [aNow](const auto& aConnection) {
      const bool isExpired = aConnection->UsableUntil() <= aNow;
      if (isExpired) {
        aConnection->Cancel();
      }
      return isExpired;
    };
    connections.erase(
      std::remove_if(connections.begin(), connections.end(), closeIfExpired),
      connections.end());
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

} // namespace pumiceturn::httpstream
