#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibBatch/ItemPace.h"
#include "LibBatch/ItemSchedule.h"
#include "LibBatch/StartOrder.h"
#include "LibGateway/BatchJobLoader.h"
#include "LibGateway/ItemAttempt.h"
#include "LibGateway/LedgerWriter.h"
#include "LibGateway/ProgressWriter.h"
#include "LibGateway/ResultWriter.h"
#include "LibMetadata/StoreClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::gateway {

/// Runs the items of the jobs that this host owns: starts them where places
/// are idle, the most urgent job first, stores their results, takes over jobs
/// whose owner is gone, and hands its jobs over when the host leaves. Belongs
/// to the event thread.
class BatchWorker
{
public:
  BatchWorker(boost::asio::io_context& aContext,
              SharedState& aShared,
              metadata::StoreClient& aStore,
              batch::BatchJobTable& aJobs,
              BatchJobLoader& aLoader,
              const batch::HostSet& aHosts,
              std::string aOwnName);

  /// Called with each job that got results.
  void SetOnResults(std::function<void(const std::string&)> aCallback)
  {
    onResults_ = std::move(aCallback);
  }

  /// A job's keys have changed in the store.
  void OnJobChanged(const std::string& aJob);

  /// Does what is due; called several times a second.
  void Tick(base::Instant aNow);

  /// @return what the jobs that this host runs have waiting on capped routes,
  ///         and those that it left since the last call, with nothing.
  [[nodiscard]] std::vector<WaitingBatchJob> CollectWaitingJobs();

  /// Cancels one batch run at an endpoint, for online work.
  void Preempt(const std::string& aEndpoint);

  /// Hands over all jobs, with what their runs have so far.
  /// @param aDone Called when each job is handed over or the store refused.
  void HandOver(std::function<void()> aDone);

  [[nodiscard]] std::size_t RunCount() const { return runs_.size(); }

private:
  /// A job that this host runs.
  struct OwnBatchJob
  {
    batch::ItemSchedule schedule_;
    base::Instant acceptedAt_{}; ///< By the accepting host's clock of day.
    std::optional<base::Instant> routeMissingSince_{};
  };

  void Claim(const std::string& aJob);
  void Load(const std::string& aJob);
  void Take(const batch::BatchJob& aJob);
  void Leave(const std::string& aJob, std::string_view aReason);
  [[nodiscard]] bool IsOwn(const batch::BatchJob& aJob) const;

  /// @return nullptr where no route leads to the job's items now.
  [[nodiscard]] const fleet::Route* RouteOf(const batch::BatchJob& aJob) const;

  /// @return the route of a job, if it bounds the tokens that may wait.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const std::string& aJob) const;
  void UpdateLimits(const batch::BatchJob& aJob,
                    OwnBatchJob& aOwn,
                    base::Instant aNow);
  void StartRuns(base::Instant aNow);
  [[nodiscard]] std::vector<batch::StartCandidate> CollectCandidates(
    base::Instant aNow);
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const batch::BatchJob& aJob,
                                             const OwnBatchJob& aOwn,
                                             std::size_t aItem,
                                             std::uint64_t aLastEvent) const;
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const ItemAttempt& aRun) const;

  /// @return whether there was a place for the item.
  bool StartOne(const batch::StartCandidate& aCandidate, base::Instant aNow);
  /// @return who sent a job, as endpoints are told.
  [[nodiscard]] CallerName CallerOf(const batch::BatchJob& aJob) const;
  void NotePace(const ItemAttempt& aRun, batch::ItemAttemptOutcome aEnd);
  void PreemptForOnline(base::Instant aNow);
  void OnRunEnd(ItemAttempt& aRun, batch::ItemAttemptOutcome aEnd);
  void RemoveRun(const ItemAttempt& aRun);
  [[nodiscard]] std::vector<BatchJobProgress> CollectProgress() const;

  boost::asio::io_context& context_;
  SharedState& shared_;
  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  BatchJobLoader& loader_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  std::map<std::string, OwnBatchJob> own_;
  std::unordered_map<std::string, base::Instant> claims_; ///< Under way.
  std::unordered_set<std::string> loading_;               ///< Under way.
  std::vector<WaitingBatchJob>
    closedJobs_; ///< On capped routes, to be told of.
  std::function<void(const std::string&)> onResults_;
  std::unordered_map<std::string, batch::ItemPace> paces_; ///< By route.
  double usualRuns_ = 0.0; ///< Runs at a time while items wait.
  std::vector<std::shared_ptr<ItemAttempt>> runs_;
  ResultWriter results_;
  ProgressWriter progressWriter_;
  bool leaving_ = false;
};

} // namespace pumiceturn::gateway
