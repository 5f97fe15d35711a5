#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::fleet {

/// Which work a run does: batch gives way to online.
enum class WorkClass : std::uint8_t
{
  Online,
  Batch,
};

/// Runs at one endpoint, by class.
struct InFlightCounts
{
  std::uint32_t online_ = 0;
  std::uint32_t batch_ = 0;

  [[nodiscard]] std::uint32_t Total() const { return online_ + batch_; }
  bool operator==(const InFlightCounts&) const = default;
};

/// What one host says of one endpoint.
struct PeerCount
{
  std::string endpoint_;
  InFlightCounts counts_;
  bool hasFailed_ = false; ///< It is avoided there after failures.
  std::int64_t startedAtMs_ =
    0; ///< Of the start of the endpoint that is meant.

  bool operator==(const PeerCount&) const = default;
};

/// A chosen endpoint and what was weighed, for the log.
struct EndpointChoice
{
  EndpointRecord endpoint_;
  std::uint32_t running_ = 0; ///< Runs believed there before this one.
  std::uint32_t candidates_ = 0;
  /// All places are taken, and a batch run there is to give way.
  bool preemptsBatch_ = false;
  std::string preemptedPeer_; ///< Whose batch run it is; empty: an own one.
};

/// What a registration tells of an endpoint.
enum class RegistrationOutcome : std::uint8_t
{
  New,       ///< It was not known.
  Known,     ///< The same start of it.
  Restarted, ///< It started anew under its id.
  Outdated,  ///< Of an earlier start than the one that is known, or of one
             ///< whose address another process has now: ignored.
};

/// What is asked of a choice.
struct ChoiceRequest
{
  std::string_view service_;
  WorkClass work_ = WorkClass::Online;
  std::span<const std::string> excluded_; ///< Endpoints tried before.
};

/// The endpoints of all services, and the runs that this host and its peers
/// have at each. Engines admit in order of arrival and know no priority, so
/// batch is held back here: a batch run starts only where places are free
/// beyond a headroom, and is cancelled (and resumed elsewhere) when online work
/// takes its place.
///
/// All that is believed of an endpoint belongs to one start of it. What is told
/// of an earlier start changes nothing, in whatever order news arrive.
/// Belongs to the event thread.
class EndpointTable
{
public:
  struct Limits
  {
    /// Places that batch leaves free at each endpoint: online requests that
    /// arrive within one exchange between hosts find room at once.
    std::uint32_t batchHeadroom_ = 1;

    /// How old a peer's counts may be. Ten exchanges: a peer that is silent
    /// for longer is stopped or cut off.
    base::Duration peerCountLifetime_{ std::chrono::milliseconds{ 1000 } };

    /// How long an endpoint is avoided after a connection to it failed or a
    /// run broke, doubling to the longest while failures go on.
    base::Duration firstAvoidance_{ std::chrono::milliseconds{ 400 } };
    base::Duration maxAvoidance_{ std::chrono::milliseconds{ 3200 } };

    /// Time without batch starts at an endpoint after a batch run gave way
    /// there. A run that is started and cancelled costs the engine the reading
    /// of its whole context, and online bursts last seconds.
    base::Duration pauseAfterPreemption_{ std::chrono::milliseconds{ 300 } };

    /// Peers that must have failed at an endpoint for this host to avoid it
    /// too. Two, since one alone may be cut off from an endpoint that serves
    /// others.
    std::uint32_t failedPeersToAvoid_ = 2;

    /// How long an endpoint whose registration vanished while the store was
    /// away stays in use after the store's return: the users say that living
    /// ones are back within about 2 s.
    base::Duration vanishedGrace_{ std::chrono::milliseconds{ 1900 } };

    /// After this time the registration of a process that ended is gone, or is
    /// that of its next start: three heartbeats of 1.2 s, and up to 1.2 s until
    /// the mirror's next look.
    base::Duration registrationLapse_{ std::chrono::milliseconds{ 4900 } };

    /// Share of its weight that an endpoint in another failure domain keeps.
    /// Bytes between failure domains are charged.
    double otherDomainShare_ = 0.7;
  };

  EndpointTable(std::string aFailureDomain, Limits aLimits);

  RegistrationOutcome Put(const EndpointRecord& aRecord, base::Instant aNow);

  /// @return whether a registration says nothing that isn't known here: an
  ///         endpoint writes it anew at each of its heartbeats.
  [[nodiscard]] bool IsKnownAs(const EndpointRecord& aRecord) const;

  /// The registration of an endpoint can't be read: nothing new is sent there
  /// until one that can be read follows. What runs there goes on.
  void Withhold(std::string_view aId);

  /// The registration of an endpoint vanished.
  /// @param aStoreRecoveredAt When the store last came back after an outage.
  void Remove(std::string_view aId,
              std::optional<base::Instant> aStoreRecoveredAt,
              base::Instant aNow);

  /// Drops endpoints whose grace has passed.
  /// @return the ids that were dropped.
  std::vector<std::string> Expire(base::Instant aNow);

  /// Chooses an endpoint for a run.
  /// @return nothing where none may take it now.
  [[nodiscard]] std::optional<EndpointChoice> Choose(
    const ChoiceRequest& aRequest,
    base::Instant aNow,
    std::mt19937_64& aRandom) const;

