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

/// A run that was assigned to an agent and has not ended.
struct RunInFlight
{
  std::string agent_;
  std::string service_;
  std::string itemName_;
  base::Instant started_;
  bool online_ = false;
  bool sent_ = false; ///< Whether StartRun was sent to the agent.
};

/// A job whose next item is to be dispatched to an agent, with the inputs of
/// the decision.
struct Assignment
{
  Selection selection_;
  std::string agent_;
  std::uint64_t remainingCredits_ = 0; ///< Unused credits of the agent.
};

/// A demand message to be sent to an agent.
struct DemandNotice
{
  std::string agent_;
  wire::BatchDemand demand_;
};

/// Assigns waiting batch items of this keeper to agents with unused credits,
/// and tracks the runs at each agent. An agent grants credits as a cumulative
/// count since its link came up; each batch run uses one credit.
///
/// Not thread-safe, no I/O.
class BatchScheduler
{
public:
  /// Sets the agents that serve a service. An agent that is no longer listed
  /// gets no new work; its runs are still tracked until they end.
  void SetAgents(const std::string& aService,
                 const std::vector<std::string>& aAgents);

  /// Adds waiting items of a job.
  /// @param aWeight Weight of the job's partner, at least 1.
  void AddWork(const wire::JobDescription& aJob,
               std::uint32_t aWeight,
               std::uint32_t aItems);
  void RemoveJob(const base::JobId& aJob, std::string_view aService);

  /// Applies a credit grant. A repeated or delayed grant has no effect.
  /// @param aGranted Credits granted in total since the link came up.
  void Grant(const std::string& aAgent,
             std::string_view aService,
             std::uint64_t aGranted);

  /// Stops assigning work to an agent until the given time, after it refused a
  /// run.
  void Pause(const std::string& aAgent, base::Instant aUntil);

  /// Handles a new connection. Credits restart at zero on both ends.
  void OnLinkUp(const std::string& aAgent);
  void OnLinkLost(const std::string& aAgent);

  /// Removes the next item of a service from the queue and uses a credit for
  /// it.
  /// @return the assignment; nothing when no item waits or no agent that is
  /// available has a credit.
  std::optional<Assignment> AssignNext(const std::string& aService,
                                       base::Instant aNow,
                                       std::int64_t aNowUnixMs);

  /// Returns the credit of an assignment that was not started.
  void ReturnCredit(const std::string& aAgent, std::string_view aService);

  /// @return the available agent with the fewest runs of this keeper; nothing
  /// when no agent is available.
  [[nodiscard]] std::optional<std::string> SelectOnlineAgent(
    const std::string& aService,
    base::Instant aNow) const;

  void AddRun(const base::RunId& aRun, RunInFlight aInFlight);
  RunInFlight* FindRun(const base::RunId& aRun);

  /// Removes a run.
  /// @param aAgent Only a run at this agent is removed; empty for any agent.
  /// @return the removed run, or nothing.
  std::optional<RunInFlight> RemoveRun(const base::RunId& aRun,
                                       std::string_view aAgent);

  /// Records the duration of a successful run.
  void RecordServiceTime(const std::string& aService, base::Duration aTime);

  [[nodiscard]] std::vector<base::RunId> RunsOnAgent(
    std::string_view aAgent) const;
  [[nodiscard]] std::vector<base::RunId> FindRuns(
    const std::function<bool(const base::RunId&)>& aMatches) const;
  [[nodiscard]] std::size_t RunCount() const { return runs_.size(); }

  [[nodiscard]] bool IsAgent(std::string_view aPeer) const;
  [[nodiscard]] std::vector<std::string> Services() const;

  /// @return demand of services that has risen from a reported zero. Marks it
  /// as reported.
  std::vector<DemandNotice> CollectRisenFromZero(std::int64_t aNowUnixMs);

  /// @return demand that changed since the last report. Marks it as reported.
  std::vector<DemandNotice> CollectChangedDemand(std::int64_t aNowUnixMs);

  /// Makes CollectChangedDemand() return all demand above zero again, for
  /// agents that missed a message.
  void MarkDemandChanged();

  [[nodiscard]] bool IsUp(std::string_view aAgent) const;

  /// @return the current demand, for an agent whose link has come up.
  std::vector<DemandNotice> DemandForAgent(const std::string& aAgent,
                                           std::int64_t aNowUnixMs);

  [[nodiscard]] std::uint64_t Waiting(std::string_view aService) const;
  /// As LaxityQueue::ExpectedDurationMs().
  [[nodiscard]] std::int64_t ExpectedDurationMs(std::string_view aService,
                                                const base::JobId& aJob,
                                                std::uint32_t aRunning) const;

private:
  struct Credits
  {
    std::uint64_t granted_ = 0;
    std::uint64_t used_ = 0;
    std::uint32_t running_ = 0;
    bool listed_ = true; ///< Whether the service still lists the agent.

    [[nodiscard]] std::uint64_t Remaining() const
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
    std::uint64_t reportedWaiting_ = 0;
    /// Whether demand changed since the last report. Also true when the
    /// number is the same again: agents subtract their runs from it.
    bool changed_ = false;
    std::uint32_t running_ = 0;
  };

  bool IsAvailable(const std::string& aAgent, base::Instant aNow) const;
  static wire::BatchDemand MakeDemand(const std::string& aName,
                                      const Service& aService,
                                      std::int64_t aNowUnixMs);
  /// Adds a notice for each connected agent of a service, and marks the demand
  /// as reported.
  void ReportDemand(const std::string& aName,
                    Service& aService,
                    std::int64_t aNowUnixMs,
                    std::vector<DemandNotice>& aNotices);
  void CountRun(const RunInFlight& aRun, int aChange);

  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, Agent, std::less<>> agents_;
  std::unordered_map<base::RunId, RunInFlight> runs_;
};

} // namespace pumiceturn::jobs
