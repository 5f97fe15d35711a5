#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Online requests that one host has in flight for an organisation.
struct OrganisationCount
{
  std::string organisation_;
  std::uint32_t inFlight_ = 0;

  bool operator==(const OrganisationCount&) const = default;
};

/// Online requests in flight at the endpoints of a service, and their slots.
struct ServiceLoad
{
  std::uint32_t inFlight_ = 0;
  std::uint32_t slots_ = 0;
};

/// Whether a request is within its organisation's share, with the figures
/// behind the decision.
struct ShareDecision
{
  bool isAdmitted_ = true;
  std::uint32_t inFlight_ = 0; ///< Of the organisation, at all hosts.
  double level_ = 0.0; ///< Requests that an organisation may have in flight.
};

/// Shares a service's slots between organisations in a shortage.
///
/// Without it, one organisation that sends many times its usual makes all
/// others wait in the same queues, since up to its rate limit it may fill the
/// fleet. In a shortage slots are shared by max-min fairness over what the
/// organisations have in flight at all hosts, and requests beyond the share are
/// rejected. Callers without an organisation count as one of them. Requests to
/// all services count together. Time is passed as an argument.
/// Performs no I/O. Not thread-safe.
class FairShare
{
public:
  /// Maximum number of organisations in one report to the peers. Only large
  /// users can exceed their share.
  static constexpr std::size_t kMaxReported = 16;

  void CountStart(const std::string& aOrganisation);
  void CountEnd(const std::string& aOrganisation);

  /// Replaces what a peer reported.
  void SetPeerCounts(const std::string& aPeer,
                     std::span<const OrganisationCount> aCounts,
                     base::Instant aNow);

  /// @return the organisations with the most requests in flight at this host,
  ///         for the peers; none while no service is near a shortage, so that
  ///         they cost no traffic then.
  [[nodiscard]] std::vector<OrganisationCount> CountsToReport(
    base::Instant aNow) const;

  /// Sets the number of hosts that admit requests, this one included.
  void SetHostCount(std::size_t aHosts) { hosts_ = aHosts; }

  /// Decides on a request of an organisation.
  /// @param aLoad Load of the service that the request is for.
  [[nodiscard]] ShareDecision Check(const std::string& aOrganisation,
                                    const ServiceLoad& aLoad,
                                    base::Instant aNow);

private:
  using Counts = std::unordered_map<std::string, std::uint32_t>;

  struct PeerReport
  {
    std::vector<OrganisationCount> counts_;
    base::Instant recordedAt_;
  };

  /// @return the requests in flight at all hosts, by organisation.
  [[nodiscard]] Counts SumCounts(base::Instant aNow) const;

  /// @return the largest number of requests in flight that is within the share
  ///         of each organisation: the level at which all that is below it
  ///         takes the capacity.
  [[nodiscard]] static double FairLevel(const Counts& aCounts,
                                        double aCapacity);

  std::size_t hosts_ = 1;
  base::Instant reportUntil_; ///< A service was nearly short of slots.
  Counts own_;
  std::unordered_map<std::string, PeerReport> peers_; ///< By host.
};

} // namespace pumiceturn::fleet
