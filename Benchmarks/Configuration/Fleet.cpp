#include "Fleet.h"

#include <algorithm>
#include <stdexcept>
#include <thread>
#include <utility>

namespace pumiceturn::benchmarks {

namespace {

using configuration::Applied;
using configuration::PlatformUse;

constexpr std::chrono::seconds kLongestWait{ 60 };
constexpr double kUnlimited = 1e6;

std::size_t
BytesOf(const wire::ConfigurationContent& aContent)
{
  std::size_t bytes = aContent.head_.size();
  for (const wire::ConfigurationPart& part : aContent.parts_) {
    bytes += part.content_.size();
  }
  return bytes;
}

} // namespace

Fleet::Fleet(Options aOptions)
  : entries_(aOptions.entries_)
{
  standin::KeyValueStandin::Options options;
  options.faults_.readsPerSecond_ = 0;
  options.faults_.writesPerSecond_ = 0;
  auto started = base::Capture(
    [&] { return standin::KeyValueStandin::Start(std::move(options)); });
  service_ = std::get<0>(std::move(started));
  client_ = MakeClient(kUnlimited);
  store_ = std::make_unique<configuration::ConfigurationStore>(
    *client_,
    configuration::ConfigurationStore::Options{},
    [](const auto&) -> base::Result<void> { return {}; });
  const auto startAll = [&](const char* aPrefix,
                            int aCount,
                            PlatformUse aUse,
                            const configuration::Scope& aScope) {
    for (int i = 0; i < aCount; ++i) {
      Start(aPrefix + std::to_string(i), aOptions, aUse, aScope);
    }
  };
  startAll("entry-", aOptions.entries_, PlatformUse::Watch, {});
  startAll("keeper-", aOptions.keepers_, PlatformUse::PollRarely, {});
  startAll(
    "agent-", aOptions.agents_, PlatformUse::PollRarely, { "service-0" });
}

Fleet::~Fleet()
{
  for (const auto& [name, host] : hosts_) {
    host->follower_->Stop();
  }
  pool_.Stop();
}

std::unique_ptr<platform::KeyValueClient>
Fleet::MakeClient(double aCallsPerSecond)
{
  platform::KeyValueClient::Options options;
  options.addresses_ = { "127.0.0.1:" + std::to_string(service_->Port()) };
  options.callsPerSecond_ = aCallsPerSecond;
  return platform::KeyValueClient::Make(std::move(options));
}

void
Fleet::Start(const std::string& aName,
             const Options& aOptions,
             PlatformUse aUse,
             const configuration::Scope& aScope)
{
  auto host = std::make_unique<Host>();
  host->client_ = MakeClient(kUnlimited);
  configuration::ConfigurationFollower::Options options;
  options.platformUse_ = aUse;
  options.scope_ = aScope;
  options.pollInterval_ = aOptions.pollInterval_;
  host->follower_ = std::make_unique<configuration::ConfigurationFollower>(
    options,
    *host->client_,
    host->cache_,
    pool_,
    [this, aName](const std::string& aPeer, wire::Message aMessage) {
      return Deliver(aName, aPeer, std::move(aMessage));
    });
  host->cache_.Subscribe([this, aName](const auto& aSnapshot) {
    Announce(aName, aSnapshot->Version());
  });
  const std::lock_guard lock(mutex_);
  if (aUse == PlatformUse::Watch) {
    host->follower_->SetPollers(static_cast<std::size_t>(entries_));
  }
  host->follower_->Start();
  hosts_[aName] = std::move(host);
}

base::ResultCode
Fleet::Deliver(const std::string& aFrom,
               const std::string& aTo,
               wire::Message aMessage)
{
  const std::lock_guard lock(mutex_);
  configuration::ConfigurationFollower& follower = *hosts_.at(aTo)->follower_;
  if (auto* fetch = std::get_if<wire::FetchConfiguration>(&aMessage)) {
    follower.OnMessage(aFrom, std::move(*fetch));
  }
  if (auto* content = std::get_if<wire::ConfigurationContent>(&aMessage)) {
    peerBytes_ += BytesOf(*content);
    follower.OnMessage(aFrom, std::move(*content));
  }
  return base::ResultCode::Ok;
}

void
Fleet::Announce(const std::string& aFrom, std::uint64_t aVersion)
{
  // Entries connect to agents and keepers: each hears the other.
  const bool fromEntry = aFrom.starts_with("entry");
  const std::lock_guard lock(mutex_);
  for (const auto& [name, host] : hosts_) {
    if (name.starts_with("entry") != fromEntry) {
      host->follower_->OnHeartbeatVersion(aFrom, aVersion);
    }
  }
  installed_.notify_all();
}

bool
Fleet::AllHave(std::uint64_t aVersion)
{
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& aHost) {
    return aHost.second->cache_.Current()->Version() >= aVersion;
  });
}

base::Duration
Fleet::Change(const declarations::Declarations& aAll)
{
  const base::Instant start = base::MonotonicNow();
  const auto outcome = base::Capture([&] {
    return store_->Apply({ aAll, version_, "bench", "", base::WallNow() });
  });
  if (outcome.index() != 0 || std::get<0>(outcome).index() != 0) {
    throw std::runtime_error("a change was refused");
  }
  version_ = std::get<Applied>(std::get<0>(outcome)).version_;
  std::unique_lock lock(mutex_);
  if (!installed_.wait_for(
        lock, kLongestWait, [&] { return AllHave(version_); })) {
    throw std::runtime_error("a change did not arrive");
  }
  return base::MonotonicNow() - start;
}

void
Fleet::WaitForWatches()
{
  constexpr std::chrono::milliseconds kStep{ 10 };
  while (service_->Stats().watchesOpen_ <
         static_cast<std::uint64_t>(entries_)) {
    std::this_thread::sleep_for(kStep);
  }
}

std::uint64_t
Fleet::PeerBytes()
{
  const std::lock_guard lock(mutex_);
  return peerBytes_;
}

std::uint64_t
Fleet::HostCalls() const
{
  std::uint64_t calls = 0;
  for (const auto& [name, host] : hosts_) {
    calls += host->client_->CallCount();
  }
  return calls;
}

} // namespace pumiceturn::benchmarks