  void CountStart(const EndpointIncarnation& aEndpoint, WorkClass aWork);
  void CountEnd(const EndpointIncarnation& aEndpoint, WorkClass aWork);

  /// A connection failed or a run broke there.
  void RecordFailure(const EndpointIncarnation& aEndpoint, base::Instant aNow);
  void RecordSuccess(const EndpointIncarnation& aEndpoint);

  /// Bytes of a run came from the endpoint.
  /// @param aRunStartedAt When the run began.
  void RecordActivity(const EndpointIncarnation& aEndpoint,
                      base::Instant aRunStartedAt,
                      base::Instant aNow);

  /// Another process answered at the endpoint's address. Its registration may
  /// be in the store for seconds yet, and a late heartbeat may bring it back,
  /// with no runs and so attractive to every host: only a later start of it is
  /// used again.
  void RecordReplaced(const EndpointIncarnation& aEndpoint, base::Instant aNow);

  /// @return whether the endpoint's process is known to have lived on after a
  /// moment: a run that had begun before was heard since, or it is registered
  /// without a new start when the registration of an ended process would have
  /// lapsed. A run that began later may be one of the endpoint's next start.
  [[nodiscard]] bool HasSurvived(const std::string& aId,
                                 base::Instant aMoment,
                                 base::Instant aNow) const;

  /// Takes over what a peer says of its runs; what it doesn't name is zero.
  void SetPeerCounts(const std::string& aPeer,
                     std::span<const PeerCount> aCounts,
                     base::Instant aNow);

  /// Takes over what a peer says has changed; what it doesn't name stays.
  void UpdatePeerCounts(const std::string& aPeer,
                        std::span<const PeerCount> aCounts,
                        base::Instant aNow);

  /// @return own runs and failures at each endpoint that has any, for peers.
  [[nodiscard]] std::vector<PeerCount> OwnCounts(base::Instant aNow) const;

  /// An own batch run gave way: none is started there for a while, since the
  /// burst that took its place goes on.
  void RecordPreemption(const std::string& aId, base::Instant aNow);

  /// A peer was asked to let a batch run give way: counts it as gone until the
  /// peer's next message, so that the next request asks elsewhere.
  void AssumePreemption(const std::string& aId, const std::string& aPeer);

  /// @return how many own batch runs at an endpoint are to give way now. Where
  /// several hosts have batch there, each takes its part.
  [[nodiscard]] std::uint32_t BatchToPreempt(const std::string& aId,
                                             base::Instant aNow,
                                             double aRandom) const;

  /// @return whether an endpoint may take new work.
  [[nodiscard]] bool IsUsable(const std::string& aId) const;

  [[nodiscard]] bool IsEmpty() const { return endpoints_.empty(); }

private:
  struct Endpoint;
  struct PeerEntry
  {
    InFlightCounts counts_;
    bool hasFailed_ = false;
    base::Instant at_;
  };
  struct Best
  {
    const Endpoint* endpoint_ = nullptr;
    double score_ = 0.0; ///< The lowest is taken.
    InFlightCounts counts_;
  };
  struct Endpoint
  {
    EndpointRecord record_;
    InFlightCounts own_;
    std::unordered_map<std::string, PeerEntry> peers_;
    std::uint32_t failures_ = 0;
    base::Instant avoidedUntil_;
    std::optional<base::Instant> vanishedUntil_;
    base::Instant knownSince_; ///< This start of it.
    base::Instant heardAt_;
    base::Instant heardRunStartedAt_; ///< Of the run that was heard last.
    base::Instant noBatchUntil_;
    bool isWithheld_ = false; ///< Its registration can't be read.
  };
  struct Replaced
  {
    std::int64_t startedAtMs_ = 0;
    base::Instant at_;
  };

  /// @return nullptr where that start of the endpoint isn't known, or isn't the
  ///         last one any more.
  [[nodiscard]] Endpoint* Find(const EndpointIncarnation& aEndpoint);

  [[nodiscard]] InFlightCounts CountsOf(const Endpoint& aEndpoint,
                                        base::Instant aNow) const;
  [[nodiscard]] bool IsAvoided(const Endpoint& aEndpoint,
                               base::Instant aNow) const;
  [[nodiscard]] bool MayTake(const Endpoint& aEndpoint,
                             const ChoiceRequest& aRequest,
                             const InFlightCounts& aCounts,
                             base::Instant aNow) const;
  [[nodiscard]] double WeightOf(const Endpoint& aEndpoint,
                                const InFlightCounts& aCounts,
                                base::Instant aNow) const;
  /// @return how well a batch run there can make room for online work: not at
  ///         all where online work alone fills the places and waits, since the
  ///         engine would serve that first.
  [[nodiscard]] static double PreemptionWeight(const Endpoint& aEndpoint,
                                               const InFlightCounts& aCounts);
  static void Consider(Best& aBest,
                       const Endpoint& aEndpoint,
                       const InFlightCounts& aCounts,
                       double aScore);
  static std::string PeerWithMostBatch(const Endpoint& aEndpoint);

  std::string failureDomain_;
  Limits limits_;
  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, Replaced> replaced_; ///< By id.
  /// The endpoints at which a peer said to have runs, or to have failed: what
  /// it says next replaces these, and no other endpoint need be looked at.
  std::unordered_map<std::string, std::unordered_set<std::string>>
    endpointsOfPeers_;
};

} // namespace pumiceturn::fleet
