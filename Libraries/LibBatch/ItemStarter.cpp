#include "LibBatch/ItemStarter.h"

#include <utility>

namespace pumiceturn::batch {

namespace {

/// Weight of a new sample in the average number of concurrent attempts. With
/// one sample every 100 ms, the average covers about 5 s, longer than a burst
/// of online work.
constexpr double kAverageAttemptsWeight = 0.02;

/// How long a service that no item waits for is remembered.
constexpr std::chrono::minutes kServiceRetention{ 10 };

bool
EndsService(StartObstacle aObstacle)
{
  return aObstacle == StartObstacle::NoFreeSlot ||
         aObstacle == StartObstacle::NoEndpoint;
}

} // namespace

std::string_view
ToString(StartObstacle aObstacle)
{
  switch (aObstacle) {
    case StartObstacle::RouteMissing:
      return "route_missing";
    case StartObstacle::NoEndpoint:
      return "no_endpoint";
    case StartObstacle::NoFreeSlot:
      return "no_free_slot";
    case StartObstacle::VersionFull:
      return "version_full";
    case StartObstacle::Suspected:
      return "suspected";
    case StartObstacle::None:
      break;
  }
  return "none";
}

std::vector<ServiceObstacle>
ItemStarter::StartWaiting(ServiceQueues&& aQueues,
                          base::Instant aNow,
                          const StartFunction& aStart)
{
  counts_ = {};
  std::map<std::string, ServiceObstacle> obstacles;
  for (auto& [name, queue] : aQueues) {
    if (!queue.waiting_.empty()) {
      services_[name].waitedAt_ = aNow;
      obstacles[name] = StartService(name, std::move(queue), aNow, aStart);
    }
  }
  std::vector<ServiceObstacle> changes;
  for (auto& [name, service] : services_) {
    const auto found = obstacles.find(name);
    const ServiceObstacle current =
      found != obstacles.end() ? found->second : ServiceObstacle{ name };
    if (MustReport(service, current.obstacle_, aNow)) {
      service.reported_ = current.obstacle_;
      service.reportedAt_ = aNow;
      changes.push_back(current);
    }
  }
  std::erase_if(services_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.waitedAt_ > kServiceRetention;
  });
  return changes;
}

ServiceObstacle
ItemStarter::StartService(const std::string& aName,
                          ServiceQueue aQueue,
                          base::Instant aNow,
                          const StartFunction& aStart)
{
  double& average = services_[aName].averageAttempts_;
  average +=
    (static_cast<double>(aQueue.attempts_) - average) * kAverageAttemptsWeight;
  ServiceObstacle result{ aName };
  std::size_t untried = aQueue.waiting_.size();
  if (aQueue.obstacle_ != StartObstacle::None) {
    CountWaiting(result, aQueue.obstacle_, untried);
    return result;
  }
  const StartConditions conditions{ aNow, average, aQueue.runningWork_ };
  for (const StartCandidate& candidate :
       OrderStarts(std::move(aQueue.waiting_), conditions)) {
    const StartObstacle obstacle = aStart(aName, candidate);
    if (EndsService(obstacle)) {
      CountWaiting(result, obstacle, untried);
      break;
    }
    --untried;
    if (obstacle != StartObstacle::None) {
      CountWaiting(result, obstacle, 1);
    }
  }
  return result;
}

void
ItemStarter::CountWaiting(ServiceObstacle& aService,
                          StartObstacle aObstacle,
                          std::size_t aItems)
{
  counts_[static_cast<std::size_t>(aObstacle)] += aItems;
  if (aService.waiting_ == 0) {
    aService.obstacle_ = aObstacle;
  }
  aService.waiting_ += aItems;
}

bool
ItemStarter::MustReport(const Service& aService,
                        StartObstacle aObstacle,
                        base::Instant aNow)
{
  return aObstacle != aService.reported_ &&
         aNow - aService.reportedAt_ >= kReportInterval;
}

} // namespace pumiceturn::batch
