#include "LinkedFleet.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace pumiceturn::joblog {

namespace {

constexpr std::size_t kPoolThreads = 4;
constexpr std::chrono::milliseconds kPollInterval{ 1 };
constexpr std::chrono::seconds kLongest{ 120 };

std::string
NameOf(std::size_t aKeeper)
{
  return "keeper-" + std::to_string(aKeeper);
}

} // namespace

LinkedFleet::LinkedFleet(Options aOptions)
  : options_(aOptions)
{
  for (std::size_t index = 0; index < aOptions.keepers_; ++index) {
    keepers_.push_back(std::make_unique<Keeper>());
    Keeper& keeper = *keepers_.back();
    keeper.pool_ = std::make_unique<base::WorkerPool>(kPoolThreads);
    for (std::size_t peer = 0; peer < aOptions.keepers_; ++peer) {
      keeper.peers_[NameOf(peer)] =
        std::make_unique<base::Strand>(*keeper.pool_);
    }
    StartLinks(index);
  }
  for (std::size_t index = 0; index < aOptions.keepers_; ++index) {
    for (std::size_t peer = 0; peer < index; ++peer) {
      keepers_[index]->links_->Connect(NameOf(peer),
                                       keepers_[peer]->links_->ListenAddress());
    }
  }
  for (std::size_t index = 0; index < aOptions.keepers_; ++index) {
    Start(index);
  }
}

LinkedFleet::~LinkedFleet()
{
  for (std::size_t index = 0; index < keepers_.size(); ++index) {
    Kill(index);
  }
}

std::shared_ptr<LogService>
LinkedFleet::LogOf(Keeper& aKeeper)
{
  const std::lock_guard lock(aKeeper.logMutex_);
  return aKeeper.log_;
}

void
LinkedFleet::StartLinks(std::size_t aKeeper)
{
  Keeper& keeper = *keepers_[aKeeper];
  wire::LinkTable::Options options;
  options.host_ = NameOf(aKeeper);
  options.listenAddress_ = "127.0.0.1:0";
  wire::LinkTable::Handlers handlers;
  handlers.message_ = [&keeper](const std::string& aPeer,
                                wire::Message aMessage) {
    keeper.peers_.at(aPeer)->Post(
      [&keeper, aPeer, message = std::move(aMessage)] {
        if (const auto log = LogOf(keeper)) {
          log->OnMessage(aPeer, message);
        }
      });
  };
  handlers.state_ = [&keeper](const std::string& aPeer,
                              wire::LinkState aState) {
    keeper.peers_.at(aPeer)->Post([&keeper, aPeer, aState] {
      if (const auto log = LogOf(keeper)) {
        log->OnLinkState(aPeer, aState);
      }
    });
  };
  handlers.heartbeat_ = [](const std::string&) { return wire::Heartbeat{}; };
  auto outcome = base::Capture(
    [&] { return wire::LinkTable::Start(options, std::move(handlers)); });
  keeper.links_ =
    std::get<std::unique_ptr<wire::LinkTable>>(std::move(outcome));
}

partition::KeyValueAccess
LinkedFleet::LimitedAccess(Keeper& aKeeper)
{
  partition::KeyValueAccess access = keyValue_.Access();
  const auto mayCall = [&aKeeper] {
    const std::lock_guard lock(aKeeper.budgetMutex_);
    return aKeeper.budget_->TryTake(base::MonotonicNow());
  };
  const auto refuse = [] {
    return base::Fail(base::ResultCode::BudgetExhausted);
  };
  const partition::KeyValueAccess free = access;
  access.get_ = [=](std::string_view aKey)
    -> base::Result<std::optional<platform::KeyValue>> {
    return mayCall() ? free.get_(aKey) : refuse();
  };
  access.range_ =
    [=](std::string_view aPrefix) -> base::Result<platform::RangeReply> {
    return mayCall() ? free.range_(aPrefix) : refuse();
  };
  access.compareAndSwap_ = [=](const std::vector<platform::Swap>& aSwaps)
    -> base::Result<std::uint64_t> {
    return mayCall() ? free.compareAndSwap_(aSwaps) : refuse();
  };
  return access;
}

LogPorts
LinkedFleet::MakePorts(Keeper& aKeeper)
{
  wire::LinkTable& links = *aKeeper.links_;
  return LogPorts{
    LimitedAccess(aKeeper),
    [&links](const std::string& aPeer, wire::Message aMessage) {
      return links.Send(aPeer, std::move(aMessage));
    },
    [&links](const std::string& aPeer) { return links.IsUp(aPeer); },
    [count = options_.keepers_] {
      std::vector<ListedKeeper> listed;
      for (std::size_t index = 0; index < count; ++index) {
        listed.push_back(ListedKeeper{
          NameOf(index), "domain-" + std::to_string(index), false });
      }
      return listed;
    },
    *aKeeper.pool_,
    aKeeper.table_,
    metrics_,
  };
}

void
LinkedFleet::Start(std::size_t aKeeper)
{
  Keeper& keeper = *keepers_[aKeeper];
  LogOptions options;
  options.host_ = NameOf(aKeeper);
  options.failureDomain_ = "domain-" + std::to_string(aKeeper);
  options.keyPrefix_ = "/bench/";
  options.store_.folder_ = keeper.folder_.Path();
  options.copies_ = options_.copies_;
  options.minCopies_ = options_.minCopies_;
  options.proposedPartitions_ = options_.partitions_;
  options.takeoverAfter_ = options_.takeoverAfter_;
  keeper.budget_ = std::make_unique<platform::CallBudget>(
    platform::CallBudget::Limits{ options_.callsPerSecond_,
                                  2 * options_.callsPerSecond_ },
    base::MonotonicNow());
  auto outcome = base::Capture([&] {
    return LogService::Start(
      options, MakePorts(keeper), LogService::Handlers{});
  });
  const std::lock_guard lock(keeper.logMutex_);
  keeper.log_ = std::get<std::unique_ptr<LogService>>(std::move(outcome));
}

void
LinkedFleet::Kill(std::size_t aKeeper)
{
  Keeper& keeper = *keepers_[aKeeper];
  if (!keeper.links_) {
    return;
  }
  keeper.links_.reset();
  const std::shared_ptr<LogService> log = LogOf(keeper);
  if (log) {
    log->Stop();
  }
  keeper.pool_->Stop();
  const std::lock_guard lock(keeper.logMutex_);
  keeper.log_.reset();
}

std::size_t
LinkedFleet::OwnerOf(std::uint32_t aPartition) const
{
  for (std::size_t index = 0; index < keepers_.size(); ++index) {
    const auto& log = keepers_[index]->log_;
    if (log && log->IsOwned(aPartition)) {
      return index;
    }
  }
  return kNone;
}

void
LinkedFleet::WaitUntilAllOwned()
{
  WaitUntil([this] {
    for (std::uint32_t part = 0; part < options_.partitions_; ++part) {
      if (OwnerOf(part) == kNone) {
        return false;
      }
    }
    return true;
  });
}

void
LinkedFleet::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      std::fputs("gave up waiting\n", stderr);
      std::exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace pumiceturn::joblog
