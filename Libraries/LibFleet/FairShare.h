#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
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

enum class ShareDecision : std::uint8_t
{
  Admit,  ///< No shortage, or the organisation is within its share.
  Reject, ///< Beyond its share in a shortage.
};

/// Shares a service's slots between organisations in a shortage.
///
/// Without it, one organisation that sends many times its usual makes all
/// others wait in the same queues, since up to its rate limit it may fill the
/// fleet. Slots are shared by max-min fairness over what the organisations have
/// in flight at all hosts. Time is passed as an argument. Performs no I/O. Not
/// thread-safe.
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

  /// @return the organisations with the most requests in flight at this host.
  [[nodiscard]] std::vector<OrganisationCount> LargestCounts() const;

  /// Sets the number of hosts that admit requests, this one included.
  void SetHostCount(std::size_t aHosts) { hosts_ = aHosts; }

  /// Decides on a request of an organisation.
  /// @param aLoad Load of the service that the request is for.
  [[nodiscard]] ShareDecision Check(const std::string& aOrganisation,
                                    const ServiceLoad& aLoad,
                                    base::Instant aNow) const;

private:
  std::size_t hosts_ = 1;
};

} // namespace pumiceturn::fleet
