#pragma once

#include "LibBase/Time.h"
#include "LibEntry/EndpointRouter.h"
#include "LibEntry/OnlineAction.h"
#include "LibEntry/OnlineRequest.h"
#include "LibNode/Context.h"
#include "LibWire/LinkTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::entry {

/// The online calls of this entry. An online request is a job of one item; its
/// JobId identifies it. Executes the actions of each OnlineRequest using links
/// and timers. Thread-safe; a single lock protects all calls and the routing
/// state, since each event takes a few microseconds.
class OnlineCalls : public std::enable_shared_from_this<OnlineCalls>
{
public:
  /// Receives the Emit... actions of one call in order. Called with the lock
  /// held: must neither block nor call OnlineCalls.
  using Sink = std::function<void(OnlineAction aEmission)>;

  /// Maximum number of runs whose cancellation waits until the link to their
  /// endpoint is up again; further ones aren't cancelled.
  static constexpr std::size_t kMaxUncancelledRuns = 1024;
  /// Maximum number of finished requests that are remembered. An agent that
  /// reports the end of such a request's run later is told to forget the run:
  /// it gets RunRecorded.
  static constexpr std::size_t kMaxFinishedJobs = 4096;

  OnlineCalls(node::Context aContext, EndpointRouter::Options aRouting);

  /// Starts a call.
  /// @return the call number, for Cancel().
  std::uint64_t Start(OnlineDescription aDescription, Sink aSink);

  /// Handles a cancellation or disconnect of the caller.
  void Cancel(std::uint64_t aCall);

  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);
  void OnConfiguration(const configuration::Snapshot& aConfiguration);
  void OnHostList(const settings::HostList& aHosts);

  [[nodiscard]] std::size_t Count() const;

  /// @return whether the run's attempt number was assigned by an entry and
  /// HasJob() holds.
  [[nodiscard]] bool HasEntryRun(const wire::RunId& aRun) const;

  /// @return whether this entry has a call for the job or recently finished
  /// one.
  [[nodiscard]] bool HasJob(const wire::JobId& aJob) const;

  /// @return the last heartbeat of each peer.
  [[nodiscard]] std::map<std::string, wire::Heartbeat> Heartbeats() const;

private:
  struct EarlierRun
  {
    std::string endpoint_;
    wire::RunId run_;
  };
  struct ActiveCall
  {
    OnlineRequest request_;
    Sink sink_;
    /// Host to which the last message for the owner was addressed.
    std::string owner_;
    bool suspect_ = false;
    base::Instant startedAt_;
    std::optional<base::Instant> wakeAt_;
    bool hasStreamed_ = false;
    std::vector<EarlierRun> earlierRuns_;
  };

  using Calls = std::unordered_map<std::uint64_t, ActiveCall>;

  void Handle(const std::string& aPeer, const wire::Heartbeat& aMessage);
  void Handle(const std::string& aPeer, const wire::Chunk& aMessage);
  void Handle(const std::string& aPeer, const wire::RunEnded& aMessage);
  void Handle(const std::string& aPeer, const wire::RecordReply& aMessage);
  void Handle(const std::string& aPeer,
              const wire::RecordResultReply& aMessage);

  /// Applies an event to a call, executes the resulting actions and removes the
  /// call once it is done. The caller holds the lock.
  template<typename Event>
  void Apply(std::uint64_t aCall, Event aEvent);

  template<typename Event>
  void ApplyToJob(const wire::JobId& aJob, Event aEvent);

  void ExecuteActions(std::uint64_t aCall, ActiveCall& aActive);
  void Remove(std::uint64_t aCall, ActiveCall& aActive);
  void ScheduleTimer(std::uint64_t aCall, ActiveCall& aActive);
  void OnCallTimer(std::uint64_t aCall, base::Instant aTime);

  void Execute(ActiveCall& aActive, SendToOwner& aAction);
  void Execute(ActiveCall& aActive, SendToEndpoint& aAction);
  void Execute(ActiveCall& aActive, ChooseEndpoint& aAction);
  void Execute(ActiveCall& aActive, ReportRunEnd& aAction);
  void Execute(ActiveCall& aActive, QuarantineContent& aAction);
  void Execute(ActiveCall& aActive, EmitAccepted& aAction);
  void Execute(ActiveCall& aActive, EmitChunk& aAction);
  void Execute(ActiveCall& aActive, EmitFinished& aAction);
  void Execute(ActiveCall& aActive, EmitFailed& aAction);

  [[nodiscard]] bool IsDrained(const std::string& aEndpoint) const;
  [[nodiscard]] std::vector<std::uint64_t> CallsOf(
    const wire::JobId& aJob) const;

  node::Context context_;
  mutable std::mutex mutex_;
  EndpointRouter router_;
  Calls calls_;
  std::unordered_multimap<wire::JobId, std::uint64_t> callsByJob_;
  std::uint64_t nextCall_;
  std::map<std::string, std::vector<wire::RunId>> uncancelledRuns_;
  std::size_t uncancelledRunCount_ = 0;
  std::unordered_set<wire::JobId> finishedJobs_;
  std::deque<wire::JobId> finishedJobOrder_;
  /// Link addresses by endpoint.
  std::map<std::string, std::string> linkAddresses_;
  std::unordered_set<std::string> drainedByOperators_;
  std::unordered_set<std::string> leavingByHostList_;
  std::map<std::string, wire::Heartbeat> heartbeats_;
  metrics::Counter& started_;
  metrics::Counter& retries_;
  metrics::Counter& failed_;
  metrics::Histogram& firstToken_;
  metrics::Histogram& duration_;
};

} // namespace pumiceturn::entry
