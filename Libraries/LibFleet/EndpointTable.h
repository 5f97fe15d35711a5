#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibFleet/EndpointPace.h"
#include "LibFleet/FairShare.h"
#include "LibFleet/OutlierDetector.h"
#include "LibFleet/ServiceVersions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::fleet {

/// Class of the work an attempt does. Online work preempts batch.
enum class WorkClass : std::uint8_t
{
  Online,
  Batch,
};

/// Attempts in flight at one endpoint, by class.
struct InFlightCounts
{
  std::uint32_t online_ = 0;
  std::uint32_t batch_ = 0;

  [[nodiscard]] std::uint32_t Total() const { return online_ + batch_; }
  bool operator==(const InFlightCounts&) const = default;
};

/// In-flight counts of one host for one endpoint, and whether it avoids it.
struct EndpointCounts
{
  std::string endpoint_;
  InFlightCounts counts_;
  bool isAvoided_ = false; ///< The host avoids the endpoint after failures.
  /// Unix time of the process's start; 0: unknown.
  std::int64_t startedAtMs_ = 0;

  bool operator==(const EndpointCounts&) const = default;
};

/// How many of a service's endpoints send to this host what is due. Endpoints
/// that owe it nothing aren't counted.
struct ServiceActivity
{
  std::uint32_t silent_ = 0;
  std::uint32_t active_ = 0;
};

/// A chosen endpoint, with the figures behind the choice for the log.
struct EndpointChoice
{
  EndpointRecord endpoint_;
  /// Attempts known at the endpoint before this one.
  std::uint32_t inFlight_ = 0;
  std::uint32_t candidates_ = 0;
  /// All slots are taken, and a batch attempt there must be preempted.
  bool preemptsBatch_ = false;
  /// The endpoint isn't avoided, and a slot is free or is freed by preemption.
  bool hasSlot_ = false;
  /// Speed of the endpoint now, relative to its service's usual one.
  double speed_ = 1.0;
  /// When the endpoint's registration was last read.
  base::Instant registrationReadAt_{};
  /// Peer whose batch attempt is preempted; empty: this host.
  std::string preemptedPeer_;
};

/// Whether a service's endpoints can take a batch attempt now.
enum class BatchCapacity : std::uint8_t
{
  NoEndpoint, ///< It has none that may receive new batch work.
  Full,
  FreeSlot,
};

/// How a registration relates to what is known of the endpoint.
enum class RegistrationOutcome : std::uint8_t
{
  New,   ///< The endpoint was not known.
  Known, ///< The same process as before.
  /// A new process under the same id: it started later, has another software
  /// version, or named itself in RecordOtherProcess().
  Restarted,
  /// Of an earlier process than the known one, or of one whose address another
  /// process uses now. Ignored.
  Outdated,
};

/// What must be known of an endpoint to choose.
enum class Evidence : std::uint8_t
{
  None,
  NotSilent, ///< No attempt of this host met silence.
  Sending,   ///< Besides, if it has attempts of this host, it sent lately.
};

/// On what it rests that a connection leads to the registered process.
enum class ProcessEvidence : std::uint8_t
{
  None,       ///< It isn't known to.
  Told,       ///< The process named itself after the connection was opened.
  ToldBefore, ///< It did so shortly before the connection was opened.
  Untold,     ///< The endpoint answered, but names no start.
  NoStart,    ///< Neither registration nor endpoint has named a start.
  WordIgnored ///< The endpoint contradicts a registration that stays.
};

