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

/// The online calls of this entry: carries out what OnlineRequest decides, over
/// links and timers. Thread-safe; one lock over all calls and the routing
/// table, since each event is a few microseconds of work.
class OnlineCalls : public std::enable_shared_from_this<OnlineCalls>
{
public:
  /// Receives the Emit... actions of one call in order, under the table's
  /// lock: it must not block nor call back.
  using Sink = std::function<void(OnlineAction aEmission)>;

  /// Runs that were given up while their endpoint could not be reached; they
  /// are cancelled when it comes back.
  static constexpr std::size_t kMaxOrphans = 1024;
  /// Jobs whose result is durable, remembered to release late runs at agents.
  static constexpr std::size_t kMaxConcluded = 4096;

  OnlineCalls(node::Context aContext, EndpointRouter::Options aRouting);

  /// Begins a call.
  /// @return its number, for Cancel().
  std::uint64_t Start(OnlineDescription aDescription, Sink aSink);

  /// The caller is gone.
  void Cancel(std::uint64_t aCall);

  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);
  void OnConfiguration(const configuration::Snapshot& aConfiguration);
  void OnHostList(const settings::HostList& aHosts);

  [[nodiscard]] std::size_t Count() const;

  /// @return whether a call that runs, or has ended lately, started the run.
  [[nodiscard]] bool HasRun(const wire::RunId& aRun) const;

  /// @return whether a run of this job is, or lately was, this entry's own.
  [[nodiscard]] bool HasJob(const wire::JobId& aJob) const;

  /// @return the last heartbeat of each peer, for operators.
  [[nodiscard]] std::map<std::string, wire::Heartbeat> Heartbeats() const;

private:
  struct StaleRun
  {
    std::string endpoint_;
    wire::RunId run_;
  };
  struct Active
  {
    OnlineRequest request_;
    Sink sink_;
    std::string owner_; ///< Whom the last message for the owner went to.
    bool suspect_ = false;
    base::Instant begun_;
    std::optional<base::Instant> wakeAt_;
    bool hasStreamed_ = false;
    std::vector<StaleRun> staleRuns_;
  };

  using Calls = std::unordered_map<std::uint64_t, Active>;

  void Handle(const std::string& aPeer, const wire::Heartbeat& aMessage);
  void Handle(const std::string& aPeer, const wire::Chunk& aMessage);
  void Handle(const std::string& aPeer, const wire::RunEnded& aMessage);
  void Handle(const std::string& aPeer, const wire::RecordReply& aMessage);
  void Handle(const std::string& aPeer,
              const wire::RecordResultReply& aMessage);

  /// Gives an event to a call, carries out its actions, and drops it when it
  /// is done. Holds the lock.
  template<typename Event>
  void Apply(std::uint64_t aCall, Event aEvent);

  template<typename Event>
  void ApplyToJob(const wire::JobId& aJob, Event aEvent);

  void Carry(std::uint64_t aCall, Active& aActive);
  void Remove(std::uint64_t aCall, Active& aActive);
  void ScheduleWake(std::uint64_t aCall, Active& aActive);
  void OnWake(std::uint64_t aCall, base::Instant aTime);

  void Do(Active& aActive, SendToOwner& aAction);
  void Do(Active& aActive, SendToEndpoint& aAction);
  void Do(Active& aActive, ChooseEndpoint& aAction);
  void Do(Active& aActive, RunLeft& aAction);
  void Do(Active& aActive, BlameContent& aAction);
  void Do(Active& aActive, EmitAccepted& aAction);
  void Do(Active& aActive, EmitChunk& aAction);
  void Do(Active& aActive, EmitFinished& aAction);
  void Do(Active& aActive, EmitFailed& aAction);

  [[nodiscard]] bool IsLeaving(const std::string& aEndpoint) const;
  [[nodiscard]] std::vector<std::uint64_t> CallsOf(
    const wire::JobId& aJob) const;

  node::Context context_;
  mutable std::mutex mutex_;
  EndpointRouter router_;
  Calls calls_;
  std::unordered_multimap<wire::JobId, std::uint64_t> callsByJob_;
  std::uint64_t nextCall_;
  std::map<std::string, std::vector<wire::RunId>> orphans_;
  std::size_t orphanCount_ = 0;
  std::unordered_set<wire::JobId> concluded_;
  std::deque<wire::JobId> concludedOrder_;
  std::map<std::string, std::string> linked_; ///< Endpoint to link address.
  std::unordered_set<std::string> drainedByOperators_;
  std::unordered_set<std::string> leavingByHostList_;
  std::map<std::string, wire::Heartbeat> heartbeats_;
  metrics::Counter& started_;
  metrics::Counter& retries_;
  metrics::Counter& refused_;
  metrics::Histogram& firstToken_;
  metrics::Histogram& duration_;
};

} // namespace pumiceturn::entry
