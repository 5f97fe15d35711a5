#pragma once

#include "LibBatch/StartOrder.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::batch {

/// Why a waiting item isn't started.
enum class StartObstacle : std::uint8_t
{
  None,
  RouteMissing, ///< No route of the configuration leads to a service.
  NoEndpoint,   ///< Its service has no endpoint for batch items.
  NoFreeSlot,   ///< The endpoints of its service are full or paused for batch.
  /// The endpoints of the software version that began its text are full.
  VersionFull,
  Suspected, ///< Another item with a suspected feature is running.
};
inline constexpr std::size_t kStartObstacles = 6;

/// @return the name in logs and metrics.
[[nodiscard]] std::string_view
ToString(StartObstacle aObstacle);

/// The waiting items of a host that go to one service next, and what it needs
/// to know about the service. Services share no slots.
struct ServiceQueue
{
  std::vector<StartCandidate> waiting_;
  /// What keeps all of them from being started; None: slots are free.
  StartObstacle obstacle_ = StartObstacle::None;
  std::size_t attempts_ = 0; ///< Running now.
  /// Total remaining run time of the running attempts.
  base::Duration runningWork_{ 0 };
};

/// What keeps a service's items from being started.
struct ServiceObstacle
{
  std::string service_;
  /// Of the first item in the start order that wasn't started.
  StartObstacle obstacle_ = StartObstacle::None;
  std::size_t waiting_ = 0; ///< Items that weren't started.
};

/// Starts the waiting items of a host in free slots, those of each service in
/// their own order: a service that is full or gone holds up its own items only.
/// Performs no I/O. Not thread-safe.
class ItemStarter
{
public:
  /// Least time between two reports of a service's obstacles.
  static constexpr base::Duration kReportInterval{ std::chrono::seconds{ 5 } };

  using ServiceQueues = std::map<std::string, ServiceQueue>;

  /// Starts an item at a service.
  /// @return what kept it from being started. After NoFreeSlot and NoEndpoint,
  ///         no other item of the service is tried.
  using StartFunction = std::function<StartObstacle(const std::string& aService,
                                                    const StartCandidate&)>;

  /// Starts as many items as there are slots. Called once a tick.
  /// @return the services whose obstacle has changed, for the log.
  std::vector<ServiceObstacle> StartWaiting(ServiceQueues&& aQueues,
                                            base::Instant aNow,
                                            const StartFunction& aStart);

  /// @return the items that the last call of StartWaiting() didn't start for a
  ///         reason.
  [[nodiscard]] std::size_t WaitingCount(StartObstacle aObstacle) const
  {
    return counts_[static_cast<std::size_t>(aObstacle)];
  }

private:
  struct Service
  {
    /// Moving average of concurrent attempts while items wait.
    double averageAttempts_ = 0.0;
    base::Instant waitedAt_{}; ///< When items last waited for it.
    StartObstacle reported_ = StartObstacle::None;
    base::Instant reportedAt_{};
  };

  ServiceObstacle StartService(const std::string& aName,
                               ServiceQueue aQueue,
                               base::Instant aNow,
                               const StartFunction& aStart);
  void CountWaiting(ServiceObstacle& aService,
                    StartObstacle aObstacle,
                    std::size_t aItems);
  [[nodiscard]] static bool MustReport(const Service& aService,
                                       StartObstacle aObstacle,
                                       base::Instant aNow);

  std::map<std::string, Service> services_;
  std::array<std::size_t, kStartObstacles> counts_{};
};

} // namespace pumiceturn::batch