/// Requirements on an endpoint to choose.
struct ChoiceRequest
{
  std::string_view service_;
  WorkClass work_ = WorkClass::Online;
  std::span<const std::string> excluded_; ///< Ids of endpoints already tried.
  /// Whether the request may be sent to another endpoint after a failure.
  bool isRetryable_ = true;
  /// Software version that the endpoint must have, for the rest of a stream.
  /// Without a ready endpoint of it, one that has just begun to drain is used.
  std::optional<std::string_view> softwareVersion_ = std::nullopt;
  /// Software versions that the endpoint may have; nullptr: any.
  const ServiceVersions::Versions* allowedVersions_ = nullptr;
  /// The response depends on the software version, so the endpoint's process
  /// must be the registered one. Batch always needs that.
  bool needsProcess_ = false;
  Evidence evidence_ = Evidence::None;
  /// Requests with the same key go to the same endpoint of the whole fleet, as
  /// far as one has a free slot, without a message between their hosts.
  std::optional<std::uint64_t> commonEndpointKey_ = std::nullopt;
};

/// The endpoints of all services, and the attempts that this host and its peers
/// have in flight at each.
///
/// Endpoints serve attempts in order of arrival and have no priorities, so
/// batch is held back here: a batch attempt starts only where slots are free
/// beyond a headroom, and is cancelled (and resumed elsewhere) when online work
/// needs its slot.
///
/// All state of an endpoint belongs to one of its processes
/// (EndpointIncarnation). Updates that refer to an earlier process are ignored,
/// in whatever order they arrive. Used on the event thread only.
class EndpointTable
{
public:
  struct Limits
  {
    /// Slots that batch leaves free at each endpoint for online requests that
    /// arrive before the next update of the counts. Batch still gets one slot
    /// of an idle endpoint.
    std::uint32_t batchHeadroom_ = 1;

    /// Age after which a peer's counts are ignored. A peer that sent nothing
    /// for ten full updates (one each 100 ms) has stopped or is cut off.
    base::Duration peerCountLifetime_{ std::chrono::milliseconds{ 1000 } };

    /// How long an endpoint is avoided after a failed connection or a broken
    /// attempt. Doubles with each failure, up to maxAvoidance_.
    base::Duration firstAvoidance_{ std::chrono::milliseconds{ 400 } };
    base::Duration maxAvoidance_{ std::chrono::milliseconds{ 3200 } };

    /// Time without new batch attempts at an endpoint after a preemption there,
    /// renewed by each preemption. Avoids starting batch in slots that a burst
    /// of online requests is about to take: cancelling an attempt wastes the
    /// processing of its whole prompt. Online bursts last seconds.
    base::Duration pauseAfterPreemption_{ std::chrono::milliseconds{ 300 } };

    /// How long the load that an endpoint of another cell reported is used.
    base::Duration loadLifetime_{ std::chrono::milliseconds{ 1000 } };

    /// Number of peers that must report failures of an endpoint for this host
    /// to avoid it. A single peer may itself be cut off from a working
    /// endpoint.
    std::uint32_t minPeersReportingFailure_ = 2;

    /// How long an endpoint stays in use after the store's recovery if its
    /// registration lapsed in the outage. Covers one heartbeat (1.2 s),
    /// with which a running endpoint registers again, and the time until this
    /// host reads the change.
    base::Duration removalGrace_{ std::chrono::milliseconds{ 1900 } };

    /// Time within which the registration of an ended process lapses or is
    /// replaced: three heartbeats of 1.2 s, and up to 1.2 s until this
    /// host reads the change.
    base::Duration registrationTimeout_{ std::chrono::milliseconds{ 4900 } };

    /// Time after a registration was first seen to drain for which the endpoint
    /// still gets the rest of streams. Shorter than the time for which it must
    /// accept requests, as this host may learn late that it drains.
    base::Duration drainingUse_{ std::chrono::milliseconds{ 800 } };

    /// How long an endpoint whose process isn't the registered one isn't chosen
    /// where that matters. Its next registration ends that.
    base::Duration otherProcessRetention_{ std::chrono::milliseconds{ 1000 } };

    /// How long an endpoint may name another start than its registration before
    /// its word isn't used. Well above the time for which the registration of
    /// an ended process lasts. Time in which the registrations are old doesn't
    /// count.
    base::Duration contradictionTimeout_{ std::chrono::seconds{ 15 } };

