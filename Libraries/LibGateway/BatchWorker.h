#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibBatch/ItemDurationEstimator.h"
#include "LibBatch/ItemSchedule.h"
#include "LibBatch/ItemStarter.h"
#include "LibGateway/BatchJobLoader.h"
#include "LibGateway/FailureWriter.h"
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
/// by urgency, stores their results, takes over the jobs of owners that are no
/// longer registered, and hands over this host's jobs on shutdown. Must be used
/// on the event thread.
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

  /// @return the waiting tokens of this host's open jobs on capped routes, and
  ///   an entry with zero tokens for each job closed since the last call.
  [[nodiscard]] std::vector<WaitingBatchJob> TakeTokenCounts();

  /// Cancels one attempt at an endpoint in favour of online work.
  void Preempt(const std::string& aEndpoint);

  /// Cancels all attempts and hands over all jobs with their progress.
  /// @param aDone Called when every handover was committed or has failed.
  void HandOver(std::function<void()> aDone);

  /// @return whether this host runs jobs.
  [[nodiscard]] bool HasJobs() const { return !runningJobs_.empty(); }

  [[nodiscard]] std::size_t AttemptCount() const { return attempts_.size(); }

  /// @return the items that the last tick didn't start for a reason.
  [[nodiscard]] std::size_t WaitingCount(batch::StartObstacle aObstacle) const
  {
    return starter_.WaitingCount(aObstacle);
  }

  /// @return the items that pause after an attempt that ended.
  [[nodiscard]] std::size_t PausingCount() const { return pausingItems_; }

