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
    "Items of accepted lots." },
  { &JobCounts::duplicateSubmissions_,
    "pumiceturn_duplicate_submissions_total",
    "Requests and lots that were accepted before." },
  { &JobCounts::keyConflicts_,
    "pumiceturn_key_conflicts_total",
    "Keys used again with other content." },
  { &JobCounts::succeeded_,
    "pumiceturn_items_succeeded_total",
    "Results recorded as Ok." },
  { &JobCounts::failed_,
    "pumiceturn_items_failed_total",
    "Results recorded with another code." },
  { &JobCounts::resultsDropped_,
    "pumiceturn_results_dropped_total",
    "Results that came after the first one of their item." },
  { &JobCounts::withdrawn_,
    "pumiceturn_requests_withdrawn_total",
    "Online requests that were certainly not run." },
  { &JobCounts::cancelledJobs_,
    "pumiceturn_jobs_cancelled_total",
    "Jobs cancelled by their partner." },
  { &JobCounts::requeued_,
    "pumiceturn_items_requeued_total",
    "Runs that ended without a result, whose item waits again." },
  { &JobCounts::startedOrphans_,
    "pumiceturn_orphans_run_total",
    "Online requests run by their owner after their entry was lost." },
  { &JobCounts::startedBatchRuns_,
    "pumiceturn_batch_runs_started_total",
    "Batch runs given to agents." },
  { &JobCounts::appendsFailed_,
    "pumiceturn_appends_failed_total",
    "Appends to the log that were not acknowledged." },
  { &JobCounts::lateJobs_,
    "pumiceturn_jobs_due_missed_total",
    "Jobs finished after their due time." },
  { &JobCounts::expiredJobs_,
    "pumiceturn_jobs_expired_total",
    "Jobs dropped after their retention time." },
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
                     "Batch items that wait for a credit at this owner.",
                     {},
                     [weak] {
                       const auto service = weak.lock();
                       return service
                                ? static_cast<double>(service->WaitingItems())
                                : 0.0;
                     });
  aRegistry.AddGauge("pumiceturn_owner_runs",
                     "Runs that this owner gave to agents and that have not "
                     "ended.",
                     {},
                     [weak] {
                       const auto service = weak.lock();
                       return service
                                ? static_cast<double>(service->RunningItems())
                                : 0.0;
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