    /// How long the word of such an endpoint isn't asked for again.
    base::Duration contradictionRetention_{ std::chrono::seconds{ 10 } };

    /// Time without a byte after which an endpoint with streams that send
    /// events counts as silent. Events follow each other within milliseconds.
    base::Duration silenceThreshold_{ std::chrono::milliseconds{ 300 } };

    /// Silence after which an endpoint counts as failed even if most are
    /// silent. Sound endpoints may be silent for about a second.
    base::Duration maxCommonSilence_{ std::chrono::milliseconds{ 2000 } };

    /// Factor on the weight of an endpoint in another failure domain, since
    /// traffic between domains is charged.
    double otherDomainWeight_ = 0.7;
  };

  EndpointTable(std::string aFailureDomain, Limits aLimits);

  /// Adds an endpoint or updates it from its registration.
  RegistrationOutcome Put(const EndpointRecord& aRecord, base::Instant aNow);

  /// @return whether a registration equals the known one. Endpoints write
  ///         theirs again with each heartbeat.
  [[nodiscard]] bool IsUnchanged(const EndpointRecord& aRecord) const;

  /// Marks an endpoint whose registration can't be read. No new attempts are
  /// sent to it until Put() is called with a readable one; attempts in flight
  /// continue.
  void MarkUnreadable(std::string_view aId);

  /// Sets how endpoints are divided between cells of hosts, which know of each
  /// other's attempts. Online work prefers endpoints of this host's cell, and
  /// batch is restricted to them, unless its service has none there.
  /// @param aOwnCell This host's cell; empty if it knows of all attempts.
  void SetCells(std::size_t aCells, std::optional<std::size_t> aOwnCell);

  /// @return the cell of an endpoint; empty if it isn't known.
  [[nodiscard]] std::optional<std::size_t> CellOf(const std::string& aId);

  /// Handles the removal of an endpoint's registration.
  /// @param aStoreRecoveredAt When the store last recovered from an outage;
  ///        empty if it had none.
  void Remove(std::string_view aId,
              std::optional<base::Instant> aStoreRecoveredAt,
              base::Instant aNow);

  /// Drops endpoints whose removal is due.
  /// @return the ids of the dropped endpoints.
  std::vector<std::string> Expire(base::Instant aNow);

  /// Chooses an endpoint for an attempt.
  /// @return the choice; empty if no endpoint may take the attempt now.
  [[nodiscard]] std::optional<EndpointChoice> Choose(
    const ChoiceRequest& aRequest,
    base::Instant aNow,
    std::mt19937_64& aRandom);

  void CountStart(const EndpointIncarnation& aEndpoint, WorkClass aWork);
  void CountEnd(const EndpointIncarnation& aEndpoint, WorkClass aWork);

  /// Records a failed connection or a broken attempt.
  void RecordFailure(const EndpointIncarnation& aEndpoint, base::Instant aNow);
  void RecordSuccess(const EndpointIncarnation& aEndpoint);

  /// Records that bytes of an attempt arrived from the endpoint.
  /// @param aAttemptStartedAt When the attempt began.
  void RecordActivity(const EndpointIncarnation& aEndpoint,
                      base::Instant aAttemptStartedAt,
                      base::Instant aNow);

  /// Records that a stream of this host sends its events from now on, so that
  /// the next one is due.
  void CountStreaming(const EndpointIncarnation& aEndpoint, base::Instant aNow);

  /// Records that a stream counted by CountStreaming() has ended, or that this
  /// host has paused reading it.
  void CountNotStreaming(const EndpointIncarnation& aEndpoint);

  /// Records the load that an endpoint reported. It is used for endpoints of
  /// other cells, whose attempts this host doesn't know, and its slowness for
  /// EndpointPace.
  void RecordLoad(const EndpointIncarnation& aEndpoint,
                  const EndpointLoad& aLoad,
                  base::Instant aNow);

  /// Records the time between two events of a stream for EndpointPace.
  void RecordEventInterval(const EndpointIncarnation& aEndpoint,
                           base::Duration aInterval,
                           base::Instant aNow);

