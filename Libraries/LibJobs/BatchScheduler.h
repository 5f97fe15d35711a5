#pragma once

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibJobs/LaxityQueue.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::jobs {

/// A run that an agent was given, or is about to be.
struct RunInFlight
{
  std::string agent_;
  std::string service_;
  std::string itemName_;
  base::Instant started_;
  bool online_ = false;
  bool sent_ = false; ///< StartRun left; before that no agent knows it.
};

/// An item that may go to an agent now, with what was weighed.
struct Assignment
{
  Pick pick_;
  std::string agent_;
  std::uint64_t credits_ = 0; ///< Left at that agent.
};

/// Demand to tell one agent.
struct DemandNotice
{
  std::string agent_;
  wire::BatchDemand demand_;
};

/// Matches waiting batch items of this owner with the credits of its agents,
/// and remembers which run is where. An agent grants credits as a count since
/// the link came up; each batch run uses one.
///
/// Not thread-safe, no I/O.
class BatchScheduler
{
public:
  /// Tells which agents serve a service. Agents no longer named stay until
  /// their runs have ended, without new work.
  void SetAgents(const std::string& aService,
                 const std::vector<std::string>& aAgents);

  /// Adds waiting items of a job.
  void AddWork(const wire::JobDescription& aJob,
               std::uint32_t aWeight,
               std::uint32_t aItems);
  void RemoveJob(const base::JobId& aJob, std::string_view aService);

  void Grant(const std::string& aAgent,
             std::string_view aService,
             std::uint64_t aGranted);

  /// Gives no work to an agent until a time: it refused.
  void Pause(const std::string& aAgent, base::Instant aUntil);

  /// A new connection: credits start from nothing on both ends.
  void LinkUp(const std::string& aAgent);
  void LinkLost(const std::string& aAgent);

  /// Takes the next item of a service and a credit for it.
  std::optional<Assignment> Next(const std::string& aService,
                                 base::Instant aNow,
                                 std::int64_t aNowUnixMs);

  /// Gives back a credit that was taken but not used.
  void ReturnCredit(const std::string& aAgent, std::string_view aService);

  /// @return the agent for an online run: up, with the fewest runs of ours;
  /// nothing where none is up.
  [[nodiscard]] std::optional<std::string> AgentForOnline(
    const std::string& aService,
    base::Instant aNow) const;

  void AddRun(const base::RunId& aRun, RunInFlight aInFlight);
  RunInFlight* FindRun(const base::RunId& aRun);

  /// Forgets a run that ended.
  /// @param aAgent The run is taken out only if it is there; empty: wherever.
  /// @return what was known of it.
  std::optional<RunInFlight> EndRun(const base::RunId& aRun,
                                    std::string_view aAgent);

  /// Learns how long a successful run took.
  void RecordServiceTime(const std::string& aService, base::Duration aTime);

  [[nodiscard]] std::vector<base::RunId> RunsAt(std::string_view aAgent) const;
  [[nodiscard]] std::vector<base::RunId> RunsWhere(
    const std::function<bool(const base::RunId&)>& aMatches) const;
  [[nodiscard]] std::size_t RunCount() const { return runs_.size(); }

  [[nodiscard]] bool IsAgent(std::string_view aPeer) const;
  [[nodiscard]] std::vector<std::string> Services() const;

  /// @return what agents must hear at once: demand where there was none.
  std::vector<DemandNotice> UrgentDemand(std::int64_t aNowUnixMs);

  /// @return what changed since agents heard of it last.
  std::vector<DemandNotice> ChangedDemand(std::int64_t aNowUnixMs);

  /// Lets ChangedDemand() tell all demand once more, for agents that missed it.
  void RepeatDemand();

  [[nodiscard]] bool IsUp(std::string_view aAgent) const;

  /// @return demand for an agent whose link has come up.
  std::vector<DemandNotice> DemandFor(const std::string& aAgent,
                                      std::int64_t aNowUnixMs);

  [[nodiscard]] std::uint64_t Waiting(std::string_view aService) const;
  /// As LaxityQueue::ExpectedWorkMs().
  [[nodiscard]] std::int64_t ExpectedWorkMs(std::string_view aService,
                                            const base::JobId& aJob,
                                            std::uint32_t aRunning) const;

private:
  struct Credits
  {
    std::uint64_t granted_ = 0;
    std::uint64_t used_ = 0;
    std::uint32_t running_ = 0;
    bool listed_ = true; ///< Still among the service's agents.

    [[nodiscard]] std::uint64_t Left() const
    {
      return granted_ > used_ ? granted_ - used_ : 0;
    }
  };

  struct Agent
  {
    bool up_ = false;
    base::Instant pausedUntil_{};
  };

  struct Service
  {
    LaxityQueue queue_;
    std::map<std::string, Credits, std::less<>> agents_;
    std::uint64_t toldWaiting_ = 0;
    /// Agents count down what they were told with each run they get, so a
    /// number that is the same again is told again.
    bool changed_ = false;
    std::uint32_t running_ = 0;
  };

  bool CanTake(const std::string& aAgent, base::Instant aNow) const;
  static wire::BatchDemand DemandOf(const std::string& aName,
                                    const Service& aService,
                                    std::int64_t aNowUnixMs);
  void Tell(const std::string& aName,
            Service& aService,
            std::int64_t aNowUnixMs,
            std::vector<DemandNotice>& aNotices);
  void CountRun(const RunInFlight& aRun, int aChange);

  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, Agent, std::less<>> agents_;
  std::unordered_map<base::RunId, RunInFlight> runs_;
};

} // namespace pumiceturn::jobs
