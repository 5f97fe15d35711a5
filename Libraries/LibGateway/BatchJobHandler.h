#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibGateway/BatchJobLoader.h"
#include "LibGateway/PeerClients.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Answers the callers' calls on accepted jobs: gives a job's results by
/// position, its items' bodies, and ends it. Any host answers
/// for any job: from memory where it runs the job, else by asking the host that
/// runs it, else from the store; where that can't tell, the caller is told to
/// come back. Belongs to the event thread.
class BatchJobHandler
{
public:
  BatchJobHandler(SharedState& aShared,
                  metadata::StoreClient& aStore,
                  batch::BatchJobTable& aJobs,
                  BatchJobLoader& aLoader,
                  const batch::HostSet& aHosts,
                  const metadata::StoreHealth& aHealth,
                  std::string aOwnName,
                  PeerClients& aClients);

  /// Answers a call of a caller. What belongs to another organisation is not
  /// there for it.
  void Handle(const std::shared_ptr<httpstream::Exchange>& aExchange,
              const BatchJobCall& aCall,
              const CallerName& aCaller);

  /// Answers a call that another host passes on, from memory alone.
  void HandleForwarded(const std::shared_ptr<httpstream::Exchange>& aExchange,
                       const BatchJobCall& aCall);

  /// A job's keys have changed: readers that wait for results may go on.
  void OnJobChanged(const std::string& aJob);

  /// Answers readers whose wait is over.
  void Tick(base::Instant aNow);

  /// Called with each job whose state was changed or read here.
  void SetOnStateRead(std::function<void(const std::string&)> aCallback)
  {
    onStateRead_ = std::move(aCallback);
  }

private:
  struct Reader
  {
    std::shared_ptr<httpstream::Exchange> exchange_;
    std::uint32_t position_ = 0;
    base::Instant until_;
  };

  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  /// Calls back with the job's state known, or answers the caller that there is
  /// no such job for it, or that this can't be told now.
  void WithState(const ExchangePtr& aExchange,
                 const std::string& aJob,
                 const CallerName& aCaller,
                 std::function<void(const batch::BatchJob&)> aUse);

  /// @return whether the job is the caller's; answers it where it isn't.
  [[nodiscard]] bool IsAllowed(const ExchangePtr& aExchange,
                               const batch::BatchJob& aJob,
                               const CallerName& aCaller) const;
  void AnswerNone(httpstream::Exchange& aExchange,
                  const CallerName& aCaller) const;

  /// Answers a reading call by the first way that works: memory, the host that
  /// runs the job, the store.
  void Read(const ExchangePtr& aExchange,
            const std::string& aJob,
            const BatchJobCall& aCall,
            const CallerName& aCaller);
  void Forward(const ExchangePtr& aExchange,
               const std::string& aJob,
               const std::string& aAddress,
               const BatchJobCall& aCall);
  void ReadFromStore(const ExchangePtr& aExchange,
                     const std::string& aJob,
                     const BatchJobCall& aCall);

  /// Answers from a loaded job.
  void AnswerLoaded(const ExchangePtr& aExchange,
                    const batch::BatchJob& aJob,
                    const BatchJobCall& aCall,
                    bool aMayWait);
  void AnswerResults(const ExchangePtr& aExchange,
                     const batch::BatchJob& aJob,
                     const ReadResults& aCall,
                     bool aMayWait);
  static void AnswerBody(const ExchangePtr& aExchange,
                         const batch::BatchJob& aJob,
                         const ReadItemBody& aCall);
  void AnswerComeBack(httpstream::Exchange& aExchange) const;
  void End(const std::shared_ptr<httpstream::Exchange>& aExchange,
           const batch::BatchJob& aJob,
           std::uint32_t aTriesLeft);
  void SendResults(httpstream::Exchange& aExchange,
                   const batch::BatchJob& aJob,
                   std::uint32_t aPosition) const;

  SharedState& shared_;
  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  BatchJobLoader& loader_;
  const batch::HostSet& hosts_;
  const metadata::StoreHealth& health_;
  std::string ownName_;
  PeerClients& clients_; ///< To the hosts that run jobs.
  std::function<void(const std::string&)> onStateRead_;
  std::unordered_map<std::string, std::vector<Reader>> readers_;
};

} // namespace pumiceturn::gateway