  /// Records that another process answered at the endpoint's address.
  ///
  /// The registration may stay in the store for seconds, and a late heartbeat
  /// may restore it. The endpoint would appear idle, and all hosts would choose
  /// it. The id is accepted again only from a process with a later start time.
  void RecordReplaced(const EndpointIncarnation& aEndpoint, base::Instant aNow);

  /// Records that an endpoint said that its process is the registered one.
  /// @param aAskedAt When it was asked.
  void RecordProcess(const EndpointIncarnation& aEndpoint,
                     base::Instant aAskedAt);

  /// Records which start an endpoint tells whose registration has none. Its
  /// process counts as the registered one from then on.
  /// @param aStartedAtMs When its process started, as Unix time.
  /// @param aAskedAt When it was asked.
  void RecordToldStart(const EndpointIncarnation& aEndpoint,
                       std::int64_t aStartedAtMs,
                       base::Instant aAskedAt);

  /// @return the start of an endpoint's registered process, as Unix time in
  ///         milliseconds: from its registration, or as the endpoint told it;
  ///         0 if neither has one.
  [[nodiscard]] std::int64_t StartOf(
    const EndpointIncarnation& aEndpoint) const;

  /// Records that an endpoint said that its process isn't the registered one.
  /// A registration of the process that it named is accepted then, even if
  /// that started earlier by its clock. If the registration stays for
  /// longer than that of an ended process lasts, the endpoint's word isn't
  /// used; if the registration has no start, it is then of that process.
  /// @param aStartedAtMs When its process started, as Unix time.
  /// @return whether the endpoint's word isn't used from now on.
  bool RecordOtherProcess(const EndpointIncarnation& aEndpoint,
                          std::int64_t aStartedAtMs,
                          base::Instant aNow);

  /// Sets how long ago the registrations were known to be those in the store,
  /// at least several times in registrationTimeout_. While they are older than
  /// that, a registration that stays says nothing: no process can write another
  /// one.
  void SetRegistrationAge(base::Duration aAge, base::Instant aNow);

  /// Records that an endpoint answered without saying which process it is. Its
  /// next process may say so.
  /// @param aAskedAt When it was asked.
  void RecordProcessUntold(const EndpointIncarnation& aEndpoint,
                           base::Instant aAskedAt);

  /// @return whether a connection leads to the registered process, as far as
  ///         that can be known. One that is older than the process's last word
  ///         does: it would have ended with an earlier process.
  /// @param aConnectedAt When the connection was established.
  [[nodiscard]] bool LeadsToProcess(const EndpointIncarnation& aEndpoint,
                                    base::Instant aConnectedAt,
                                    base::Instant aNow) const
  {
    return ProcessEvidenceOf(aEndpoint, aConnectedAt, aNow) !=
           ProcessEvidence::None;
  }

  /// @return on what the result of LeadsToProcess() rests.
  [[nodiscard]] ProcessEvidence ProcessEvidenceOf(
    const EndpointIncarnation& aEndpoint,
    base::Instant aConnectedAt,
    base::Instant aNow) const;

  /// @return whether the endpoint's process is known to have been running after
  ///         aMoment: bytes of an attempt that began before aMoment arrived
  ///         after it, or the same process is still registered more than
  ///         registrationTimeout_ later. An attempt that began after aMoment
  ///         may belong to the endpoint's next process.
  [[nodiscard]] bool HasSurvived(const std::string& aId,
                                 base::Instant aMoment,
                                 base::Instant aNow) const;

  /// Replaces the counts of a peer; endpoints that aren't listed have none.
  void SetPeerCounts(const std::string& aPeer,
                     std::span<const EndpointCounts> aCounts,
                     base::Instant aNow);

  /// Updates the counts of a peer that are listed; the others stay.
  void UpdatePeerCounts(const std::string& aPeer,
                        std::span<const EndpointCounts> aCounts,
                        base::Instant aNow);

