#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibGateway/BatchJobLoader.h"
#include "LibGateway/PeerClients.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StoreMirrors.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibMetadata/HostLease.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Handles callers' requests for accepted jobs: reading results and item
/// bodies, and cancelling jobs. Any host can respond for any job: from memory
/// if it runs the job, otherwise through the owner, otherwise from the store.
/// If none of them can respond, the caller is asked to retry. Must be used on
/// the event thread.
class BatchJobHandler
{
public:
  BatchJobHandler(SharedState& aShared,
                  metadata::StoreClient& aStore,
                  batch::BatchJobTable& aJobs,
                  BatchJobLoader& aLoader,
                  const batch::HostSet& aHosts,
                  const metadata::StoreHealth& aHealth,
                  const metadata::HostLease& aLease,
                  const StoreMirrors& aMirrors,
                  std::string aOwnName,
                  PeerClients& aClients);

  /// Handles a caller's request. Jobs of other organisations are reported as
  /// not found.
  void Handle(const std::shared_ptr<httpstream::Exchange>& aExchange,
              const BatchJobCall& aCall,
              const OrganisationName& aCaller);

  /// Handles a request forwarded by another host, from memory only. Rejects it
  /// if it is meant for another process.
  void HandleForwarded(const std::shared_ptr<httpstream::Exchange>& aExchange,
                       const BatchJobCall& aCall);

  /// Responds to requests that wait for the results of a job, after its keys
  /// have changed.
  void OnJobChanged(const std::string& aJob);

  /// Responds to waiting requests whose maximum wait has passed.
  void Tick(base::Instant aNow);

  /// Sets a callback that is called with a job's ID after this handler has read
  /// the job's state from the store or cancelled the job.
  void SetOnStateChanged(std::function<void(const std::string&)> aCallback)
  {
    onStateChanged_ = std::move(aCallback);
  }

private:
  /// A request that waits for the next result of a job.
  struct WaitingRead
  {
    std::shared_ptr<httpstream::Exchange> exchange_;
    std::uint32_t position_ = 0;
    base::Instant deadline_;
  };

  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  /// Calls back with the job once its state is known. Otherwise responds that
  /// it was not found, or asks the caller to retry.
  void WithState(const ExchangePtr& aExchange,
                 const std::string& aJob,
                 const OrganisationName& aCaller,
                 std::function<void(const batch::BatchJob&)> aUse);

  /// @return whether the workers have stored all spooled jobs: the store and
  ///   all workers have been available for long enough.
  [[nodiscard]] bool IsNoJobSpooled() const;

  /// Checks whether the caller may access the job; responds with an error if
  /// not.
  [[nodiscard]] bool CheckAccess(const ExchangePtr& aExchange,
                                 const batch::BatchJob& aJob,
                                 const OrganisationName& aCaller) const;
  void RespondNotFound(httpstream::Exchange& aExchange,
                       const OrganisationName& aCaller) const;

  /// Responds to a read request from memory, through the owner or from the
  /// store.
  void Read(const ExchangePtr& aExchange,
            const std::string& aJob,
            const BatchJobCall& aCall,
            const OrganisationName& aCaller);
  void Forward(const ExchangePtr& aExchange,
               const batch::BatchJob& aJob,
               const std::string& aAddress,
               const BatchJobCall& aCall);
  void ReadFromStore(const ExchangePtr& aExchange,
                     const std::string& aJob,
                     const BatchJobCall& aCall);

  /// Answers a read that has waited at this host.
  void AnswerFromStore(const std::string& aJob,
                       const WaitingRead& aWaitingRead);
  /// Answers a read that has waited at this host, from a loaded job.
  void AnswerAsOwner(const batch::BatchJob& aJob,
                     const WaitingRead& aWaitingRead);

  /// @return whether no other host can have taken this host's jobs over without
  ///   this host knowing it.
  [[nodiscard]] bool IsOwnershipCertain() const;

  /// Responds from a loaded job if no other host can have a later copy of what
  /// is asked for. Otherwise finds out whether this host still owns the job.
  void RespondAsOwner(const ExchangePtr& aExchange,
                      const batch::BatchJob& aJob,
                      const BatchJobCall& aCall);
  /// Reads the job's owner from the store before it responds.
  void ConfirmOwner(const ExchangePtr& aExchange,
                    const std::string& aJob,
                    const BatchJobCall& aCall);

  /// Responds from a loaded job.
  /// @param aMayWait Whether to wait for a result that isn't available yet.
  void RespondFromMemory(const ExchangePtr& aExchange,
                         const batch::BatchJob& aJob,
                         const BatchJobCall& aCall,
                         bool aMayWait);
  void RespondResults(const ExchangePtr& aExchange,
                      const batch::BatchJob& aJob,
                      const ReadResultsCall& aCall,
                      bool aMayWait);
  void RespondItemBody(const ExchangePtr& aExchange,
                       const batch::BatchJob& aJob,
                       const ReadItemBodyCall& aCall) const;
  /// Sends a response from memory. Names this process if a peer asked for it.
  void RespondNamed(httpstream::Exchange& aExchange,
                    httpstream::Response aResponse) const;
  void RespondRetryLater(httpstream::Exchange& aExchange) const;
  void End(const std::shared_ptr<httpstream::Exchange>& aExchange,
           const batch::BatchJob& aJob,
           std::uint32_t aRetriesLeft);
  void SendResults(httpstream::Exchange& aExchange,
                   const batch::BatchJob& aJob,
                   std::uint32_t aPosition) const;

  SharedState& shared_;
  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  BatchJobLoader& loader_;
  const batch::HostSet& hosts_;
  const metadata::StoreHealth& health_;
  const metadata::HostLease& lease_;
  const StoreMirrors& mirrors_;
  std::string ownName_;
  PeerClients& clients_; ///< HTTP clients for the other hosts.
  std::function<void(const std::string&)> onStateChanged_;
  /// Keyed by job ID.
  std::unordered_map<std::string, std::vector<WaitingRead>> waitingReads_;
};

} // namespace pumiceturn::gateway
