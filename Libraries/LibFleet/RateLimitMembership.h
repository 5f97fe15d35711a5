#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// The hosts that take part in rate limiting, as seen by one of them:
/// determines the owner of each organisation's account, and the share of each
/// limit that the hosts that reach each other may use. The time is passed as an
/// argument. Performs no I/O. Not thread-safe.
class RateLimitMembership
{
public:
  struct Member
  {
    std::string host_;
    bool isReachable_ = false;
    /// Whether the host admits requests. Hosts that don't only own accounts,
    /// and are preferred as owners: they have more processor time and restart
    /// less often.
    bool admits_ = true;
  };

  /// How long an unregistered host is still counted, as it may be cut off and
  /// still running.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 5 } };

  RateLimitMembership(std::string aOwnName, bool aAdmits)
    : ownName_(std::move(aOwnName))
    , admits_(aAdmits)
  {
  }

  /// Updates the members.
  /// @param aOthers All registered hosts except this one.
  void Update(std::span<const Member> aOthers, base::Instant aNow);

  /// @return the owner of an organisation's account: the reachable host with
  ///         the highest random weight.
  [[nodiscard]] const std::string& OwnerOf(
    std::string_view aOrganisation) const;

  /// @return the share of each limit, in [0, 1], that the reachable hosts may
  ///         use. Hosts that are cut off from them use the rest.
  [[nodiscard]] double Share() const { return share_; }

  /// @return the number of hosts that may be admitting requests, including this
  ///         one.
  [[nodiscard]] std::size_t Count() const { return count_; }

  /// @return when the set of reachable hosts last changed.
  [[nodiscard]] base::Instant ChangedAt() const { return changedAt_; }

  [[nodiscard]] const std::string& OwnName() const { return ownName_; }

private:
  struct RegistrationCount
  {
    base::Instant at_;
    std::size_t count_ = 1;
  };

  /// Whether a host only owns accounts, and its name.
  using AccountHost = std::pair<bool, std::string>;

  std::string ownName_;
  bool admits_;
  std::vector<AccountHost> reachable_; ///< Sorted; excludes this host.
  std::deque<RegistrationCount>
    registrationCounts_; ///< Recent counts, in falling order.
  std::size_t count_ = 1;
  double share_ = 1.0;
  base::Instant changedAt_{};
};

} // namespace pumiceturn::fleet
