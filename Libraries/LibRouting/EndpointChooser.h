#pragma once

#include "LibBase/Time.h"
#include "LibRouting/PrefixEstimate.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pumiceturn::routing {

/// Draws two endpoints at random and chooses the less loaded one. An endpoint
/// that probably has the prompt prefix cached is preferred while its load is
/// within a bound.
struct PowerOfTwoChoices
{
  /// Maximum load of a preferred prefix holder, as a multiple of the mean load.
  /// Keeps a popular prefix from overloading one endpoint.
  double affinityBound_ = 1.25;
  /// Added to the load (share of capacity) of endpoints in other failure
  /// domains.
  double domainPenalty_ = 0.02;
};

/// Baseline policy: round robin.
struct RoundRobin
{
  std::size_t next_ = 0;
};

/// Baseline policy: a random endpoint.
struct RandomChoice
{};

using Policy = std::variant<PowerOfTwoChoices, RoundRobin, RandomChoice>;

/// Why an endpoint was chosen.
enum class ChoiceReason : std::uint8_t
{
  LessLoaded,
  PrefixHeld,
  OnlyOne,
  InTurn,
  AtRandom,
};

std::string_view
NameOf(ChoiceReason aReason);

/// How a run at an endpoint ended.
enum class RunOutcome : std::uint8_t
{
  Answered,
  Failed,    ///< The endpoint crashed or failed, or its link was lost.
  Abandoned, ///< Refused or cancelled; doesn't affect avoidance.
};

/// An endpoint in the subset of a service.
struct EndpointDescription
{
  std::string name_;
  std::string failureDomain_;
  /// Maximum number of concurrent runs, until a heartbeat reports it.
  std::uint32_t capacity_ = 1;

  bool operator==(const EndpointDescription&) const = default;
};

/// Routing input of one request.
struct ChoiceRequest
{
  std::uint64_t prefix_ = 0;
  bool suspect_ = false; ///< Prefer endpoints without another suspect.
  /// Endpoints that must not be chosen.
  std::span<const std::string> excluded_;
};

/// The chosen endpoint, with the inputs of the decision for the log.
struct Choice
{
  std::string endpoint_;
  ChoiceReason reason_ = ChoiceReason::LessLoaded;
  double load_ = 0.0; ///< Estimated load as a share of capacity.
  std::string other_; ///< The other candidate; empty if there was none.
  double otherLoad_ = 0.0;
  /// Age of the last heartbeat; Duration::max() if there was none.
  base::Duration reportAge_{ 0 };
};

/// Chooses an endpoint for each request of one service.
///
/// An endpoint's load is the number of this host's requests in flight there
/// plus the load from other hosts in the agent's last heartbeat. As that report
/// ages, it is gradually replaced by the mean over all endpoints. The cost of a
/// choice usually doesn't grow with the number of endpoints.
///
/// Not thread-safe; the caller must hold a lock.
class EndpointChooser
{
public:
  /// Age from which a report of other hosts' load is ignored.
  static constexpr base::Duration kMaxReportAge{ std::chrono::milliseconds{
    1000 } };

  /// How long an endpoint is avoided after its first failure. The time doubles
  /// with each consecutive failure, up to kMaxAvoidanceDoublings times.
  static constexpr base::Duration kMinAvoidance{ std::chrono::seconds{ 1 } };
  static constexpr std::uint32_t kMaxAvoidanceDoublings = 5;

  EndpointChooser(std::string aFailureDomain, Policy aPolicy);

  /// Replaces the set of endpoints. The state of endpoints that stay is kept.
  void SetEndpoints(std::span<const EndpointDescription> aEndpoints);

  void SetLinked(std::string_view aEndpoint, bool aIsLinked);

  /// Excludes an endpoint that was drained by an operator or is leaving
  /// according to the host list, or includes it again.
  void SetDrained(std::string_view aEndpoint, bool aIsDrained);

  /// Updates an endpoint's load and cached prefixes from a heartbeat of its
  /// agent.
  void OnHeartbeat(std::string_view aEndpoint,
                   const wire::Heartbeat& aHeartbeat,
                   base::Instant aNow);

  /// Resets what was reported by the endpoint's previous process, including its
  /// cached prefixes.
  void OnProcessReplaced(std::string_view aEndpoint);