private:
  /// A loaded job whose items this host runs.
  struct RunningJob
  {
    batch::ItemSchedule schedule_;
    /// Estimated from the accepting host's wall clock.
    base::Instant acceptedAt_{};
    base::Instant acquiredAt_{};
    std::optional<base::Instant> routeMissingSince_{};
  };

  /// Writes this host as the owner of a job whose owner is no longer
  /// registered.
  void Claim(const std::string& aJob);
  /// Reads a job that this host owns from the store, then acquires it.
  void Load(const std::string& aJob);
  /// Starts running a loaded job.
  void Acquire(const batch::BatchJob& aJob);
  /// Stops running a job that was closed or taken over.
  void Release(const std::string& aJob, std::string_view aReason);
  /// @return whether the job's stored state names this host as the owner.
  [[nodiscard]] bool IsOwnerOf(const batch::BatchJob& aJob) const;

  /// @return the route of the job's items, or nullptr if there is none.
  [[nodiscard]] const fleet::Route* RouteOf(const batch::BatchJob& aJob) const;

  /// @return the route of a job, or nullptr if it has no cap on waiting tokens.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const std::string& aJob) const;
  void UpdateLimits(const batch::BatchJob& aJob,
                    RunningJob& aRunning,
                    base::Instant aNow);
  void StartAttempts(base::Instant aNow);
  /// @return the items that may start, by the service that each goes to next;
  ///         an empty name: no route leads to one.
  [[nodiscard]] batch::ItemStarter::ServiceQueues CollectQueues(
    base::Instant aNow);
  /// @return the queue of a service, which is added if it is missing.
  batch::ServiceQueue& QueueOf(batch::ItemStarter::ServiceQueues& aQueues,
                               const std::string& aService,
                               base::Instant aNow);
  /// @return the service that an item goes to next: the one that began its
  ///         text, or one of the route's that has a free slot, by weight.
  [[nodiscard]] std::string NextService(
    const RunningJob& aRunning,
    std::size_t aItem,
    const fleet::Route& aRoute,
    batch::ItemStarter::ServiceQueues& aQueues,
    base::Instant aNow);
  /// @return whether an item has waited for a slot at the software version that
  ///         began its text for as long as it should.
  [[nodiscard]] static bool HasWaitedForVersion(const RunningJob& aRunning,
                                                std::size_t aItem,
                                                base::Instant aNow);
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const RunningJob& aRunning,
                                             const fleet::Route* aRoute,
                                             std::size_t aItem,
                                             std::uint64_t aLastEvent) const;
  [[nodiscard]] batch::ItemUrgency UrgencyOf(const ItemAttempt& aAttempt) const;

  /// @return what kept the item from being started.
  batch::StartObstacle StartAttempt(const std::string& aService,
                                    const batch::StartCandidate& aCandidate,
                                    base::Instant aNow);
  void BeginAttempt(const batch::BatchJob& aJob,
                    RunningJob& aRunning,
                    const batch::StartCandidate& aCandidate,
                    const fleet::EndpointChoice& aChoice,
                    base::Instant aNow);
  /// @return the endpoint for an item without output; empty if no slot is free.
  /// @param aAssessment Of its request.
  [[nodiscard]] std::optional<fleet::EndpointChoice> ChooseForStart(
    const std::string& aService,
    const fleet::CrashAssessment& aAssessment,
    base::Instant aNow);
  /// @return whether an item may start. Items aren't refused, but of those with
  ///         a feature that may crash endpoints, one at a time runs.
  [[nodiscard]] bool MayStart(const fleet::CrashAssessment& aAssessment) const;
  /// @return whether an item with the feature is running.
  [[nodiscard]] bool IsRunning(std::uint64_t aFeature) const;
  /// @return whether an item that was interrupted repeatedly would join another
  ///         such one, which hasn't begun yet, at the only endpoint left.
  [[nodiscard]] bool MustSpareEndpoint(
    const RunningJob& aRunning,
    std::size_t aItem,
    const fleet::EndpointChoice& aChoice) const;
  /// Chooses the endpoint for the rest of an item's text, which must come from
  /// the software version that began it. Discards the text if that version is
  /// gone or has had no slot for long.
  /// @param aService Where the item may start from its beginning.
  [[nodiscard]] std::optional<fleet::EndpointChoice> ChooseForRest(
    RunningJob& aRunning,
    const batch::StartCandidate& aCandidate,
    const fleet::Route& aRoute,
    const std::string& aService,
    base::Instant aNow);
  /// Discards an item's text, so that it starts from its beginning.
  /// @param aIsServed Whether its software version still serves.
  void RestartItem(RunningJob& aRunning,
                   const batch::StartCandidate& aCandidate,
                   bool aIsServed);
  /// @return the job's organisation, as sent to endpoints.
  [[nodiscard]] OrganisationName CallerOf(const batch::BatchJob& aJob) const;
  void RecordDuration(const ItemAttempt& aAttempt,
                      batch::ItemAttemptOutcome aOutcome);
  void PreemptForOnline(base::Instant aNow);
  void OnAttemptEnd(ItemAttempt& aAttempt, batch::ItemAttemptOutcome aOutcome);
  void RemoveAttempt(const ItemAttempt& aAttempt);
  /// Stores failures that an attempt added to its job's.
  void StoreFailures(const std::string& aJob, const RunningJob& aRunning);
  /// Ends a job's items that failed too often at earlier owners, and those
  /// whose time is up.
  void EndWaitingItems(const batch::BatchJob& aJob,
                       RunningJob& aRunning,
                       base::Instant aNow);
  [[nodiscard]] std::vector<BatchJobProgress> CollectProgress() const;

  boost::asio::io_context& context_;
  SharedState& shared_;
  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  BatchJobLoader& loader_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  std::map<std::string, RunningJob> runningJobs_;
  std::unordered_map<std::string, base::Instant>
    claims_; ///< When each pending claim was sent, by job ID.
  std::unordered_set<std::string> loading_; ///< Jobs being loaded.
  /// Closed jobs on capped routes that TakeTokenCounts() has not returned yet.
  std::vector<WaitingBatchJob> closedJobs_;
  std::function<void(const std::string&)> onResults_;
  /// Keyed by route name.
  std::unordered_map<std::string, batch::ItemDurationEstimator>
    durationEstimators_;
  batch::ItemStarter starter_;
  std::size_t pausingItems_ = 0;
  std::vector<std::shared_ptr<ItemAttempt>> attempts_;
  ResultWriter results_;
  ProgressWriter progressWriter_;
  FailureWriter failureWriter_;
  bool isDraining_ = false;
};

} // namespace pumiceturn::gateway
