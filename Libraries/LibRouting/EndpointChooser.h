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

/// Two endpoints at random, the less loaded one taken; a believed prefix holder
/// first while its load is bounded.
struct LeastOfTwo
{
  /// A prefix holder is taken while its load is at most this many times the
  /// mean, so that a popular prefix does not overload one endpoint.
  double affinityBound_ = 1.25;
  /// Load (share of capacity) that another failure domain must be better by.
  double domainPenalty_ = 0.02;
};

/// Baseline: each in turn.
struct RoundRobin
{
  std::size_t next_ = 0;
};

/// Baseline: any.
struct RandomChoice
{};

using Policy = std::variant<LeastOfTwo, RoundRobin, RandomChoice>;

/// Why an endpoint was taken.
enum class Reason : std::uint8_t
{
  LessLoaded,
  PrefixHeld,
  OnlyOne,
  InTurn,
  AtRandom,
};

std::string_view
NameOf(Reason aReason);

/// How a run at an endpoint came to its end.
enum class RunEnd : std::uint8_t
{
  Answered,
  Broken,  ///< Crashed, failed or lost there.
  GivenUp, ///< Refused by the endpoint, or cancelled: says nothing about it.
};

/// An endpoint of a service's subset as the chooser is told of it.
struct EndpointDescription
{
  std::string name_;
  std::string failureDomain_;
  std::uint32_t capacity_ = 1; ///< Declared; a report replaces it.

  bool operator==(const EndpointDescription&) const = default;
};

/// What a request asks of the choice.
struct ChoiceRequest
{
  std::uint64_t prefix_ = 0;
  bool suspect_ = false; ///< Prefers endpoints that run no other suspect.
  std::span<const std::string> excluded_; ///< Tried before.
};

/// The endpoint taken and what was weighed, for the log.
struct Choice
{
  std::string endpoint_;
  Reason reason_ = Reason::LessLoaded;
  double load_ = 0.0; ///< Estimated share of capacity in use.
  std::string other_; ///< The endpoint it was compared with; may be empty.
  double otherLoad_ = 0.0;
  base::Duration reportAge_{ 0 };
};

/// Chooses the endpoint for each request of one service. Load is the own
/// requests in flight plus what the agent last reported beyond them; the older
/// the report, the more the mean of all endpoints stands in for it. The cost
/// does not grow with the number of endpoints. Not thread-safe: the owner holds
/// the routing table's lock.
class EndpointChooser
{
public:
  /// After this time a report says nothing more about others' load.
  static constexpr base::Duration kReportHorizon{ std::chrono::milliseconds{
    1000 } };

  /// How long an endpoint is avoided after one failure, and at most.
  static constexpr base::Duration kShortestAvoidance{ std::chrono::seconds{
    1 } };
  static constexpr std::uint32_t kMaxAvoidanceDoublings = 5;

  EndpointChooser(std::string aFailureDomain, Policy aPolicy);

  /// Replaces the set of endpoints; what is known of those that stay is kept.
  void SetEndpoints(std::span<const EndpointDescription> aEndpoints);

  void SetLinked(std::string_view aEndpoint, bool aIsLinked);

  /// Operators or the host list say that the endpoint leaves.
  void SetDrained(std::string_view aEndpoint, bool aIsDrained);

  /// Takes the agent's heartbeat.
  void OnHeartbeat(std::string_view aEndpoint,
                   const wire::Heartbeat& aHeartbeat,
                   base::Instant aNow);

  /// The endpoint's process is another one: its cache is empty.
  void OnReplaced(std::string_view aEndpoint);

  /// Counts a run sent to an endpoint.
  void OnStarted(std::string_view aEndpoint,
                 std::uint64_t aPrefix,
                 bool aIsSuspect);

  /// Counts the end of a run. An endpoint that fails at once always looks idle
  /// and would draw the most requests, so after a broken run it is avoided for
  /// a time that doubles with each one in a row.
  void OnEnded(std::string_view aEndpoint,
               bool aIsSuspect,
               RunEnd aEnd,
               base::Instant aNow);

  /// @return nothing where no endpoint may take the request.
  [[nodiscard]] std::optional<Choice> Choose(const ChoiceRequest& aRequest,
                                             base::Instant aNow,
                                             std::mt19937_64& aRandom);

  /// @return whether some endpoint is linked and not leaving.
  [[nodiscard]] bool HasEligible() const;

  /// @return the shortest wait that an agent reported, or nothing.
  [[nodiscard]] std::optional<std::uint32_t> ShortestWaitMs() const;

  [[nodiscard]] std::uint32_t InFlight(std::string_view aEndpoint) const;

private:
  struct Endpoint
  {
    EndpointDescription description_;
    bool linked_ = false;
    bool drained_ = false;  ///< By operators or the host list.
    bool draining_ = false; ///< By its own word.
    std::uint32_t inFlight_ = 0;
    std::uint32_t suspects_ = 0;
    std::uint32_t othersLoad_ = 0; ///< Reported beyond our own.
    std::uint32_t expectedWaitMs_ = 0;
    std::uint32_t failuresInRow_ = 0;
    base::Instant avoidedUntil_;
    std::optional<base::Instant> reportedAt_;
  };

  [[nodiscard]] Endpoint* Find(std::string_view aName);
  [[nodiscard]] static bool IsEligible(const Endpoint& aEndpoint);
  [[nodiscard]] bool MayTake(const Endpoint& aEndpoint,
                             const ChoiceRequest& aRequest) const;
  static void JudgeEnd(Endpoint& aEndpoint, RunEnd aEnd, base::Instant aNow);
  [[nodiscard]] double LoadOf(const Endpoint& aEndpoint,
                              base::Instant aNow) const;
  [[nodiscard]] double MeanLoad() const;
  [[nodiscard]] double MeanOthersLoad() const;
  void RebuildEligible();
  [[nodiscard]] std::optional<std::size_t> PickRandom(
    const ChoiceRequest& aRequest,
    std::optional<std::size_t> aOther,
    base::Instant aNow,
    std::mt19937_64& aRandom) const;
  [[nodiscard]] std::optional<std::size_t> PickHolder(
    const LeastOfTwo& aPolicy,
    const ChoiceRequest& aRequest,
    base::Instant aNow) const;
  [[nodiscard]] Choice Describe(std::size_t aIndex,
                                Reason aReason,
                                base::Instant aNow) const;
  std::optional<Choice> ChooseBy(LeastOfTwo& aPolicy,
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
  std::vector<std::size_t> eligible_; ///< Positions that may take new work.
  std::uint64_t totalLoad_ = 0;       ///< Own and others', over eligible ones.
  std::uint64_t totalCapacity_ = 0;   ///< Over eligible ones.
  std::uint64_t totalOthers_ = 0;     ///< Others' load, over eligible ones.
  PrefixEstimate prefixes_;
};

} // namespace pumiceturn::routing
