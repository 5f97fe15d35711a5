#pragma once

#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::joblog {

/// A keeper as this host sees it.
struct KeeperView
{
  std::string host_;
  std::string failureDomain_;
  bool isUp_ = false;
  bool isLeaving_ = false; ///< By the host list: gets no new copies.
  /// Since when its link is down; before the first link, since this process
  /// began. Meaningless while it is up.
  base::Instant lostSince_{};

  bool operator==(const KeeperView&) const = default;
};

/// All keepers that this host knows, itself included.
struct FleetView
{
  std::string self_;
  std::vector<KeeperView> keepers_;

  [[nodiscard]] const KeeperView* Find(std::string_view aHost) const;
  [[nodiscard]] bool IsUp(std::string_view aHost) const;

  /// @return how long a host has been lost; 0 while it is up, Duration::max()
  /// if it is not in the host list at all.
  [[nodiscard]] base::Duration LostFor(std::string_view aHost,
                                       base::Instant aNow) const;

  /// @return failure domains with a keeper that is up.
  [[nodiscard]] std::size_t CountUpDomains() const;

  /// @return the host's failure domain; a host without one stands alone.
  [[nodiscard]] std::string DomainOf(std::string_view aHost) const;
};

} // namespace pumiceturn::joblog
