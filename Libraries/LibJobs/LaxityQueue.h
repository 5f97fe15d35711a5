#pragma once

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::jobs {

/// Why a job was selected.
enum class SelectionReason : std::uint8_t
{
  Share,  ///< Its partner has received the least service for its weight.
  Urgent, ///< Its laxity is low, so it is selected whatever its partner's
          ///< share.
};

/// The job whose item runs next, with the inputs of the decision.
struct Selection
{
  base::JobId job_;
  std::string_view partner_; ///< Valid until the queue changes.
  SelectionReason reason_ = SelectionReason::Share;
  /// Due time minus remaining work minus the current time.
  std::int64_t laxityMs_ = 0;
  std::uint32_t waiting_ = 0; ///< Waiting items of the job, this one included.
  std::size_t partners_ = 0;  ///< Number of partners with waiting items.
};

/// Selects the batch item that runs next at one service. Partners share the
/// endpoints' time by weight (start-time fair queuing over the measured service
/// time). Within a partner the job with the least laxity, that is due time
/// minus remaining work, goes first. A job that is about to miss its due time
/// may be selected although its partner has had its share. The fraction of such
/// selections is limited, and their service time counts for the partner.
/// Holds one element per job, not per item. Not thread-safe, no I/O.
class LaxityQueue
{
public:
  struct Options
  {
    /// Maximum fraction of all selections that may go to urgent jobs regardless
    /// of the shares, 0 to 1.
    /// A larger fraction lets more late jobs finish in time, but delays other
    /// partners for longer.
    double urgentShare_ = 0.25;
    std::int64_t urgentLaxityMs_ = 0; ///< A job with less laxity is urgent.
    base::Duration initialServiceTime_{ std::chrono::seconds{ 1 } };
  };

  LaxityQueue();
  explicit LaxityQueue(Options aOptions);

  /// Adds waiting items of a job.
  /// @param aWeight Weight of the partner, at least 1.
  /// @param aItems Number of items added.
  void Add(const base::JobId& aJob,
           std::string_view aPartner,
           std::uint32_t aWeight,
           std::int64_t aDueUnixMs,
           std::uint32_t aItems);

  /// Removes a job with all its waiting items.
  void Remove(const base::JobId& aJob);

  /// Removes one item of the job that goes next.
  /// @return the job; nothing when the queue is empty.
  std::optional<Selection> Pop(std::int64_t aNowUnixMs);

  /// Adds a sample to the moving average of the service time.
  void RecordServiceTime(base::Duration aTime);

  /// Adds a sample to the moving average of the number of concurrent runs.
  void RecordParallelism(std::uint32_t aRunning);

  [[nodiscard]] std::uint64_t Waiting() const { return waiting_; }
  [[nodiscard]] std::uint32_t WaitingOf(const base::JobId& aJob) const;

  /// @return the lowest laxity of all jobs; nothing when the queue is empty.
  [[nodiscard]] std::optional<std::int64_t> MinLaxityMs(
    std::int64_t aNowUnixMs) const;

  /// Estimates the time in milliseconds until all items of a job have run.
  /// Includes the partner's jobs that go first and the time that the shares of
  /// other partners take.
  /// @param aRunning Number of running items of the job.
  [[nodiscard]] std::int64_t ExpectedDurationMs(const base::JobId& aJob,
                                                std::uint32_t aRunning) const;

private:
  /// Due time minus remaining work, in Unix milliseconds. Laxity is this minus
  /// the current time, so the order of jobs does not change as time passes.
  using LatestStart = std::int64_t;

  struct QueuedJob
  {
    std::uint32_t partner_ = 0;
    std::uint32_t items_ = 0;
    std::int64_t dueUnixMs_ = 0;
    LatestStart latestStart_ = 0;
  };

  struct Partner
  {
    std::string name_;
    std::uint32_t weight_ = 1;
    /// Service time received, divided by the weight.
    double normalisedServiceTime_ = 0.0;
    std::set<std::pair<LatestStart, base::JobId>> jobs_;
  };

  [[nodiscard]] std::int64_t WorkMs(double aItems) const;
  [[nodiscard]] double ShareOf(std::uint32_t aPartner) const;
  std::uint32_t FindOrAddPartner(std::string_view aName, std::uint32_t aWeight);
  void IndexPartner(std::uint32_t aPartner);
  void UnindexPartner(std::uint32_t aPartner);
  [[nodiscard]] LatestStart LatestStartOf(const QueuedJob& aQueued) const;
  void SetItemCount(const base::JobId& aJob,
                    QueuedJob& aQueued,
                    std::uint32_t aItems);
  void Rebuild();
  void RebuildIfDrifted();
  SelectionReason SelectPartner(std::int64_t aNowUnixMs,
                                std::uint32_t& aPartner);

  Options options_;
  std::unordered_map<base::JobId, QueuedJob> queuedJobs_;
  std::map<std::string, std::uint32_t, std::less<>> partnerIndex_;
  std::vector<Partner> partners_;
  /// Partners with waiting items, by normalised service time and by the latest
  /// start of their most urgent job.
  std::set<std::pair<double, std::uint32_t>> partnersByServiceTime_;
  std::set<std::pair<LatestStart, std::uint32_t>> partnersByUrgency_;
  std::uint64_t waiting_ = 0;
  double serviceMs_;
  double parallelism_ = 1.0;
  /// Time per item used for the current latest starts.
  double orderedByMsPerItem_;
  std::uint64_t poppedSinceRebuild_ = 0;
  /// Number of selections that may go to urgent jobs now.
  double urgentAllowance_ = 0.0;
  /// Highest normalised service time at which a partner was selected by its
  /// share.
  double virtualTime_ = 0.0;
};

} // namespace pumiceturn::jobs
