#pragma once

#include "LibKeeper/KeeperFixture.h"
#include "Scenarios/Arguments.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::scenarios {

/// The job service of a partition's owner, in virtual time. What is in the log
/// outlives owners. Entries and agents are played: an entry answers the
/// requests it was told to run, an agent grants credits, runs what it is given,
/// and keeps each result until it is recorded.
class KeeperStage
{
public:
  explicit KeeperStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  void Advance(base::Duration aTime);
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  struct AgentRun
  {
    wire::StartRun order_;
    base::Instant endsAt_;
    bool ended_ = false; ///< Its result is kept until it is recorded.
  };

  struct Agent
  {
    bool linked_ = true;
    std::map<wire::RunId, AgentRun> runs_;
    std::size_t begun_ = 0;
  };

  struct EntryRun
  {
    std::string entry_;
    wire::RecordRequest request_;
    base::Instant endsAt_;
  };

  /// A submission or a call, by its name in the scenario.
  struct Ask
  {
    wire::JobId job_;
    std::string entry_;
    std::uint64_t call_ = 0;
    std::string reply_ = "none"; ///< What the owner answered first.
  };

  void TakeReplies();
  void Note(std::uint64_t aCall, std::string aReply);
  void RunEntries();
  void RunAgents();
  void RunAgent(const std::string& aName, Agent& aAgent);
  void Report(const std::string& aName, const AgentRun& aRun);
  void TakeOver();
  void CancelJob(const std::string& aName);
  void SetLink(const std::string& aAgent, wire::LinkState aState);
  void SetAppendMode(const std::string& aMode);
  std::string ObserveResults(const Ask& aAsk, const std::string& aField);

  static constexpr base::Duration kTick{ std::chrono::milliseconds{ 50 } };

  std::shared_ptr<keeper::FakeLog> log_ = std::make_shared<keeper::FakeLog>();
  std::unique_ptr<keeper::FakeKeeper> keeper_;
  std::uint64_t epoch_ = 0;
  std::uint64_t credits_;
  base::Duration runTime_;
  std::map<std::string, Agent> agents_;
  std::vector<EntryRun> entryRuns_;
  std::set<std::string> entries_;
  std::map<std::string, Ask> asks_;
  std::map<wire::JobId, std::map<std::uint32_t, std::uint32_t>>
    runsByItem_; ///< Begun, by agents and entries.
  std::map<wire::JobId, std::vector<std::string>> payloads_;
  std::uint64_t nextCall_ = 100;
};

} // namespace pumiceturn::scenarios
