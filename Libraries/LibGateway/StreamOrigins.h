#pragma once

#include "LibBase/Lifetime.h"
#include "LibFleet/OriginInquiry.h"
#include "LibFleet/RecordHolders.h"
#include "LibFleet/RouteHistory.h"
#include "LibFleet/ServiceVersions.h"
#include "LibFleet/StreamLifetime.h"
#include "LibFleet/StreamOriginTable.h"
#include "LibFleet/UnconfirmedOrigins.h"
#include "LibGateway/PeerMessenger.h"
#include "LibGateway/ServiceVersionStore.h"
#include "LibGateway/StoreMirrors.h"
#include "LibGateway/StreamOriginCodec.h"
#include "LibGateway/StreamOriginLog.h"
#include "LibGateway/StreamOriginStore.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace pumiceturn::gateway {

/// @return services and their versions, for the log.
[[nodiscard]] std::string
DescribeOrigins(const fleet::OriginSet& aOrigins);

/// Knows at which software version streams began, so that they can be resumed
/// at any host. While a service has one version, each host knows it; from the
/// moment at which it has several, the host that begins a stream sends a record
/// to a few others, which any host finds by the stream's id. See
/// docs/design/versions.md. Used on the event thread only.
class StreamOrigins
{
public:
  /// Prefixes of the keys in the store.
  struct StoreKeys
  {
    std::string versions_;
    std::string records_;
  };

  /// @param aMaxViewAge Time for which the mirror of the endpoints counts as
  ///                    recent.
  StreamOrigins(boost::asio::any_io_executor aExecutor,
                SharedState& aShared,
                PeerMessenger& aPeers,
                const StoreMirrors& aMirrors,
                metadata::StoreClient& aStore,
                const metadata::StoreHealth& aHealth,
                StoreKeys aKeys,
                fleet::RecordHolder aOwnHost,
                base::Duration aMaxViewAge);

  /// Keeps the records that this host holds for others on its disk, too.
  void KeepOnDisk(boost::asio::io_context& aContext,
                  const std::filesystem::path& aFolder);

  /// Records where a stream began, or that it went on.
  /// @param aId Id of the request that brought its first event.
  /// @param aTimeout Of its route.
  void Record(const std::string& aId,
              const fleet::StreamOrigin& aOrigin,
              base::Duration aTimeout);

  /// How a resumed stream goes on, and what was known.
  struct Result
  {
    fleet::OriginDecision decision_;
    std::size_t asked_ = 0; ///< Number of hosts that were asked.
    base::Duration viewAge_{ 0 };
    base::Duration storeReadAge_{ 0 }; ///< Of the versions in the store.
    /// What this host knew of the route's services, for the log.
    std::string origins_{};
    std::string answers_{}; ///< What each asked host said, for the log.
  };
  using ResultHandler = std::function<void(const Result&)>;

  /// Finds out where a stream began.
  /// @param aId      Id of the request that brought its first event; empty if
  ///                 the caller doesn't give it.
  /// @param aHandler Called once, at once or within 750 ms.
  void Find(const std::string& aId,
            const fleet::Route& aRoute,
            ResultHandler aHandler);

  /// @return the software versions of a service at which streams may begin:
  ///         those that the store names, so that any host knows them later;
  ///         nullptr if none is named.
  [[nodiscard]] const fleet::ServiceVersions::Versions* VersionsToBeginAt(
    const std::string& aService) const
  {
    return versionStore_.RecordedVersions(aService);
  }

  /// Records the version of a registered endpoint.
  void OnEndpoint(const fleet::EndpointRecord& aRecord, base::Instant aNow);

  /// Handles the routes that were just installed.
  void OnRoutes(base::Instant aNow);

  void SetHost(fleet::RecordHolder aHost);
  void RemoveHost(const std::string& aHost);

  void Tick(base::Instant aNow);

private:
  struct PendingInquiry
  {
    std::string id_; ///< Empty: asks for the versions only.
    fleet::OriginInquiry inquiry_;
    base::Instant startedAt_;
    std::vector<std::string> services_; ///< Of the stream's route.
    std::set<std::string> answered_{};
    std::set<std::string> missing_{}; ///< Hosts whose answer may still come.
    Result result_{};
    ResultHandler handler_{};
    std::unique_ptr<boost::asio::steady_timer> timer_{};
  };