  /// Records that a run was sent to an endpoint.
  void OnStarted(std::string_view aEndpoint,
                 std::uint64_t aPrefix,
                 bool aIsSuspect);

  /// Records the end of a run. An endpoint that fails immediately always looks
  /// idle and would attract most requests, so it is avoided after a failure.
  /// The time doubles with each consecutive failure.
  void OnEnded(std::string_view aEndpoint,
               bool aIsSuspect,
               RunOutcome aOutcome,
               base::Instant aNow);

  /// Chooses an endpoint for a request.
  /// @return std::nullopt if every endpoint is excluded or ineligible.
  [[nodiscard]] std::optional<Choice> Choose(const ChoiceRequest& aRequest,
                                             base::Instant aNow,
                                             std::mt19937_64& aRandom);

  /// @return whether at least one endpoint is linked and neither drained nor
  /// draining.
  [[nodiscard]] bool HasEligible() const;

  /// @return the shortest expected wait in milliseconds that an eligible
  /// endpoint has reported, or std::nullopt without a report.
  [[nodiscard]] std::optional<std::uint32_t> MinExpectedWaitMs() const;

  [[nodiscard]] std::uint32_t InFlight(std::string_view aEndpoint) const;

private:
  struct Endpoint
  {
    EndpointDescription description_;
    bool linked_ = false;
    bool drained_ = false;  ///< Set by operators or the host list.
    bool draining_ = false; ///< Reported by the endpoint itself.
    std::uint32_t inFlight_ = 0;
    std::uint32_t suspectsInFlight_ = 0;
    std::uint32_t othersLoad_ = 0; ///< Reported load from other hosts.
    std::uint32_t expectedWaitMs_ = 0;
    std::uint32_t consecutiveFailures_ = 0;
    base::Instant avoidedUntil_;
    std::optional<base::Instant> reportedAt_;
  };

  [[nodiscard]] Endpoint* Find(std::string_view aName);
  [[nodiscard]] static bool IsEligible(const Endpoint& aEndpoint);
  [[nodiscard]] bool IsAllowedBy(const Endpoint& aEndpoint,
                                 const ChoiceRequest& aRequest) const;
  static void UpdateAvoidance(Endpoint& aEndpoint,
                              RunOutcome aOutcome,
                              base::Instant aNow);
  [[nodiscard]] double EstimateLoad(const Endpoint& aEndpoint,
                                    base::Instant aNow) const;
  [[nodiscard]] double MeanLoad() const;
  [[nodiscard]] double MeanOthersLoad() const;
  void RebuildEligibleAndTotals();
  [[nodiscard]] std::optional<std::size_t> PickRandom(
    const ChoiceRequest& aRequest,
    std::optional<std::size_t> aExcept,
    base::Instant aNow,
    std::mt19937_64& aRandom) const;
  [[nodiscard]] std::optional<std::size_t> PickPrefixHolder(
    const PowerOfTwoChoices& aPolicy,
    const ChoiceRequest& aRequest,
    base::Instant aNow) const;
  [[nodiscard]] Choice Describe(std::size_t aIndex,
                                ChoiceReason aReason,
                                base::Instant aNow) const;
  std::optional<Choice> ChooseBy(PowerOfTwoChoices& aPolicy,
                                 const ChoiceRequest& aRequest,
                                 base::Instant aNow,
                                 std::mt19937_64& aRandom);
  std::optional<Choice> ChooseBy(RoundRobin& aPolicy,
                                 const ChoiceRequest& aRequest,
                                 base::Instant aNow,
                                 std::mt19937_64& aRandom);
  std::optional<Choice> ChooseBy(RandomChoice& aPolicy,
                                 const ChoiceRequest& aRequest,
                                 base::Instant aNow,
                                 std::mt19937_64& aRandom);

  std::string failureDomain_;
  Policy policy_;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<std::string, std::size_t> positions_;
  std::vector<std::size_t> eligible_; ///< Positions in endpoints_.
  /// Runs of this and other hosts at eligible endpoints.
  std::uint64_t totalLoad_ = 0;
  std::uint64_t totalCapacity_ = 0;   ///< Of eligible endpoints.
  std::uint64_t totalOthersLoad_ = 0; ///< Load from other hosts.
  PrefixEstimate prefixes_;
};

} // namespace pumiceturn::routing
