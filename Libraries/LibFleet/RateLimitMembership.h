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
    /// Whether the host admits requests. A host that admits none only owns
    /// accounts. Such hosts are preferred as owners, since they have more
    /// processor time and restart less often.
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

  /// @return the largest number of registered hosts that admit requests
  ///         within kRetention; at least 1.
  [[nodiscard]] std::size_t AdmittingCount() const { return count_; }

  /// @return when the set of reachable hosts last changed.
  [[nodiscard]] base::Instant ChangedAt() const { return changedAt_; }

  [[nodiscard]] const std::string& OwnName() const { return ownName_; }

private:
  struct RegistrationCount
  {
    base::Instant at_;
    std::size_t count_ = 1;
  };

  /// Whether a host only owns accounts (preferred as owner), and its name.
  using RankedHost = std::pair<bool, std::string>;

  std::string ownName_;
  bool admits_;
  std::vector<RankedHost> reachable_; ///< Sorted; excludes this host.
  std::deque<RegistrationCount>
    registrationCounts_; ///< Counts within kRetention, descending.
  std::size_t count_ = 1;
  double share_ = 1.0;
  base::Instant changedAt_{};
};

} // namespace pumiceturn::fleet