  /// @return this host's attempts and failures at each endpoint that has any,
  ///         to send to the peers.
  [[nodiscard]] std::vector<EndpointCounts> OwnCounts(base::Instant aNow) const;

  /// Records that a batch attempt of this host was preempted. None is started
  /// there for pauseAfterPreemption_, as the burst that took its slot is likely
  /// to go on.
  void RecordPreemption(const std::string& aId, base::Instant aNow);

  /// Records that a peer was asked to preempt a batch attempt. Counts it as
  /// ended until the peer's next update, so that the next request doesn't count
  /// on the same batch attempt.
  void AssumePreemption(const std::string& aId, const std::string& aPeer);

  /// @param aRandom Uniform in [0, 1); rounds the share.
  /// @return the number of this host's batch attempts to preempt at an endpoint
  ///         now. If several hosts have batch there, each preempts its share.
  [[nodiscard]] std::uint32_t BatchToPreempt(const std::string& aId,
                                             base::Instant aNow,
                                             double aRandom) const;

  /// @return whether an endpoint may receive new work.
  [[nodiscard]] bool IsUsable(const std::string& aId) const;

  /// @return whether an endpoint of a service and software version may receive
  ///         new work.
  [[nodiscard]] bool HasUsable(std::string_view aService,
                               std::string_view aSoftwareVersion) const;

  /// @return whether Choose() finds an endpoint for a batch attempt that may go
  ///         to any of the service.
  [[nodiscard]] BatchCapacity BatchCapacityOf(const std::string& aService,
                                              base::Instant aNow);

  /// Calls a function with each registration.
  void ForEachRecord(
    const std::function<void(const EndpointRecord&)>& aVisit) const;

  [[nodiscard]] bool IsEmpty() const { return endpoints_.empty(); }

  /// @return the online requests in flight at the usable endpoints of a
  ///         service, and their slots.
  ///         Up to kLoadLifetime old.
  [[nodiscard]] ServiceLoad LoadOf(const std::string& aService,
                                   base::Instant aNow);

  /// Records that no byte of an attempt arrived within its timeout, as a
  /// failure unless most endpoints of the service are silent: that has one
  /// cause rather than being the loss of each, and none of them is better than
  /// another.
  /// @param aSilence How long nothing arrived.
  /// @return whether it counts as a failure.
  bool RecordSilence(const EndpointIncarnation& aEndpoint,
                     base::Duration aSilence,
                     base::Instant aNow);

  /// @return whether another process is known to run in place of an endpoint's:
  ///         under its id, or at its address.
  [[nodiscard]] bool IsReplaced(const EndpointRecord& aEndpoint) const;

  /// @return whether an endpoint may be sent a request for the rest of a stream
  ///         that it began: not if it has left, or has drained for a while.
  [[nodiscard]] bool MayGetRests(const EndpointIncarnation& aEndpoint,
                                 base::Instant aNow) const;

  /// @return whether an endpoint leaves or has left, by its registration.
  [[nodiscard]] bool IsLeaving(const EndpointIncarnation& aEndpoint) const;

  /// @return the start of the later process that is registered under an
  ///         endpoint's id, as Unix time in milliseconds; empty if none is.
  [[nodiscard]] std::optional<std::int64_t> LaterProcessOf(
    const EndpointIncarnation& aEndpoint) const;

  /// @return how many endpoints of a service are silent, and how many send
  ///         events of this host's attempts.
  [[nodiscard]] ServiceActivity ActivityOf(std::string_view aService,
                                           base::Instant aNow) const;

  [[nodiscard]] OutlierDetector& Outliers() { return outliers_; }
  [[nodiscard]] EndpointPace& Paces() { return paces_; }

  /// Passes on what a peer reported, but for endpoints that aren't registered.
  void SetPeerOutcomes(const std::string& aPeer,
                       std::span<const EndpointOutcomes> aOutcomes,
                       base::Instant aNow);

