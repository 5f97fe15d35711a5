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

/// Why a job was picked.
enum class PickReason : std::uint8_t
{
  Share,  ///< Its partner has had the least of its share.
  Urgent, ///< It is short of slack and took more than its partner's share.
};

/// The job that gets the next credit, with what was weighed.
struct Pick
{
  base::JobId job_;
  std::string_view partner_; ///< Valid until the queue changes.
  PickReason reason_ = PickReason::Share;
  std::int64_t laxityMs_ = 0; ///< Time to spare before its due time.
  std::uint32_t waiting_ = 0; ///< Items of the job, this one included.
  std::size_t partners_ = 0;  ///< Partners with waiting items.
};

/// Chooses whose batch item runs next at one service. Between partners, time at
/// the endpoints is shared by their weights (start-time fair queuing over the
/// measured service time); within a partner the job with the least laxity goes
/// first: due time less the remaining work. A job about to miss its due time
/// may go ahead of its partner's share, within a bounded part of all picks, and
/// its partner pays for it afterwards.
///
/// Holds one entry for each job, not for each item. Not thread-safe, no I/O.
class LaxityQueue
{
public:
  struct Options
  {
    double urgentShare_ = 0.25; ///< Most picks that jobs short of slack take
                                ///< ahead of the shares, 0 to 1.
    std::int64_t urgentLaxityMs_ = 0; ///< Below it a job is short of slack.
    base::Duration initialServiceTime_{ std::chrono::seconds{ 1 } };
  };

  LaxityQueue();
  explicit LaxityQueue(Options aOptions);

  /// Adds waiting items of a job.
  /// @param aWeight Share of the partner, at least 1.
  void Add(const base::JobId& aJob,
           std::string_view aPartner,
           std::uint32_t aWeight,
           std::int64_t aDueUnixMs,
           std::uint32_t aItems);

  /// Drops a job.
  void Remove(const base::JobId& aJob);

  /// Takes one item of the job that goes next.
  std::optional<Pick> Take(std::int64_t aNowUnixMs);

  /// Learns how long an item runs.
  void RecordServiceTime(base::Duration aTime);

  /// Tells how many items run side by side.
  void SetParallelism(std::uint32_t aRunning);

  [[nodiscard]] std::uint64_t Waiting() const { return waiting_; }
  [[nodiscard]] std::uint32_t WaitingOf(const base::JobId& aJob) const;

  /// @return the laxity of the job shortest of it; nothing when empty.
  [[nodiscard]] std::optional<std::int64_t> LeastLaxityMs(
    std::int64_t aNowUnixMs) const;

  /// Estimates when a job's items are done: its partner's jobs that go first
  /// count too, and other partners take their shares meanwhile.
  /// @param aRunning Items of the job that run now.
  [[nodiscard]] std::int64_t ExpectedWorkMs(const base::JobId& aJob,
                                            std::uint32_t aRunning) const;

private:
  /// Due time less remaining work. A job's laxity is this less now, so the
  /// order does not change while time passes.
  using LatestStart = std::int64_t;

  struct Entry
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
    double served_ = 0.0; ///< Service time had so far, divided by the weight.
    std::set<std::pair<LatestStart, base::JobId>> jobs_;
  };

  [[nodiscard]] std::int64_t WorkMs(double aItems) const;
  [[nodiscard]] double ShareOf(std::uint32_t aPartner) const;
  std::uint32_t PartnerIndex(std::string_view aName, std::uint32_t aWeight);
  void Link(std::uint32_t aPartner);
  void Unlink(std::uint32_t aPartner);
  [[nodiscard]] LatestStart LatestStartOf(const Entry& aEntry) const;
  void Update(const base::JobId& aJob, Entry& aEntry, std::uint32_t aItems);
  void Rebuild();
  void RebuildIfDrifted();
  PickReason Choose(std::int64_t aNowUnixMs, std::uint32_t& aPartner);

  Options options_;
  std::unordered_map<base::JobId, Entry> entries_;
  std::map<std::string, std::uint32_t, std::less<>> partnerIndex_;
  std::vector<Partner> partners_;
  /// Partners with waiting items, by service had and by their most urgent job.
  std::set<std::pair<double, std::uint32_t>> byService_;
  std::set<std::pair<LatestStart, std::uint32_t>> byUrgency_;
  std::uint64_t waiting_ = 0;
  double serviceMs_;
  double parallelism_ = 1.0;
  double keyMsPerItem_; ///< Rate that the current keys were made with.
  std::uint64_t takenSinceRebuild_ = 0;
  double urgentCredit_ = 0.0;
  double virtualTime_ = 0.0; ///< Service had by the partner served last.
};

} // namespace pumiceturn::jobs
