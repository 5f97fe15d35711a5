#include "LibEndpoint/ConnectionPool.h"

#include <charconv>

namespace pumiceturn::endpoint {

base::Result<ConnectionPool::Options>
ConnectionPool::ParseAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return base::Fail(base::ResultCode::OutOfRange,
                      "address must have the form IP:port, but is " + aAddress);
  }
  Options options;
  options.host_ = aAddress.substr(0, colon);
  const char* first = aAddress.data() + colon + 1;
  const char* last = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(first, last, options.port_);
  constexpr int kMaxPort = 65535;
  if (parsed.ec != std::errc{} || parsed.ptr != last || options.port_ < 1 ||
      options.port_ > kMaxPort) {
    return base::Fail(base::ResultCode::OutOfRange,
                      "address has no valid port: " + aAddress);
  }
  return options;
}

std::unique_ptr<httplib::Client>
ConnectionPool::Acquire()
{
  const base::Instant oldest = base::MonotonicNow() - options_.maxIdleTime_;
  {
    const std::scoped_lock lock(mutex_);
    std::erase_if(idle_,
                  [&](const Idle& aIdle) { return aIdle.since_ < oldest; });
    if (!idle_.empty()) {
      auto client = std::move(idle_.back().client_);
      idle_.pop_back();
      return client;
    }
  }
  auto client =
    std::make_unique<httplib::Client>(options_.host_, options_.port_);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(options_.connectTimeout_);
  return client;
}

void
ConnectionPool::Release(std::unique_ptr<httplib::Client> aClient)
{
  const std::scoped_lock lock(mutex_);
  if (idle_.size() < options_.maxIdleConnections_) {
    idle_.push_back(Idle{ std::move(aClient), base::MonotonicNow() });
  }
}

} // namespace pumiceturn::endpoint
