#include "LibPlatform/HttpConnections.h"

#include <utility>

namespace pumiceturn::platform {

namespace {
constexpr std::size_t kMostIdle = 8;
constexpr const char* kJsonType = "application/json";
}

std::unique_ptr<httplib::Client>
MakeHttpClient(const std::string& aAddress, base::Duration aTimeout)
{
  auto client = std::make_unique<httplib::Client>("http://" + aAddress);
  client->set_connection_timeout(aTimeout);
  client->set_read_timeout(aTimeout);
  client->set_write_timeout(aTimeout);
  client->set_tcp_nodelay(true);
  return client;
}

bool
IsNeverSent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

HttpConnections::HttpConnections(std::string aAddress, base::Duration aTimeout)
  : address_(std::move(aAddress))
  , timeout_(aTimeout)
{
}

httplib::Result
HttpConnections::Post(const char* aPath, const std::string& aBody)
{
  std::unique_ptr<httplib::Client> client = Take();
  httplib::Result result = client->Post(aPath, aBody, kJsonType);
  if (result) {
    GiveBack(std::move(client));
  }
  return result;
}

std::unique_ptr<httplib::Client>
HttpConnections::Take()
{
  {
    const std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      auto client = std::move(idle_.back());
      idle_.pop_back();
      return client;
    }
  }
  auto client = MakeHttpClient(address_, timeout_);
  client->set_keep_alive(true);
  return client;
}

void
HttpConnections::GiveBack(std::unique_ptr<httplib::Client> aClient)
{
  const std::lock_guard lock(mutex_);
  if (idle_.size() < kMostIdle) {
    idle_.push_back(std::move(aClient));
  }
}

} // namespace pumiceturn::platform
