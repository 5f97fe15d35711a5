#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibBatch/ItemDurationEstimator.h"
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

/// Runs the items of the jobs that this host owns. Starts items in idle slots
/// by urgency, stores their results, takes over jobs of lost owners and hands
/// its jobs over on shutdown. Must be used on the event thread.
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

  /// Sets a callback for jobs with newly stored results.
  void SetOnResults(std::function<void(const std::string&)> aCallback)
  {
    onResults_ = std::move(aCallback);
  }

  /// Loads, updates or releases a job after its keys have changed.
  void OnJobChanged(const std::string& aJob);

  /// Claims jobs, starts and preempts attempts, and stores results. Called
  /// several times per second.
  void Tick(base::Instant aNow);

  /// @return the waiting tokens of this host's jobs on capped routes, and zero
  ///   for those closed since the last call.
  [[nodiscard]] std::vector<WaitingBatchJob> CollectWaitingJobs();

  /// Cancels one attempt at an endpoint in favour of online work.
  void Preempt(const std::string& aEndpoint);

  /// Cancels all attempts and hands over all jobs with their progress.
  /// @param aDone Called when every handover was committed or has failed.
  void HandOver(std::function<void()> aDone);

  [[nodiscard]] std::size_t AttemptCount() const { return attempts_.size(); }

private:
  /// A job that this host owns.
  struct OwnedJob
  {
    batch::ItemSchedule schedule_;
    /// Estimated from the accepting host's wall clock.
    base::Instant acceptedAt_{};
    std::optional<base::Instant> routeMissingSince_{};
  };

  void Claim(const std::string& aJob);
  void Load(const std::string& aJob);
  void Acquire(const batch::BatchJob& aJob);
  void Release(const std::string& aJob, std::string_view aReason);
  [[nodiscard]] bool IsOwn(const batch::BatchJob& aJob) const;

  /// @return the route of the job's items, or nullptr if there is none.
  [[nodiscard]] const fleet::Route* RouteOf(const batch::BatchJob& aJob) const;

  /// @return the route of a job, or nullptr if it has no cap on waiting tokens.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const std::string& aJob) const;
  void UpdateLimits(const batch::BatchJob& aJob,
                    OwnedJob& aOwned,
                    base::Instant aNow);
  void StartAttempts(base::Instant aNow);
  [[nodiscard]] std::vector<batch::StartCandidate> CollectCandidates(
    base::Instant aNow);
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const batch::BatchJob& aJob,
                                             const OwnedJob& aOwned,
                                             std::size_t aItem,
                                             std::uint64_t aLastEvent) const;
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const ItemAttempt& aAttempt) const;

  /// @return false if there was no free slot for the item.
  bool StartAttempt(const batch::StartCandidate& aCandidate,
                    base::Instant aNow);
  /// @return the submitter of a job, as sent to endpoints.
  [[nodiscard]] OrganisationName CallerOf(const batch::BatchJob& aJob) const;
  void RecordDuration(const ItemAttempt& aAttempt,
                      batch::ItemAttemptOutcome aOutcome);
  void PreemptForOnline(base::Instant aNow);
  void OnAttemptEnd(ItemAttempt& aAttempt, batch::ItemAttemptOutcome aOutcome);
  void RemoveAttempt(const ItemAttempt& aAttempt);
  [[nodiscard]] std::vector<BatchJobProgress> CollectProgress() const;

  boost::asio::io_context& context_;
  SharedState& shared_;
  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  BatchJobLoader& loader_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  std::map<std::string, OwnedJob> ownedJobs_;
  std::unordered_map<std::string, base::Instant> claims_; ///< Pending, by job.
  std::unordered_set<std::string> loading_; ///< Jobs being loaded.
  /// On capped routes, not yet collected.
  std::vector<WaitingBatchJob> closedJobs_;
  std::function<void(const std::string&)> onResults_;
  /// Keyed by route name.
  std::unordered_map<std::string, batch::ItemDurationEstimator>
    durationEstimators_;
  /// Moving average of concurrent attempts while items wait.
  double averageAttempts_ = 0.0;
  std::vector<std::shared_ptr<ItemAttempt>> attempts_;
  ResultWriter results_;
  ProgressWriter progressWriter_;
  bool isDraining_ = false;
};

} // namespace pumiceturn::gateway