  /// Evaluates which endpoints fail more often than the others.
  /// @return the changes, for the log.
  std::vector<VerdictChange> UpdateVerdicts(base::Instant aNow);

private:
  struct Endpoint;
  struct PeerEntry
  {
    InFlightCounts counts_;
    bool isAvoided_ = false;
    base::Instant recordedAt_;
  };
  struct Best
  {
    const Endpoint* endpoint_ = nullptr;
    double score_ = 0.0; ///< The lowest score wins.
    InFlightCounts counts_;
  };
  struct Endpoint
  {
    EndpointRecord record_;
    InFlightCounts own_;
    std::unordered_map<std::string, PeerEntry> peers_;
    std::uint32_t failures_ = 0;
    base::Instant avoidedUntil_;
    std::optional<base::Instant> removalDueAt_;
    /// When it began to drain; empty if that isn't known.
    std::optional<base::Instant> drainingSince_;
    base::Instant registeredAt_; ///< When the current process became known.
    base::Instant registrationReadAt_; ///< When its registration was last read.
    /// When the process that said last that it is the registered one was asked.
    std::optional<base::Instant> processAskedAt_;
    std::optional<base::Instant> otherProcessAt_; ///< Said not to be it.
    std::int64_t otherStartedAtMs_ = 0;           ///< Of that process.
    /// As its process told, if the registration has none; 0: not told.
    std::int64_t toldStartedAtMs_ = 0;
    /// When it first said so, without saying otherwise since.
    std::optional<base::Instant> contradictedSince_;
    /// When its word was last found to contradict a lasting registration.
    std::optional<base::Instant> wordIgnoredAt_;
    /// When the process that answered last without a start was asked.
    std::optional<base::Instant> untoldAskedAt_;
    base::Instant lastActivityAt_;
    std::uint32_t streaming_ = 0; ///< This host's streams that send events.
    base::Instant streamingSince_;
    /// Of the last byte, if an attempt has timed out since.
    std::optional<base::Instant> silentSince_;
    /// Start of the attempt that was last active.
    base::Instant activeAttemptStartedAt_;
    base::Instant batchPausedUntil_;
    std::size_t cell_ = 0;
    EndpointLoad load_; ///< As last reported by the endpoint.
    std::optional<base::Instant> loadRecordedAt_;
    bool isUnreadable_ = false; ///< The registration can't be read.
  };
  struct Replaced
  {
    std::int64_t startedAtMs_ = 0;
    base::Instant recordedAt_;
  };

  struct CachedLoad
  {
    ServiceLoad load_;
    base::Instant computedAt_;
  };

  /// The best endpoints for an attempt among those considered so far.
  struct Ranking
  {
    Best best_;
    Best bestToPreempt_; ///< Among those with batch to preempt.
    std::uint32_t candidates_ = 0;
  };

  /// @return whether a registration is of a later process than the known one.
  [[nodiscard]] static bool IsOfLaterProcess(const EndpointRecord& aRecord,
                                             const Endpoint& aKnown);
  /// @return the endpoint, or nullptr unless the given process is its
  ///         current one.
  [[nodiscard]] Endpoint* Find(const EndpointIncarnation& aEndpoint);
  [[nodiscard]] const Endpoint* Find(
    const EndpointIncarnation& aEndpoint) const;

  [[nodiscard]] bool IsSilent(const Endpoint& aEndpoint,
                              base::Instant aNow) const;
  [[nodiscard]] bool HasEvidence(const Endpoint& aEndpoint,
                                 Evidence aEvidence,
                                 base::Instant aNow) const;
  /// @return for how long no byte has arrived that is due; zero if none is.
  [[nodiscard]] static base::Duration SilenceOf(const Endpoint& aEndpoint,
                                                base::Instant aNow);

