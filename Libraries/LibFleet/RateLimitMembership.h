#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// The hosts that take part in rate limiting, as seen by one of them:
/// determines the owner of each organisation's account, and the share of each
/// limit that this host may grant as an owner.
///
/// Each admitting host has an equal part of every limit, which only the owner
/// that it chose may grant. An owner grants the parts of the hosts that chose
/// it, so the owners' shares add up to one whichever hosts reach each other.
/// The share of the hosts that an owner reaches would not: two hosts that are
/// cut off from each other may both reach the same worker, which would then
/// grant what another owner grants as well.
///
/// Hosts tell each other a hash of the owners that they choose from. If it
/// equals that of a set that this host knows, the choice for each organisation
/// follows; otherwise only the host's reports tell. The time is passed as an
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
    /// Hash of the owners that the host chooses from, as it last said;
    /// std::nullopt if it doesn't say, as hosts of earlier versions don't.
    std::optional<std::uint64_t> candidatesHash_ = std::nullopt;
    /// Number of admitting hosts that the host hears, as it last said;
    /// std::nullopt if it doesn't say: it may be an owner, as hosts of earlier
    /// versions choose it.
    std::optional<std::size_t> heardHosts_ = std::nullopt;
  };

  /// How long an unregistered host is still counted, as it may be cut off and
  /// still running.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 5 } };

  RateLimitMembership(std::string aOwnName, bool aAdmits);

  /// Updates the members.
  /// @param aRegistered All registered hosts. Those with this host's name are
  ///        ignored: an earlier process of it may still be registered.
  void Update(std::span<const Member> aRegistered, base::Instant aNow);

  /// @return the owner of an organisation's account: the candidate with the
  ///         highest random weight.
  [[nodiscard]] const std::string& OwnerOf(
    std::string_view aOrganisation) const;

  /// @return the share of an organisation's limit, in [0, 1], that this host
  ///         may grant as the owner of its account.
  /// @param aHasReported Whether a host reported to this host as the owner just
  ///        now. Only called for hosts whose choice isn't known otherwise.
  [[nodiscard]] double ShareOf(
    std::string_view aOrganisation,
    const std::function<bool(const std::string&)>& aHasReported) const;

  /// Records the owners that a host chooses from, as told by its report, which
  /// may be newer than what Update() was given.
  void RecordCandidates(const std::string& aHost, std::uint64_t aHash);

  /// @return the number of admitting hosts that this host hears, itself
  ///         included, for its peers.
  [[nodiscard]] std::size_t HeardHosts() const { return heardHosts_; }

  /// @return a hash of the owners that this host chooses from, for its peers.
  [[nodiscard]] std::uint64_t CandidatesHash() const { return ownHash_; }

  /// @return the largest number of registered hosts that admit requests
  ///         within kRetention; at least 1.
  [[nodiscard]] std::size_t AdmittingCount() const { return count_; }

  /// @return when the set of reachable hosts or of candidates last changed.
  [[nodiscard]] base::Instant ChangedAt() const { return changedAt_; }

  [[nodiscard]] const std::string& OwnName() const { return ownName_; }

private:
  struct RegistrationCount
  {
    base::Instant at_;
    std::size_t count_ = 1;
  };

  /// A host that an owner may be chosen from.
  struct RankedHost
  {
    bool accountOnly_ = false; ///< Preferred as owner.
    std::string host_;
    std::size_t heardHosts_ = 0;
  };

  /// Chooses the preferred hosts among those that hear nearly as many admitting
  /// hosts as any other. While some hosts are cut off from the others, a host
  /// that both sides reach owns the accounts of both, and the whole limit can
  /// be used.
  /// @return the names of the hosts that an owner is chosen from, sorted.
  [[nodiscard]] static std::vector<std::string> CandidatesAmong(
    std::span<const RankedHost> aHosts);
  [[nodiscard]] static const std::string& HighestRanked(
    std::span<const std::string> aCandidates,
    std::string_view aOrganisation);
  [[nodiscard]] static std::uint64_t HashOf(
    std::span<const std::string> aCandidates);
  void CountChoosers();

  /// Updates AdmittingCount().
  /// @param aCount Registered hosts that admit requests, this one included.
  void RecordRegisteredCount(std::size_t aCount, base::Instant aNow);

  std::string ownName_;
  bool admits_;
  std::vector<std::string> reachable_; ///< Sorted; excludes this host.
  std::size_t heardHosts_ = 0;
  std::vector<std::string> candidates_; ///< Owners that this host chooses from.
  std::uint64_t ownHash_ = 0;
  /// Owners that a host chooses from if it reaches all registered hosts.
  std::vector<std::string> allCandidates_;
  /// Reachable admitting hosts, this one included, by what they choose from.
  std::unordered_map<std::string, std::uint64_t> hashes_;
  std::size_t choosers_ = 0; ///< Hosts that choose from candidates_.
  /// Hosts that choose from allCandidates_, if these differ.
  std::size_t choosersFromAll_ = 0;
  std::vector<std::string> otherChoosers_; ///< Their candidates aren't known.
  std::deque<RegistrationCount>
    registrationCounts_; ///< Counts within kRetention, descending.
  std::size_t count_ = 1;
  base::Instant changedAt_{};
};

} // namespace pumiceturn::fleet