  [[nodiscard]] fleet::OriginEvidence EvidenceOf(
    const std::string& aId,
    std::span<const std::string> aServices,
    base::Instant aNow) const;
  /// @return whether streams of a service's routes may have begun at several
  ///         versions or services.
  [[nodiscard]] bool NeedsRecords(const std::string& aService) const;
  /// Sends the records of this host's streams of the services that need them
  /// from now on: few other hosts have them, or none.
  void PublishNeeded(base::Instant aNow);
  /// @return the hosts that hold a stream's record, without this one.
  [[nodiscard]] std::vector<std::string> HoldersOf(
    const std::string& aId,
    fleet::HolderCounts aCounts = fleet::kHolders) const;
  void AnswerDelayed();
  /// @return whether queries wait until the records on disk have been read. A
  ///         disk that hangs doesn't hold them up for long.
  [[nodiscard]] bool MustDelayAnswers(base::Instant aNow) const;
  /// Sends a record while its service has one version, within a budget.
  void PublishAhead(const fleet::StreamOriginTable::Row& aRow,
                    base::Instant aNow);
  void Publish(std::span<const fleet::StreamOriginTable::Row> aRows);
  /// Writes the records that no worker confirmed in time to the store.
  void StoreUnconfirmed(base::Instant aNow);
  void ObserveEndpoints(base::Instant aNow);
  /// @return whether this host knows all versions as of now.
  [[nodiscard]] bool IsViewRecent(base::Duration aViewAge,
                                  base::Instant aNow) const;
  /// @return the hosts whose answers may decide on a stream.
  [[nodiscard]] std::set<std::string> HostsToAsk(
    const std::string& aId,
    const fleet::OriginEvidence& aOwn) const;
  void Ask(std::set<std::string> aHosts, PendingInquiry aPending);
  void SendQuery(std::uint64_t aQuery, const PendingInquiry& aPending);
  /// Asks the holders that haven't answered again: after a start, this host may
  /// not have known them, or they may not have run.
  void AskAgain(std::uint64_t aQuery, PendingInquiry& aPending);
  void ArmTimer(std::uint64_t aQuery, base::Duration aTimeout);
  /// Asks again, or ends the wait for answers or the whole inquiry.
  void OnTimeout(std::uint64_t aQuery);
  /// Ends an inquiry that can be decided, and else asks the store if it needs
  /// that.
  void Advance(std::uint64_t aQuery);
  /// @return what the store names for the services of an inquiry and for those
  ///         that share routes with them; empty if it names no version for one
  ///         of the inquiry's.
  [[nodiscard]] std::optional<fleet::OriginSet> RecordedOriginsOf(
    const PendingInquiry& aPending) const;
  /// Adds the versions that the store names to the inquiries that began before
  /// the read.
  void OnStoreRead(base::Instant aSentAt);
  /// Adds the records that the store has to the inquiries that began before the
  /// read.
  void OnStoredRecords(base::Instant aSentAt,
                       std::span<const StoredOrigin> aRows);
  /// Advances the inquiries that began before a read of the store.
  /// @param aAdd Adds what was read to one; returns whether that may decide it.
  void AdvanceAfterRead(base::Instant aSentAt,
                        const std::function<bool(PendingInquiry&)>& aAdd);
  void End(std::uint64_t aQuery, const fleet::OriginDecision& aDecision);
  void HandleMessage(const std::string& aPeer, const nlohmann::json& aContent);
  /// Adds records that outlived the processes which made them.
  void AddStored(std::span<const StoredOrigin> aRows);
  /// Adds the records of the former process, and answers the queries that came
  /// meanwhile.
  void OnRecordsRead(std::span<const StoredOrigin> aRows);
  void Handle(const std::string& aPeer, const OriginRows& aMessage);
  void Handle(const std::string& aPeer, const OriginConfirmation& aMessage);
  void Handle(const std::string& aPeer, const OriginQuery& aMessage);
  void Handle(const std::string& aPeer, const OriginAnswer& aMessage);
  void Send(const std::string& aPeer, const OriginMessage& aMessage);

  boost::asio::any_io_executor executor_;
  SharedState& shared_;
  PeerMessenger& peers_;
  const StoreMirrors& mirrors_;
  const metadata::StoreHealth& health_;
  std::string ownHost_;
  base::Duration maxViewAge_;
  fleet::ServiceVersions versions_;
  fleet::RouteHistory routeHistory_{ versions_ };
  fleet::StreamLifetime streamLifetime_;
  ServiceVersionStore versionStore_;
  fleet::StreamOriginTable table_;
  fleet::UnconfirmedOrigins unconfirmed_;
  StreamOriginStore recordStore_;
  std::optional<StreamOriginLog> log_; ///< Only at hosts with a disk.
  /// Queries that came before the records on disk were read.
  std::vector<std::pair<std::string, OriginQuery>> delayedQueries_;
  std::vector<fleet::RecordHolder> hosts_;
  std::unordered_map<std::uint64_t, PendingInquiry> pending_; ///< By query.
  /// Begins at a random number: an answer to a query of this host's former
  /// process belongs to none of this one.
  std::uint64_t nextQuery_;
  base::Instant startedAt_ = base::MonotonicNow();
  std::set<std::string> needRecords_; ///< Services, as last published.
  base::Instant observedAt_{};
  double aheadBudget_ = 0.0; ///< Datagrams that may be sent ahead now.
  base::Instant aheadBudgetAt_{};
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
