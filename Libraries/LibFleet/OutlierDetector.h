#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Number of attempts that succeeded and that failed.
struct OutcomeCounts
{
  std::uint32_t successes_ = 0;
  std::uint32_t failures_ = 0;

  [[nodiscard]] double FailureRate() const;
  bool operator==(const OutcomeCounts&) const = default;
};

/// Results of online attempts at one endpoint, as counted by one host.
struct EndpointOutcomes
{
  std::string endpoint_;
  /// Unix time of the process's start; 0: unknown.
  std::int64_t startedAtMs_ = 0;
  OutcomeCounts recent_; ///< Within OutlierDetector::kWindow.
  /// Since the host first used the endpoint. A receiver that knows an earlier
  /// total counts the difference, so that lost messages do no harm.
  OutcomeCounts total_;

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
  OutcomeCounts recent_;          ///< At all hosts.
  std::size_t failedHosts_ = 0;   ///< Hosts with a recent failure.
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
  /// Time for which an outcome counts.
  static constexpr base::Duration kWindow{ std::chrono::seconds{ 5 } };

  /// Maximum number of endpoints in one report to the peers.
  static constexpr std::size_t kMaxReported = 32;

  /// Without a call, nothing is recorded and all endpoints are sound.
  void Enable() { isEnabled_ = true; }
  [[nodiscard]] bool IsEnabled() const { return isEnabled_; }

  /// Records the result of an online attempt of this host.
  void RecordOutcome(const EndpointIncarnation& aEndpoint,
                     bool aIsFailure,
                     base::Instant aNow);

  /// Replaces what a peer reported. Rows of a process that is older than the
  /// one known here are ignored.
  void SetPeerOutcomes(const std::string& aPeer,
                       std::span<const EndpointOutcomes> aOutcomes,
                       base::Instant aNow);

  /// @return this host's recent outcomes at endpoints that failed here or for a
  ///         peer, as the sum needs the successes too, and at those that aren't
  ///         sound.
  [[nodiscard]] std::vector<EndpointOutcomes> OutcomesToReport(
    base::Instant aNow) const;

  /// Evaluates all endpoints.
  /// @param aEndpoints All registered endpoints.
  /// @param aIsShort   Whether a service is short of slots, by its name.
  std::vector<VerdictChange> Update(
    std::span<const EndpointRecord> aEndpoints,
    const std::function<bool(const std::string&)>& aIsShort,
    base::Instant aNow);

  [[nodiscard]] EndpointVerdict VerdictOf(
    const EndpointIncarnation& aEndpoint) const;

  /// @return whether an attempt at the endpoint failed recently, at any host.
  [[nodiscard]] bool HasRecentFailure(const EndpointIncarnation& aEndpoint,
                                      base::Instant aNow) const;

  /// Drops what is known of an endpoint.
  void Remove(const std::string& aId);

  /// @return the number of endpoints that are ejected now.
  [[nodiscard]] std::size_t EjectedCount() const;

private:
  static constexpr std::size_t kSlices = 10;
  static constexpr base::Duration kSliceTime{ std::chrono::milliseconds{
    500 } };
  static_assert(kSliceTime * static_cast<base::Duration::rep>(kSlices) ==
                kWindow);

  /// Counts of the last kWindow, by slice.
  class Window
  {
  public:
    void Add(const OutcomeCounts& aCounts, base::Instant aNow);
    [[nodiscard]] OutcomeCounts Sum(base::Instant aNow) const;
    void Clear() { slices_ = {}; }

  private:
    struct Slice
    {
      std::int64_t number_ = -1; ///< Counted from the clock's epoch.
      OutcomeCounts counts_;
    };
    std::array<Slice, kSlices> slices_{};
  };

  struct PeerRow
  {
    OutcomeCounts recent_;
    OutcomeCounts total_;
    base::Instant recordedAt_;
  };

  /// What is known of one process of an endpoint.
  struct Endpoint
  {
    std::int64_t startedAtMs_ = 0;
    Window own_;
    OutcomeCounts ownTotal_;
    std::unordered_map<std::string, PeerRow> peers_; ///< By host.
    std::optional<base::Instant> firstFailureAt_;    ///< Of the current series.
    base::Instant lastFailureAt_;
    /// Time without a failure before the current series.
    base::Duration quietBefore_{ 0 };
    EndpointVerdict verdict_ = EndpointVerdict::Sound;
    base::Instant ejectedUntil_;
    std::uint32_t ejections_ = 0; ///< Consecutive ones.
    OutcomeCounts onProbation_;
  };

  /// What an evaluation of an endpoint rests on.
  struct Evidence
  {
    OutcomeCounts recent_;
    std::size_t usedHosts_ = 0;
    std::size_t failedHosts_ = 0;
  };

  /// @return the endpoint, which is new if its process is; nullptr if a later
  ///         process is known.
  Endpoint* EndpointFor(const EndpointIncarnation& aEndpoint);
  [[nodiscard]] const Endpoint* Find(
    const EndpointIncarnation& aEndpoint) const;
  /// Records new outcomes at any host.
  static void Record(Endpoint& aEndpoint,
                     const OutcomeCounts& aCounts,
                     base::Instant aNow);

  /// @return whether most endpoints fail for this host, so that the host itself
  ///         is likely to be cut off.
  [[nodiscard]] bool IsCutOff(base::Instant aNow) const;
  [[nodiscard]] Evidence EvidenceOf(const Endpoint& aEndpoint,
                                    bool aIsOwnUsed,
                                    base::Instant aNow) const;
  void UpdateService(std::span<const EndpointRecord* const> aEndpoints,
                     double aMinFailureRate,
                     bool aIsOwnUsed,
                     base::Instant aNow,
                     std::vector<VerdictChange>& aChanges);
  static VerdictChange Eject(const EndpointRecord& aRecord,
                             Endpoint& aEndpoint,
                             base::Instant aNow);
  /// Ends ejections and probations that are over.
  static void Readmit(const EndpointRecord& aRecord,
                      Endpoint& aEndpoint,
                      base::Instant aNow,
                      std::vector<VerdictChange>& aChanges);

  bool isEnabled_ = false;
  std::unordered_map<std::string, Endpoint> endpoints_; ///< By id.
};

} // namespace pumiceturn::fleet
