#pragma once

#include "LibJobLog/FleetView.h"
#include "LibJobLog/LogPorts.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::joblog {

/// Builds the view of the keepers from the host list and the links. The list
/// lags, so it only says whom to try: a keeper that it no longer names stays in
/// view while its link is up, and is treated as leaving. Thread-safe.
class FleetTracker
{
public:
  using ViewPointer = std::shared_ptr<const FleetView>;

  FleetTracker(std::string aSelf,
               std::string aFailureDomain,
               base::Instant aNow);

  /// @return whether the view differs from the one before, but for times.
  bool Update(const LogPorts& aPorts, base::Instant aNow);

  [[nodiscard]] ViewPointer View() const;

private:
  const std::string self_;
  const std::string failureDomain_;
  const base::Instant startedAt_;

  mutable std::mutex mutex_;
  std::map<std::string, KeeperView> keepers_;
  ViewPointer view_;
};

} // namespace pumiceturn::joblog