  [[nodiscard]] InFlightCounts CountsOf(const Endpoint& aEndpoint,
                                        base::Instant aNow) const;
  [[nodiscard]] bool IsAvoided(const Endpoint& aEndpoint,
                               base::Instant aNow) const;
  [[nodiscard]] bool IsEligible(const Endpoint& aEndpoint,
                                const ChoiceRequest& aRequest,
                                const InFlightCounts& aCounts,
                                base::Instant aNow) const;
  [[nodiscard]] double WeightOf(const Endpoint& aEndpoint,
                                const ChoiceRequest& aRequest,
                                const InFlightCounts& aCounts,
                                base::Instant aNow) const;
  /// @return the factor on an endpoint's weight for its recent failures.
  [[nodiscard]] double ReliabilityFactor(const Endpoint& aEndpoint,
                                         const ChoiceRequest& aRequest,
                                         const InFlightCounts& aCounts,
                                         base::Instant aNow) const;
  /// @return the speed of an endpoint now, relative to its service.
  [[nodiscard]] double SpeedOf(const Endpoint& aEndpoint,
                               base::Instant aNow) const;
  /// @return the weight for preempting batch at an endpoint. Zero if online
  ///         work alone fills the slots, since the endpoint would serve the
  ///         waiting online requests first.
  [[nodiscard]] static double PreemptionWeight(const Endpoint& aEndpoint,
                                               const InFlightCounts& aCounts);
  /// @return whether a draining endpoint may still get the rest of a stream.
  [[nodiscard]] bool MayContinueStreams(const Endpoint& aEndpoint,
                                        base::Instant aNow) const;

  /// Which endpoints to rank.
  enum class Candidates : std::uint8_t
  {
    OwnCell,
    OtherCells,
    Draining, ///< Those that have just begun to drain, of all cells.
  };
  [[nodiscard]] bool IsCandidate(const Endpoint& aEndpoint,
                                 Candidates aCandidates,
                                 base::Instant aNow) const;

  /// @return which endpoints batch may use: those of other cells only if the
  ///         service has none in this one.
  [[nodiscard]] Candidates BatchCandidates(std::string_view aService,
                                           base::Instant aNow) const;

  /// @return the endpoint for requests with a common key; empty if none has a
  ///         free slot.
  [[nodiscard]] std::optional<EndpointChoice> ChooseCommon(
    const ChoiceRequest& aRequest,
    base::Instant aNow) const;
  /// @return the best endpoints of a kind.
  [[nodiscard]] Ranking Rank(const ChoiceRequest& aRequest,
                             Candidates aCandidates,
                             base::Instant aNow,
                             std::mt19937_64& aRandom) const;
  [[nodiscard]] bool HasFreeSlot(const Best& aBest, base::Instant aNow) const;
  [[nodiscard]] bool IsInOwnCell(const Endpoint& aEndpoint) const;

  /// Assigns the endpoints of each service to the cells.
  void AssignEndpointCells();

  static void Consider(Best& aBest,
                       const Endpoint& aEndpoint,
                       const InFlightCounts& aCounts,
                       double aScore);
  static std::string PeerWithMostBatch(const Endpoint& aEndpoint);

  std::string failureDomain_;
  Limits limits_;
  OutlierDetector outliers_;
  std::unordered_map<std::string, CachedLoad> loads_; ///< By service.
  EndpointPace paces_;
  std::unordered_map<std::string, Endpoint> endpoints_;
  /// When SetRegistrationAge() was last called.
  std::optional<base::Instant> registrationAgeSetAt_;
  /// When the registrations were last too old to say anything by staying.
  std::optional<base::Instant> registrationsOldAt_;
  std::size_t cells_ = 1;
  std::optional<std::size_t> ownCell_;
  bool areCellsOutdated_ = false; ///< Endpoints were added or removed.
  std::unordered_map<std::string, Replaced> replaced_; ///< By id.
  /// Ids of the endpoints for which a peer reported counts. SetPeerCounts()
  /// clears only these.
  std::unordered_map<std::string, std::unordered_set<std::string>>
    endpointsByPeer_;
};

} // namespace pumiceturn::fleet
