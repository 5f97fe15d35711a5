#include "Tests/PlatformSoak/FleetSoakFixture.h"

#include "Tests/PlatformSoak/Environment.h"
#include "platform/Names.h"

#include <fmt/format.h>

#include <unistd.h>

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 5 };

/// Uptime from which a host gets SIGHUP. The signal ends a process that hasn't
/// set up its handling yet.
constexpr std::chrono::seconds kHangUpUptime{ 1 };

/// Upper bounds of the delay of each piece of data to and from the store, and
/// of the time that the store answers late or not.
constexpr int kMaxStoreDelayMs = 1500;
constexpr int kMaxStoreFaultMs = 2500;

std::string
FormatAddress(const boost::asio::ip::tcp::endpoint& aAddress)
{
  return fmt::format("{}:{}", aAddress.address().to_string(), aAddress.port());
}

} // namespace

FleetSoakFixture::FleetSoakFixture(const std::string& aName)
  : store_(context_)
  , folder_(std::filesystem::temp_directory_path() /
            fmt::format("pumiceturn-{}-soak-{}", aName, ::getpid()))
{
  std::filesystem::create_directories(folder_);
  store_.EnableLeaseExpiry();
}

FleetSoakFixture::~FleetSoakFixture()
{
  hosts_.clear();
  // The logs of a run with violations are kept.
  if (violations_.empty() && ReadNumber("PUMICETURN_SOAK_KEEP_LOGS", 0) == 0) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void
FleetSoakFixture::PrintViolations(std::uint64_t aSeed) const
{
  for (const std::string& violation : violations_) {
    std::cout << "seed " << aSeed << ": " << violation << '\n';
  }
  if (!violations_.empty()) {
    std::cout << "seed " << aSeed << ": logs in " << folder_ << '\n';
  }
}

milliseconds
FleetSoakFixture::Draw(int aMinMs, int aMaxMs)
{
  return milliseconds(
    std::uniform_int_distribution<int>(aMinMs, aMaxMs)(random_));
}

FleetSoakFixture::Host&
FleetSoakFixture::DrawEntryHost()
{
  return *hosts_[static_cast<std::size_t>(
                   Draw(1, static_cast<int>(entryHosts_)).count()) -
                 1];
}

void
FleetSoakFixture::RunAfter(milliseconds aTime, std::function<void()> aAction)
{
  scheduled_.push_back({ Clock::now() + aTime, std::move(aAction) });
}

void
FleetSoakFixture::StartHosts(std::size_t aEntryHosts,
                             std::size_t aWorkers,
                             const GatewayProcess::HostSettings& aSettings)
{
  entryHosts_ = aEntryHosts;
  const std::string network =
    fmt::format("127.{}.{}", Draw(20, 219).count(), Draw(1, 250).count());
  for (std::size_t index = 0; index < aEntryHosts + aWorkers; ++index) {
    auto host = std::make_unique<Host>();
    host->storePort_ = store_.OpenPort();
    host->storeProxy_ =
      std::make_unique<FaultProxy>(context_, Loopback(host->storePort_));
    GatewayProcess::HostSettings settings = aSettings;
    settings.isEntry_ = index < aEntryHosts;
    settings.name_ =
      fmt::format("{}-{}", settings.isEntry_ ? "entry" : "worker", index);
    settings.ip_ = fmt::format("{}.{}", network, index + 10);
    settings.store_ = FormatAddress(host->storeProxy_->Address());
    host->process_ = std::make_unique<GatewayProcess>(settings, folder_);
    StartHost(*host);
    hosts_.push_back(std::move(host));
  }
}

void
FleetSoakFixture::StartHost(Host& aHost)
{
  aHost.startAt_.reset();
  aHost.startedAt_ = Clock::now();
  ++aHost.incarnation_;
  aHost.process_->Start();
}

void
FleetSoakFixture::RunScheduled()
{
  for (ScheduledAction& action : std::exchange(scheduled_, {})) {
    if (action.at_ <= Clock::now()) {
      action.action_();
    } else {
      scheduled_.push_back(std::move(action));
    }
  }
}

void
FleetSoakFixture::RunStep()
{
  context_.run_for(kStep);
  context_.restart();
  RunScheduled();
  for (const auto& host : hosts_) {
    const bool isRunning = host->process_->CheckRunning();
    if (!isRunning && host->startAt_ && Clock::now() >= *host->startAt_) {
      ++restarts_;
      StartHost(*host);
    }
  }
}

void
FleetSoakFixture::KillHost(Host& aHost, milliseconds aDownTime)
{
  aHost.process_->Signal(SIGCONT);
  aHost.process_->ExpectEnd();
  aHost.process_->Signal(SIGKILL);
  aHost.startAt_ = Clock::now() + aDownTime;
}

void
FleetSoakFixture::WipeHost(Host& aHost, milliseconds aDownTime)
{
  KillHost(aHost, aDownTime);
  while (aHost.process_->CheckRunning()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  std::filesystem::remove_all(folder_ /
                              (aHost.process_->Settings().name_ + "-data"));
}

void
FleetSoakFixture::TerminateHost(Host& aHost)
{
  aHost.process_->ExpectEnd();
  aHost.process_->Signal(SIGTERM);
  aHost.startAt_ = Clock::now();
  RunAfter(std::chrono::seconds(aHost.process_->Settings().graceSeconds_),
           [&aHost, incarnation = aHost.incarnation_] {
             if (aHost.startAt_ && aHost.incarnation_ == incarnation) {
               aHost.process_->Signal(SIGKILL);
             }
           });
}

void
FleetSoakFixture::HangUpHost(const Host& aHost)
{
  if (!aHost.startAt_ && Clock::now() - aHost.startedAt_ >= kHangUpUptime) {
    aHost.process_->Signal(SIGHUP);
  }
}

void
FleetSoakFixture::SuspendHosts()
{
  for (const auto& host : hosts_) {
    if (DrawOneIn(3)) {
      host->process_->Signal(SIGSTOP);
      RunAfter(Draw(100, 1500),
               [&host = *host] { host.process_->Signal(SIGCONT); });
    }
  }
}

void
FleetSoakFixture::DisturbStore(const StoreDisturbance& aDisturbance)
{
  const int kind = static_cast<int>(Draw(0, 2).count());
  for (const auto& host : hosts_) {
    FaultProxy& proxy = *host->storeProxy_;
    if (kind == 0) {
      proxy.SetJitter(Draw(0, aDisturbance.maxJitterMs_),
                      static_cast<std::uint32_t>(random_()));
    } else if (kind == 1 && DrawOneIn(aDisturbance.oneIn_)) {
      proxy.SetBlocked(DrawOneIn(2), true);
    } else if (kind == 2 && DrawOneIn(aDisturbance.oneIn_)) {
      store_.SetPortBehaviour(host->storePort_, StoreBehaviour::Refusing);
    }
    RunAfter(Draw(500, aDisturbance.maxMs_), [this, &host = *host] {
      host.storeProxy_->SetJitter(milliseconds(0), 0);
      host.storeProxy_->SetBlocked(false, false);
      store_.SetPortBehaviour(host.storePort_, StoreBehaviour::Serving);
    });
  }
}

void
FleetSoakFixture::DelayStore()
{
  for (const auto& host : hosts_) {
    if (DrawOneIn(2)) {
      host->storeProxy_->SetDelay(Draw(100, kMaxStoreDelayMs));
    }
  }
  RunAfter(Draw(500, kMaxStoreFaultMs), [this] {
    for (const auto& host : hosts_) {
      host->storeProxy_->SetDelay(milliseconds(0));
    }
  });
}

void
FleetSoakFixture::RevokeHostKeys()
{
  for (const std::string& key : store_.Keys(std::string(kHostPrefix))) {
    if (DrawOneIn(3)) {
      store_.Remove(key);
    }
  }
}

void
FleetSoakFixture::LoseStoreAnswers()
{
  const auto forSomeHosts = [this](auto&& aAction) {
    for (const auto& host : hosts_) {
      if (DrawOneIn(2)) {
        aAction(*host->storeProxy_);
      }
    }
  };
  switch (Draw(0, 5).count()) {
    case 0:
      store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
      RunAfter(Draw(300, kMaxStoreFaultMs),
               [this] { store_.SetBehaviour(StoreBehaviour::Serving); });
      break;
    case 1:
      forSomeHosts([](FaultProxy& aProxy) { aProxy.BlockOpenConnections(); });
      break;
    case 2:
      forSomeHosts([](FaultProxy& aProxy) { aProxy.ResetConnections(); });
      break;
    case 3:
      store_.Compact();
      break;
    case 4:
      RevokeHostKeys();
      break;
    default:
      DelayStore();
  }
}

void
FleetSoakFixture::CheckProcesses()
{
  for (const auto& host : hosts_) {
    if (host->process_->CrashCount() > 0) {
      violations_.push_back(host->process_->Settings().name_ +
                            ": ended unexpectedly");
    }
  }
}

} // namespace pumiceturn::adapter
