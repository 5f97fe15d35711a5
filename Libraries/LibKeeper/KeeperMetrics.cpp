#include "LibKeeper/KeeperMetrics.h"

#include <string_view>

namespace pumiceturn::keeper {

namespace {

struct Metric
{
  std::uint64_t JobCounts::*count_;
  std::string_view name_;
  std::string_view help_;
};

constexpr Metric kMetrics[] = {
  { &JobCounts::acceptedOnline_,
    "pumiceturn_online_accepted_total",
    "Online requests recorded as accepted." },
  { &JobCounts::acceptedItems_,
    "pumiceturn_batch_items_accepted_total",
    "Items of accepted batch jobs." },
  { &JobCounts::duplicateSubmissions_,
    "pumiceturn_duplicate_submissions_total",
    "Requests and batch jobs submitted again after they were accepted." },
  { &JobCounts::keyConflicts_,
    "pumiceturn_key_conflicts_total",
    "Keys used again with different content." },
  { &JobCounts::succeeded_,
    "pumiceturn_items_succeeded_total",
    "Results recorded with the code Ok." },
  { &JobCounts::failed_,
    "pumiceturn_items_failed_total",
    "Results recorded with another code." },
  { &JobCounts::resultsDropped_,
    "pumiceturn_results_dropped_total",
    "Results not recorded because their item has ended or their job does not "
    "exist." },
  { &JobCounts::withdrawn_,
    "pumiceturn_requests_withdrawn_total",
    "Online requests that were not run and may be sent again." },
  { &JobCounts::cancelledJobs_,
    "pumiceturn_jobs_cancelled_total",
    "Jobs cancelled by their partner." },
  { &JobCounts::requeued_,
    "pumiceturn_items_requeued_total",
    "Items returned to the queue because a run was refused, failed, was lost "
    "or could not be started." },
  { &JobCounts::startedOrphans_,
    "pumiceturn_orphans_run_total",
    "Online requests run by their owner after their entry was lost." },
  { &JobCounts::startedBatchRuns_,
    "pumiceturn_batch_runs_started_total",
    "Batch runs sent to agents." },
  { &JobCounts::appendsFailed_,
    "pumiceturn_appends_failed_total",
    "Appends to the log that were not acknowledged." },
  { &JobCounts::lateJobs_,
    "pumiceturn_jobs_due_missed_total",
    "Jobs finished after their due time." },
  { &JobCounts::expiredJobs_,
    "pumiceturn_jobs_expired_total",
    "Jobs dropped after their retention time, and abandoned submissions." },
};

} // namespace

KeeperMetrics::KeeperMetrics(metrics::Registry& aRegistry,
                             const std::shared_ptr<JobService>& aService)
{
  for (const Metric& metric : kMetrics) {
    rows_.push_back(
      { metric.count_, &aRegistry.GetCounter(metric.name_, metric.help_) });
  }
  const std::weak_ptr<JobService> weak = aService;
  aRegistry.AddGauge("pumiceturn_batch_items_waiting",
                     "Batch items of this keeper that wait for a credit.",
                     {},
                     [weak] {
                       const auto service = weak.lock();
                       return service
                                ? static_cast<double>(service->WaitingItems())
                                : 0.0;
                     });
  aRegistry.AddGauge(
    "pumiceturn_owner_runs",
    "Runs of this keeper that are at agents and have not ended.",
    {},
    [weak] {
      const auto service = weak.lock();
      return service ? static_cast<double>(service->RunningItems()) : 0.0;
    });
}

void
KeeperMetrics::Update(const JobCounts& aCounts)
{
  for (const Row& row : rows_) {
    row.counter_->Add(aCounts.*row.count_ - last_.*row.count_);
  }
  last_ = aCounts;
}

} // namespace pumiceturn::keeper
