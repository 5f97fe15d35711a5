#pragma once

#include "LibBase/Lifetime.h"
#include "LibGateway/AccessControl.h"
#include "LibGateway/BatchJobHandler.h"
#include "LibGateway/BatchJobRetention.h"
#include "LibGateway/BatchJobSpool.h"
#include "LibGateway/BatchSubmissionHandler.h"
#include "LibGateway/BatchWorker.h"
#include "LibGateway/OnlineProxy.h"
#include "LibGateway/PeerClients.h"
#include "LibGateway/PeerMessenger.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StoreMirrors.h"
#include "LibGateway/StoreTransport.h"
#include "LibHttpStream/Listener.h"
#include "LibMetadata/HostLease.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::gateway {

/// Addresses, names and bounds of one gateway process.
struct GatewaySettings
{
  std::string host_;
  std::string incarnation_; ///< New at each start.
  std::string failureDomain_;
  batch::BatchPreference batchPreference_ = batch::BatchPreference::Worker;
  std::string callerAddress_;  ///< IP:PORT for callers; empty: takes none.
  std::string statusAddress_;  ///< IP:PORT for readiness; empty: none.
  std::string metricsAddress_; ///< IP:PORT; empty: none.
  std::string peerAddress_;    ///< IP:PORT for datagrams of peers.
  std::string forwardAddress_; ///< IP:PORT for calls that peers pass on.
  /// From the request to stop until the process is killed.
  base::Duration grace_{ std::chrono::seconds{ 8 } };
  /// Part of a route's cap on waiting tokens by which it may be exceeded.
  double capOverage_ = 0.0;
  /// By how much organisations' limits on requests may be exceeded.
  fleet::RateTolerance rateTolerance_;
  /// Time after which no request with a key that was taken away may run;
  /// nothing: no such bound.
  std::optional<base::Duration> revocationBound_;
  /// Within which an accepted configuration must be in force.
  base::Duration configurationBound_{ std::chrono::seconds{ 2 } };
  /// Within which a draining endpoint must get nothing new.
  base::Duration drainBound_{ std::chrono::seconds{ 2 } };
  /// How long a closed job can be read, from its acceptance.
  base::Duration jobRetention_{ std::chrono::seconds{ 150 } };
  /// Where this host may keep jobs until the store takes them; empty: nowhere.
  std::string dataFolder_;
  /// Hosts that must keep a job: one more than may be lost at once.
  std::size_t jobCopies_ = 2;
  /// Within which what one host has shown of a job is to be seen at all.
  base::Duration settleBound_{ std::chrono::seconds{ 1 } };
};

/// Where the store keeps what a gateway follows.
struct StoreLayout
{
  std::string operatorPrefix_;
  std::string endpointPrefix_;
  batch::BatchJobKeySpace jobs_;
  std::string hostPrefix_;
};

/// Reads what others wrote into the store. The adapter implements it.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  /// @return the configuration, if the key holds one that can be read.
  [[nodiscard]] virtual std::optional<fleet::Declarations> ReadDeclarations(
    const metadata::StoreItem& aItem) const = 0;

  /// @return whether the key holds the operators' configuration.
  [[nodiscard]] virtual bool IsDeclarations(std::string_view aKey) const = 0;

  /// @return an endpoint's registration.
  [[nodiscard]] virtual std::optional<fleet::EndpointRecord> ReadEndpoint(
    const metadata::StoreItem& aItem) const = 0;

  /// @return the host that operators want emptied, or nothing where the key is
  /// no such request.
  [[nodiscard]] virtual std::optional<std::string> ReadRetirement(
    const metadata::StoreItem& aItem) const = 0;

  /// @return what tells operators that a host holds nothing any more.
  [[nodiscard]] virtual metadata::Transaction MakeRetirementDone(
    const std::string& aHost) const = 0;

  /// @return whether a request asks for readiness.
  [[nodiscard]] virtual bool IsReadinessProbe(
    const httpstream::Request& aRequest) const = 0;
};

/// The process between callers and endpoints: takes requests over HTTP, follows
/// the store, and runs jobs. One event thread; see docs/design/platform.md.
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

  /// Opens the addresses and begins to follow the store.
  /// @return false if an address can't be used.
  [[nodiscard]] bool Start();

  /// Stops gracefully: withdraws readiness, hands jobs over, lets open requests
  /// end, then calls aStopped.
  void Stop(std::function<void()> aStopped);

private:
  void OnRequest(const std::shared_ptr<httpstream::Exchange>& aExchange);
  void OnBatchJobCall(const std::shared_ptr<httpstream::Exchange>& aExchange,
                      const BatchJobCall& aCall);
  void OnForwarded(const std::shared_ptr<httpstream::Exchange>& aExchange);
  void OnStatusRequest(httpstream::Exchange& aExchange);
  [[nodiscard]] std::vector<StoreMirrors::Followed> FollowedPrefixes();
  void OnOperatorKey(const metadata::StoreItem& aItem);

  /// @return whether the registration says anything that wasn't known.
  bool OnEndpointKey(const metadata::StoreItem& aItem);
  void OnBatchJobKey(const metadata::StoreItem& aItem);
  void OnHostKey(const metadata::StoreItem& aItem);
  void OnHostsChanged();
  void OnJobChanged(const std::string& aJob);
  void AddGauges();
  void Preempt(const fleet::EndpointChoice& aChoice);
  void Retire();
  void ReportRetired();
  void ReportRetiredLater();
  void TickLater();
  void Tick();
  void NoteReadiness();
  void EndWhenIdle();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsPastNotice() const;
  [[nodiscard]] bool Listen(httpstream::Listener& aListener,
                            const std::string& aAddress);
  [[nodiscard]] std::string OwnName() const;

  boost::asio::io_context& context_;
  GatewaySettings settings_;
  StoreLayout layout_;
  const StoreCodec& storeCodec_;
  metadata::StoreClient& store_;
  StoreTransport& storeTransport_;
  SharedState shared_;
  batch::BatchJobTable jobs_;
  batch::HostSet hosts_;
  metadata::StoreHealth health_;
  StoreMirrors mirrors_;
  metadata::HostLease lease_;
  BatchJobLoader loader_;
  PeerClients peerClients_; ///< For calls on jobs.
  BatchJobHandler batchJobHandler_;
  BatchSubmissionHandler batchSubmissionHandler_;
  std::optional<BatchJobSpool> spool_; ///< Where this host has a data folder.
  BatchWorker worker_;
  LedgerWriter ledgerWriter_;
  BatchJobRetention retention_;
  PeerMessenger peers_;
  AccessControl accessControl_;
  OnlineProxy::PreemptBatch preemptBatch_;
  httpstream::Listener callers_;
  httpstream::Listener status_;
  httpstream::Listener metricsListener_;
  httpstream::Listener forwarded_;
  boost::asio::steady_timer tickTimer_;
  boost::asio::steady_timer stopTimer_;
  std::function<void()> stopped_;
  base::Instant stopBegan_;
  bool stopping_ = false;
  bool retiring_ = false;
  bool handedOver_ = false;
  bool ready_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
