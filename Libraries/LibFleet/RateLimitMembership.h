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

/// The hosts that let requests run, as one of them sees them: who keeps an
/// organisation's account, and which part of its limit the hosts that hear
/// each other may use. Takes the time as an argument, does no I/O, is not
/// thread-safe.
class RateLimitMembership
{
public:
  struct Member
  {
    std::string host_;
    bool isReachable_ = false;
    /// It lets requests run. The others only keep accounts, and before these:
    /// they have more of a processor, and start anew more seldom.
    bool admits_ = true;
  };

  /// How long a host that is no longer registered is still counted: it may be
  /// cut off and go on.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 5 } };

  RateLimitMembership(std::string aOwnName, bool aAdmits)
    : ownName_(std::move(aOwnName))
    , admits_(aAdmits)
  {
  }

  /// @param aOthers All registered hosts but this one.
  void Update(std::span<const Member> aOthers, base::Instant aNow);

  /// @return the host that keeps an organisation's account, by highest random
  ///         weight among the hosts that are heard.
  [[nodiscard]] const std::string& OwnerOf(
    std::string_view aOrganisation) const;

  /// @return which part of each limit the hosts that are heard may use. Hosts
  ///         that are cut off from these use the rest.
  [[nodiscard]] double Share() const { return share_; }

  /// @return how many hosts may let requests run, this one included.
  [[nodiscard]] std::size_t Count() const { return count_; }

  /// @return when the hosts that are heard last changed.
  [[nodiscard]] base::Instant Since() const { return since_; }

  [[nodiscard]] const std::string& OwnName() const { return ownName_; }

private:
  struct Registered
  {
    base::Instant at_;
    std::size_t count_ = 1;
  };

  /// Whether a host only keeps accounts, and its name.
  using AccountHost = std::pair<bool, std::string>;

  std::string ownName_;
  bool admits_;
  std::vector<AccountHost> heard_;    ///< Sorted, without this host.
  std::deque<Registered> registered_; ///< Of late, falling counts.
  std::size_t count_ = 1;
  double share_ = 1.0;
  base::Instant since_{};
};

} // namespace pumiceturn::fleet
