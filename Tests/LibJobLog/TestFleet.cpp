#include "TestFleet.h"

#include <chrono>
#include <future>
#include <thread>

namespace pumiceturn::joblog {

namespace {

constexpr std::chrono::seconds kVeryLong{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 2 };

} // namespace

TestFleet::TestFleet(Options aOptions)
  : options_(std::move(aOptions))
{
  for (std::size_t index = 0; index < options_.keepers_; ++index) {
    keepers_.push_back(std::make_unique<Keeper>());
    for (std::size_t other = 0; other < options_.keepers_; ++other) {
      links_[{ index, other }] = std::make_unique<base::Strand>(pool_);
    }
  }
  for (std::size_t index = 0; index < options_.keepers_; ++index) {
    Start(index);
  }
}

TestFleet::~TestFleet()
{
  for (std::size_t index = 0; index < keepers_.size(); ++index) {
    Kill(index);
  }
  pool_.Stop();
}

std::string
TestFleet::NameOf(std::size_t aKeeper)
{
  return "keeper-" + std::string(1, static_cast<char>('a' + aKeeper));
}

LogService&
TestFleet::Service(std::size_t aKeeper)
{
  const std::lock_guard lock(mutex_);
  return *keepers_[aKeeper]->service_;
}

LogPorts
TestFleet::MakePorts(std::size_t aKeeper)
{
  return LogPorts{
    keyValue_.Access(),
    [this, aKeeper](const std::string& aPeer, wire::Message aMessage) {
      return Send(aKeeper, aPeer, std::move(aMessage));
    },
    [this, aKeeper](const std::string& aPeer) {
      return IsConnected(aKeeper, static_cast<std::size_t>(aPeer.back() - 'a'));
    },
    [this] {
      std::vector<ListedKeeper> listed;
      for (std::size_t index = 0; index < options_.keepers_; ++index) {
        listed.push_back(ListedKeeper{
          NameOf(index), "domain-" + std::to_string(index), false });
      }
      return listed;
    },
    pool_,
    keepers_[aKeeper]->table_,
    metrics_,
  };
}

LogService::Handlers
TestFleet::MakeHandlers(std::size_t aKeeper)
{
  const auto with = [this, aKeeper](std::uint32_t aPartition, auto aChange) {
    const std::lock_guard lock(mutex_);
    aChange(keepers_[aKeeper]->seen_[aPartition]);
  };
  LogService::Handlers handlers;
  handlers.recovering_ = [with](auto aPartition, auto aEpoch) {
    with(aPartition, [&](Seen& aSeen) { aSeen = Seen{ aEpoch, false, {} }; });
  };
  handlers.replay_ = [with](auto aPartition, auto, auto, auto aRecord) {
    with(aPartition, [&](Seen& aSeen) {
      // Test records begin with a letter, encoded ones with a count of zero.
      if (!aRecord.empty() && aRecord.front() != '\0') {
        aSeen.records_.emplace_back(aRecord);
      }
    });
  };
  handlers.owned_ = [with](auto aPartition, auto) {
    with(aPartition, [](Seen& aSeen) { aSeen.isOwned_ = true; });
  };
  handlers.released_ = [with](auto aPartition) {
    with(aPartition, [](Seen& aSeen) { aSeen = Seen{}; });
  };
  return handlers;
}

base::Disk
TestFleet::MakeDisk(std::size_t aKeeper) const
{
  base::Disk disk = base::Disk::Real();
  if (!options_.fullDisk_) {
    return disk;
  }
  disk.write_ = [full = options_.fullDisk_, real = disk.write_, aKeeper](
                  const base::File& aFile,
                  std::string_view aBytes,
                  std::uint64_t aOffset) -> base::Result<void> {
    if (*full == aKeeper) {
      return base::Fail(base::ResultCode::DiskFull);
    }
    return real(aFile, aBytes, aOffset);
  };
  return disk;
}

void
TestFleet::Start(std::size_t aKeeper)
{
  LogOptions options;
  options.host_ = NameOf(aKeeper);
  options.failureDomain_ = "domain-" + std::to_string(aKeeper);
  options.keyPrefix_ = "/test/";
  options.store_.folder_ = keepers_[aKeeper]->folder_.Path();
  options.store_.disk_ = MakeDisk(aKeeper);
  options.copies_ = options_.copies_;
  options.minCopies_ = options_.minCopies_;
  options.proposedPartitions_ = options_.partitions_;
  options.takeoverAfter_ = options_.takeoverAfter_;
  options.tickInterval_ = base::Duration{ 10000 };
  options.swapDelay_ = base::Duration{ 2000 };
  options.retryDelay_ = base::Duration{ 10000 };
  options.retryDelayMax_ = base::Duration{ 50000 };
  auto outcome = base::Capture([&] {
    return LogService::Start(
      options, MakePorts(aKeeper), MakeHandlers(aKeeper));
  });
  {
    const std::lock_guard lock(mutex_);
    keepers_[aKeeper]->service_ =
      std::get<std::unique_ptr<LogService>>(std::move(outcome));
  }
  TellLinksUp(aKeeper);
}

void
TestFleet::Kill(std::size_t aKeeper)
{
  std::shared_ptr<LogService> service;
  {
    const std::lock_guard lock(mutex_);
    service = std::move(keepers_[aKeeper]->service_);
    keepers_[aKeeper]->service_.reset();
    keepers_[aKeeper]->seen_.clear();
  }
  if (service) {
    service->Stop();
  }
}

void
TestFleet::Wipe(std::size_t aKeeper)
{
  Kill(aKeeper);
  for (const auto& entry :
       std::filesystem::directory_iterator(keepers_[aKeeper]->folder_.Path())) {
    std::filesystem::remove(entry.path());
  }
}

void
TestFleet::SetCutOff(std::size_t aKeeper, bool aCutOff)
{
  {
    const std::lock_guard lock(mutex_);
    keepers_[aKeeper]->isCutOff_ = aCutOff;
  }
  if (!aCutOff) {
    TellLinksUp(aKeeper);
  }
}

bool
TestFleet::IsConnected(std::size_t aFrom, std::size_t aTo)
{
  const std::lock_guard lock(mutex_);
  return aTo < keepers_.size() && keepers_[aFrom]->service_ &&
         keepers_[aTo]->service_ && !keepers_[aFrom]->isCutOff_ &&
         !keepers_[aTo]->isCutOff_;
}

base::ResultCode
TestFleet::Send(std::size_t aFrom,
                const std::string& aTo,
                wire::Message aMessage)
{
  const auto to = static_cast<std::size_t>(aTo.back() - 'a');
  if (!IsConnected(aFrom, to)) {
    return base::ResultCode::Disconnected;
  }
  links_.at({ aFrom, to })
    ->Post([this, aFrom, to, message = std::move(aMessage)] {
      std::shared_ptr<LogService> service;
      if (IsConnected(aFrom, to)) {
        const std::lock_guard lock(mutex_);
        service = keepers_[to]->service_;
      }
      if (service) {
        service->OnMessage(NameOf(aFrom), message);
      }
    });
  return base::ResultCode::Ok;
}

void
TestFleet::TellLinksUp(std::size_t aKeeper)
{
  for (std::size_t other = 0; other < keepers_.size(); ++other) {
    if (other == aKeeper || !IsConnected(aKeeper, other)) {
      continue;
    }
    std::shared_ptr<LogService> first;
    std::shared_ptr<LogService> second;
    {
      const std::lock_guard lock(mutex_);
      first = keepers_[aKeeper]->service_;
      second = keepers_[other]->service_;
    }
    first->OnLinkState(NameOf(other), wire::LinkState::Up);
    second->OnLinkState(NameOf(aKeeper), wire::LinkState::Replaced);
  }
}

bool
TestFleet::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kVeryLong;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::size_t
TestFleet::OwnerOf(std::uint32_t aPartition)
{
  const std::lock_guard lock(mutex_);
  std::size_t owner = kNone;
  std::uint64_t epoch = 0;
  for (std::size_t index = 0; index < keepers_.size(); ++index) {
    const auto& service = keepers_[index]->service_;
    if (service && service->IsOwned(aPartition) &&
        service->EpochOf(aPartition) > epoch) {
      owner = index;
      epoch = service->EpochOf(aPartition);
    }
  }
  return owner;
}

std::size_t
TestFleet::WaitForOwner(std::uint32_t aPartition)
{
  WaitUntil([&] { return OwnerOf(aPartition) != kNone; });
  return OwnerOf(aPartition);
}

std::size_t
TestFleet::WaitForOtherOwner(std::uint32_t aPartition, std::size_t aOld)
{
  const auto isOther = [&] {
    const std::size_t owner = OwnerOf(aPartition);
    return owner != kNone && owner != aOld;
  };
  return WaitUntil(isOther) ? OwnerOf(aPartition) : kNone;
}

std::vector<std::string>
TestFleet::CopiesOf(std::uint32_t aPartition)
{
  partition::PartitionRecord newest;
  for (const auto& keeper : keepers_) {
    partition::PartitionRecord record = keeper->table_.Get(aPartition);
    if (record.modRevision_ > newest.modRevision_) {
      newest = std::move(record);
    }
  }
  return newest.copies_;
}

TestFleet::Seen
TestFleet::SeenBy(std::size_t aKeeper, std::uint32_t aPartition)
{
  const std::lock_guard lock(mutex_);
  return keepers_[aKeeper]->seen_[aPartition];
}

base::ResultCode
TestFleet::Append(std::size_t aKeeper,
                  std::uint32_t aPartition,
                  std::vector<std::string> aRecords)
{
  auto done = std::make_shared<std::promise<base::ResultCode>>();
  auto future = done->get_future();
  Service(aKeeper).Append(aPartition,
                          std::move(aRecords),
                          [done](auto aCode, auto) { done->set_value(aCode); });
  if (future.wait_for(kVeryLong) != std::future_status::ready) {
    return base::ResultCode::TimedOut;
  }
  return future.get();
}

void
TestFleet::AppendUntilAcknowledged(std::uint32_t aPartition,
                                   const std::string& aRecord)
{
  WaitUntil([&] {
    const std::size_t owner = OwnerOf(aPartition);
    return owner != kNone &&
           Append(owner, aPartition, { aRecord }) == base::ResultCode::Ok;
  });
}

} // namespace pumiceturn::joblog
