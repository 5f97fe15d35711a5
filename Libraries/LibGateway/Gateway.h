#pragma once

#include "LibBase/RestartableTimer.h"
#include "LibGateway/AccessControl.h"
#include "LibGateway/BatchJobHandler.h"
#include "LibGateway/BatchJobRetention.h"
#include "LibGateway/BatchJobSpool.h"
#include "LibGateway/BatchSubmissionHandler.h"
#include "LibGateway/BatchWorker.h"
#include "LibGateway/CrashVerdictStore.h"
#include "LibGateway/OnlineProxy.h"
#include "LibGateway/OutputBudget.h"
#include "LibGateway/PeerClients.h"
#include "LibGateway/PeerMessenger.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StartInquiry.h"
#include "LibGateway/StoreMirrors.h"
#include "LibGateway/StoreTransport.h"
#include "LibGateway/StreamOrigins.h"
#include "LibHttpStream/Listener.h"
#include "LibMetadata/CountingStoreClient.h"
#include "LibMetadata/HostLease.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::gateway {

/// Configuration of one gateway process.
struct GatewaySettings
{
  std::string host_;
  std::string incarnation_; ///< Unique to each start of the process.
  std::string failureDomain_;
  batch::BatchPreference batchPreference_ = batch::BatchPreference::Worker;
  std::string callerAddress_;  ///< IP:PORT for callers; empty: none.
  std::string statusAddress_;  ///< IP:PORT for readiness; empty: none.
  std::string metricsAddress_; ///< IP:PORT; empty: none.
  std::string peerAddress_;    ///< IP:PORT for datagrams of peers.
  std::string forwardAddress_; ///< IP:PORT for calls that peers forward.
  /// Time between the request to stop and the kill.
  base::Duration gracePeriod_{ std::chrono::seconds{ 8 } };
  /// Share by which a route's cap on queued tokens may be exceeded.
  double capOverage_ = 0.0;
  /// How far organisations' rate limits may be exceeded.
  fleet::RateTolerance rateTolerance_;
  /// Maximum time for which requests with a revoked key may run; std::nullopt
  /// if revocation is unbounded.
  std::optional<base::Duration> revocationBound_;
  /// Maximum time from when the store accepts a configuration until it is in
  /// effect at every host.
  base::Duration configurationBound_{ std::chrono::seconds{ 2 } };
  /// Maximum time for which an endpoint that started to drain still gets new
  /// requests.
  base::Duration drainBound_{ std::chrono::seconds{ 2 } };
  /// How long a closed job can be read, counted from its acceptance.
  base::Duration jobRetention_{ std::chrono::seconds{ 150 } };
  /// Folder of the spool, which holds jobs that the store doesn't have yet;
  /// empty: no spool.
  std::string spoolFolder_;
  /// Number of hosts that must hold a spooled job; one more than the number of
  /// hosts that may be lost at once.
  std::size_t jobCopies_ = 2;
  /// Maximum number of response bytes to hold for callers that read slowly.
  std::size_t maxUnsentBytes_ = OutputBudget::kDefaultBytes;
  /// Whether endpoints that fail more often than others are found and avoided.
  bool detectsOutliers_ = false;
  /// Maximum time until a job's state that one host has returned is visible at
  /// all hosts.
  base::Duration jobStateBound_{ std::chrono::seconds{ 1 } };

  /// @return whether the deployment has organisations: it then bounds the
  ///         revocation of their keys.
  [[nodiscard]] bool DeclaresOrganisations() const
  {
    return revocationBound_.has_value();
  }

  /// @return whether this host is preferred for running batch jobs.
  [[nodiscard]] bool IsWorker() const
  {
    return batchPreference_ == batch::BatchPreference::Worker;
  }
};

/// Key prefixes of the store that a gateway mirrors.
struct StoreLayout
{
  std::string operatorPrefix_;
  std::string endpointPrefix_;
  batch::BatchJobKeySpace jobs_;
  std::string hostPrefix_;
  std::string versionPrefix_; ///< Software versions of the services.
  std::string refusedPrefix_; ///< Features of requests that are refused.
  std::string streamPrefix_;  ///< Records of where streams began.
};

/// Parses the entries of operators and endpoints in the store. Implemented in
/// platform/.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  /// @return the configuration, or std::nullopt if it can't be parsed.
  [[nodiscard]] virtual std::optional<fleet::Declarations> ReadDeclarations(
    const metadata::StoreItem& aItem) const = 0;

  /// @return whether the key holds the operators' configuration.
  [[nodiscard]] virtual bool IsDeclarations(std::string_view aKey) const = 0;

  /// @return an endpoint's registration, or std::nullopt if it can't be parsed.
  [[nodiscard]] virtual std::optional<fleet::EndpointRecord> ReadEndpoint(
    const metadata::StoreItem& aItem) const = 0;

  /// @return the host to retire, or std::nullopt if the item is something else.
  [[nodiscard]] virtual std::optional<std::string> ReadRetirement(
    const metadata::StoreItem& aItem) const = 0;

  /// @return the transaction that reports the end of a host's retirement.
  [[nodiscard]] virtual metadata::Transaction MakeRetirementDone(
    const std::string& aHost) const = 0;

  /// @return whether a request is a readiness probe.
  [[nodiscard]] virtual bool IsReadinessProbe(
    const httpstream::Request& aRequest) const = 0;
};

