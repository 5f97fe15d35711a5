#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::fleet {

/// Results of recent online attempts at one endpoint, as counted by one host.
struct EndpointOutcomes
{
  std::string endpoint_;
  /// Unix time of the process's start; 0: unknown.
  std::int64_t startedAtMs_ = 0;
  std::uint32_t successes_ = 0;
  std::uint32_t failures_ = 0;

  bool operator==(const EndpointOutcomes&) const = default;
};

/// Whether an endpoint gets requests.
enum class EndpointVerdict : std::uint8_t
{
  Sound,
  Ejected,   ///< Gets no requests while others have free slots.
  Probation, ///< After an ejection: gets few requests, all retryable.
};

/// A change of a verdict, with the figures that decided, for the log.
struct VerdictChange
{
  EndpointIncarnation endpoint_;
  EndpointVerdict verdict_ = EndpointVerdict::Sound;
  std::uint32_t successes_ = 0; ///< At all hosts.
  std::uint32_t failures_ = 0;  ///< At all hosts.
  std::uint32_t reportingHosts_ = 0;
  double usualFailureRate_ = 0.0; ///< Median over the service's endpoints.
  base::Duration duration_{ 0 };  ///< Of the ejection.
};

/// Finds endpoints whose requests fail far more often than those of the
/// service's other endpoints, although their health checks may pass.
///
/// An endpoint that fails at once always has free slots, so that a choice by
/// free slots sends it more requests than a sound one. Hosts add up what they
/// observed, as each alone sends too few requests to an endpoint. Time is
/// passed as an argument. Performs no I/O. Not thread-safe.
class OutlierDetector
{
public:
  /// Maximum number of endpoints in one report to the peers.
  static constexpr std::size_t kMaxReported = 32;

  /// Without a call, nothing is recorded and all endpoints are sound.
  void Enable() { isEnabled_ = true; }
  [[nodiscard]] bool IsEnabled() const { return isEnabled_; }

  /// Records the result of an online attempt of this host.
  void RecordOutcome(const EndpointIncarnation& aEndpoint,
                     bool aIsFailure,
                     base::Instant aNow);

  /// Replaces what a peer reported.
  void SetPeerOutcomes(const std::string& aPeer,
                       std::span<const EndpointOutcomes> aOutcomes,
                       base::Instant aNow);

  /// @return this host's recent outcomes at endpoints that failed here or for a
  ///         peer; the latter as the sum needs the successes too.
  [[nodiscard]] std::vector<EndpointOutcomes> OutcomesToReport(
    base::Instant aNow) const;

  /// Evaluates all endpoints.
  /// @param aEndpoints All registered endpoints.
  std::vector<VerdictChange> Update(std::span<const EndpointRecord> aEndpoints,
                                    base::Instant aNow);

  [[nodiscard]] EndpointVerdict VerdictOf(
    const EndpointIncarnation& aEndpoint) const;

  /// @return whether an attempt at the endpoint failed recently, at any host.
  [[nodiscard]] bool HasRecentFailure(const EndpointIncarnation& aEndpoint,
                                      base::Instant aNow) const;

  /// @return the number of endpoints that are ejected now.
  [[nodiscard]] std::size_t EjectedCount() const;

private:
  bool isEnabled_ = false;
};

} // namespace pumiceturn::fleet