/// Forwards requests from callers to endpoints over HTTP, follows the store and
/// runs batch jobs. Single-threaded; see docs/design/platform.md.
class Gateway
{
public:
  Gateway(boost::asio::io_context& aContext,
          GatewaySettings aSettings,
          StoreLayout aLayout,
          const Codec& aCodec,
          const StoreCodec& aStoreCodec,
          metadata::StoreClient& aStore,
          StoreTransport& aStoreTransport);

  /// Opens the listeners and starts to follow the store.
  /// @return false if an address can't be opened.
  [[nodiscard]] bool Start();

  /// Stops gracefully: makes readiness probes fail, hands jobs over and lets
  /// open requests finish.
  /// @param aStopped Called once all is done or the grace period is over.
  void Stop(std::function<void()> aStopped);

private:
  /// A request that arrived before this host was ready for the first time.
  struct EarlyRequest
  {
    std::shared_ptr<httpstream::Exchange> exchange_;
    base::Instant receivedAt_;
  };

  void OnRequest(const std::shared_ptr<httpstream::Exchange>& aExchange);
  void HandleRequest(const std::shared_ptr<httpstream::Exchange>& aExchange);

  /// Handles the requests that wait for this host to become ready, or rejects
  /// those that have waited too long.
  void HandleEarlyRequests(base::Instant aNow);
  /// Rejects a request if such ones crash endpoints, before it counts towards
  /// any limit.
  /// @return whether it was rejected.
  [[nodiscard]] bool RejectAsCrashing(
    const std::shared_ptr<httpstream::Exchange>& aExchange);
  void OnBatchJobCall(const std::shared_ptr<httpstream::Exchange>& aExchange,
                      const BatchJobCall& aCall);
  void OnForwarded(const std::shared_ptr<httpstream::Exchange>& aExchange);
  void OnOperatorRequest(httpstream::Exchange& aExchange);
  void OnStatusRequest(httpstream::Exchange& aExchange);
  [[nodiscard]] std::vector<StoreMirrors::MirrorSettings> MirroredPrefixes();
  void OnOperatorEntry(const metadata::StoreItem& aItem);

  /// @return whether peers need the change: false if only the heartbeat
  ///         changed.
  bool OnEndpointEntry(const metadata::StoreItem& aItem);
  void OnBatchJobEntry(const metadata::StoreItem& aItem);
  void OnHostEntry(const metadata::StoreItem& aItem);
  void OnHostsChanged();
  void OnJobChanged(const std::string& aJob);
  void AddGauges();
  void AddWaitingItemGauges();
  void RecordCallerConnectionEnd(const httpstream::ConnectionEnd& aEnd);
  void Preempt(const fleet::EndpointChoice& aChoice);
  void Retire();
  void ReportRetirement();
  void ScheduleRetirementReport();
  void ScheduleTick();
  void Tick();
  void CountStoreCall(std::string_view aCall, std::string_view aKeys);
  void UpdateLeaseTerm(base::Instant aNow);
  void LogStoreCalls(base::Instant aNow);
  void UpdateReadiness();
  void StopWhenIdle();

  /// Registers this host and starts to mirror the registered hosts.
  void StartRegistration();
  /// @return whether this host has had the time to learn which requests crash
  ///         endpoints.
  [[nodiscard]] bool KnowsRefusedFeatures() const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool HasBalancerRemovedHost() const;
  [[nodiscard]] bool Listen(httpstream::Listener& aListener,
                            const std::string& aAddress);
  [[nodiscard]] std::string OwnerId() const;

  /// @return whether peers must soon learn from the store if this host is lost.
  [[nodiscard]] bool NeedsShortLease() const;

  boost::asio::io_context& context_;
  GatewaySettings settings_;
  StoreLayout layout_;
  const StoreCodec& storeCodec_;
  metadata::CountingStoreClient store_;
  StoreTransport& storeTransport_;
  SharedState shared_;
  batch::BatchJobTable jobs_;
  batch::HostSet hosts_;
  metadata::StoreHealth health_;
  StoreMirrors mirrors_;
  metadata::HostLease lease_;
  BatchJobLoader loader_;
  PeerClients peerClients_; ///< Clients for calls on jobs.
  BatchJobHandler batchJobHandler_;
  BatchSubmissionHandler batchSubmissionHandler_;
  std::optional<BatchJobSpool> spool_; ///< Set if there is a data folder.
  BatchWorker worker_;
  LedgerWriter ledgerWriter_;
  BatchJobRetention retention_;
  PeerMessenger peerMessenger_;
  AccessControl accessControl_;
  StreamOrigins streamOrigins_;
  CrashVerdictStore crashVerdictStore_;
  StartInquiry startInquiry_;
  OnlineProxy::PreemptBatch preemptBatch_;
  httpstream::Listener callerListener_;
  httpstream::Listener statusListener_;
  httpstream::Listener metricsListener_;
  httpstream::Listener forwardListener_;
  base::RestartableTimer tickTimer_;
  base::RestartableTimer stopTimer_;
  base::RestartableTimer registrationTimer_;
  std::function<void()> onStopped_;
  base::Instant stopStartedAt_;
  base::Instant storeCallsLoggedAt_;
  /// Since when another term than the lease's is needed.
  std::optional<base::Instant> otherTermNeededSince_;
  bool isStopping_ = false;
  bool isRetiring_ = false;
  bool isHandedOver_ = false;
  bool isReady_ = false;
  bool hasBeenReady_ = false;
  base::Instant startedAt_;
  std::vector<EarlyRequest> earlyRequests_;
};

} // namespace pumiceturn::gateway
