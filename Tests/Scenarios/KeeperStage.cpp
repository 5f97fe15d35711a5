#include "Scenarios/KeeperStage.h"

#include "Scenarios/Names.h"

#include "LibStandin/EngineAnswer.h"

#include <algorithm>

namespace pumiceturn::scenarios {

namespace {

constexpr const char* kPartner = "slaegtsspor";
constexpr const char* kService = "origin-llm";
constexpr std::uint32_t kTokens = 8;
constexpr std::uint64_t kRetentionS = 3600;
constexpr base::Duration kDefaultRunTime{ std::chrono::milliseconds{ 100 } };

std::string
AnswerTo(const std::string& aPayload)
{
  return standin::EngineAnswerText(aPayload, kTokens);
}

std::string
NameOf(wire::RecordState aState)
{
  switch (aState) {
    case wire::RecordState::New:
      return "New";
    case wire::RecordState::Running:
      return "Running";
    case wire::RecordState::Finished:
      break;
  }
  return "Finished";
}

} // namespace

KeeperStage::KeeperStage(Arguments& aArguments)
  : credits_(aArguments.Number("credits", 2))
  , runTime_(aArguments.Time("run_time", kDefaultRunTime))
{
  agents_["agent-1"];
  agents_["agent-2"];
  TakeOver();
}

/// Another keeper replays the log and owns the partition.
void
KeeperStage::TakeOver()
{
  auto next = std::make_unique<keeper::FakeKeeper>(log_);
  if (keeper_) {
    next->now_ = keeper_->now_;
  }
  keeper_ = std::move(next);
  keeper_->TakeOwnership(++epoch_);
  for (auto& [name, agent] : agents_) {
    if (agent.linked_) {
      keeper_->Grant(name, credits_);
    } else {
      keeper_->SetLinkState(name, wire::LinkState::Lost);
    }
  }
}

void
KeeperStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  const std::string key = aArguments.Text("key", name);
  Ask ask;
  ask.entry_ = aArguments.Text("entry", "entry-1");
  ask.call_ = nextCall_++;
  wire::RecordRequest request =
    keeper::KeeperFixture::MakeRequest(key, ask.call_);
  request.payload_ = aArguments.Text("prompt", key);
  request.digest_ = base::HashBytes(request.payload_);
  request.idempotent_ = aArguments.Flag("idempotent", true);
  request.retentionS_ = kRetentionS;
  ask.job_ = request.job_;
  payloads_.try_emplace(request.job_,
                        std::vector<std::string>{ request.payload_ });
  asks_[name] = ask;
  entries_.insert(ask.entry_);
  keeper_->Receive(ask.entry_, request);
  for (const auto& reply : keeper_->PopSent<wire::RecordReply>(ask.entry_)) {
    const bool isOk = reply.code_ == base::ResultCode::Ok;
    Note(reply.call_,
         isOk ? NameOf(reply.state_) : std::string(base::NameOf(reply.code_)));
    if (isOk && reply.state_ == wire::RecordState::New) {
      ++runsByItem_[request.job_][0];
      entryRuns_.push_back({ ask.entry_, request, keeper_->now_ + runTime_ });
    }
  }
}

void
KeeperStage::Submit(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  const std::string key = aArguments.Text("key", name);
  const std::uint32_t items = aArguments.Number("items", 1);
  Ask ask;
  ask.entry_ = aArguments.Text("entry", "entry-1");
  ask.call_ = nextCall_++;
  wire::JobDescription lot;
  lot.id_ = base::MakeJobId(kPartner, key);
  lot.partner_ = kPartner;
  lot.service_ = kService;
  lot.kind_ = "lineage-batch";
  lot.key_ = key;
  lot.digest_ = base::HashBytes(aArguments.Text("content", "first"));
  lot.itemCount_ = items;
  lot.dueUnixMs_ = base::ToMs(keeper_->now_.time_since_epoch()) + 600'000;
  lot.retentionS_ = kRetentionS;
  lot.maxAttempts_ = 3;
  wire::SubmitFrame frame = keeper::KeeperFixture::MakeWholeFrame(lot);
  frame.call_ = ask.call_;
  ask.job_ = lot.id_;
  std::vector<std::string> payloads;
  for (const wire::JobItem& item : frame.items_) {
    payloads.push_back(item.payload_);
  }
  payloads_.try_emplace(lot.id_, std::move(payloads));
  asks_[name] = ask;
  entries_.insert(ask.entry_);
  keeper_->Receive(ask.entry_, frame);
  TakeReplies();
}

void
KeeperStage::Note(std::uint64_t aCall, std::string aReply)
{
  for (auto& [name, ask] : asks_) {
    if (ask.call_ == aCall && ask.reply_ == "none") {
      ask.reply_ = std::move(aReply);
      return;
    }
  }
}

void
KeeperStage::TakeReplies()
{
  for (const std::string& entry : entries_) {
    for (const auto& reply : keeper_->PopSent<wire::SubmitReply>(entry)) {
      const std::string good = reply.duplicate_ ? "Duplicate" : "Accepted";
      Note(reply.call_,
           reply.code_ == base::ResultCode::Ok
             ? good
             : std::string(base::NameOf(reply.code_)));
    }
  }
}

void
KeeperStage::Fault(Arguments& aArguments)
{
  if (aArguments.Flag("owner_lost", false)) {
    TakeOver();
  }
  if (aArguments.Has("agent_lost")) {
    SetLink(aArguments.Text("agent_lost"), wire::LinkState::Lost);
  }
  if (aArguments.Has("agent_back")) {
    SetLink(aArguments.Text("agent_back"), wire::LinkState::Up);
  }
  if (aArguments.Has("entry_lost")) {
    const std::string entry = aArguments.Text("entry_lost");
    std::erase_if(entryRuns_,
                  [&](const EntryRun& aRun) { return aRun.entry_ == entry; });
    keeper_->SetLinkState(entry, wire::LinkState::Lost);
  }
  if (aArguments.Has("log")) {
    SetAppendMode(aArguments.Text("log"));
  }
  if (aArguments.Has("cancel")) {
    CancelJob(aArguments.Text("cancel"));
  }
  TakeReplies();
}

void
KeeperStage::SetAppendMode(const std::string& aMode)
{
  if (aMode == "durable") {
    keeper_->CompleteDelayedAppends();
  } else if (aMode == "held") {
    keeper_->mode_ = keeper::AppendMode::Delayed;
  } else if (aMode == "swallowed") {
    keeper_->mode_ = keeper::AppendMode::Unacknowledged;
  } else {
    throw ScenarioError("unknown log mode " + aMode);
  }
}

void
KeeperStage::CancelJob(const std::string& aName)
{
  const Ask& ask = asks_.at(aName);
  keeper_->Receive(ask.entry_,
                   wire::CancelJob{ nextCall_++, ask.job_, kPartner });
  keeper_->PopSent<wire::JobStatusReply>(ask.entry_);
}

void
KeeperStage::SetLink(const std::string& aAgent, wire::LinkState aState)
{
  Agent& agent = agents_.at(aAgent);
  agent.linked_ = aState == wire::LinkState::Up;
  keeper_->SetLinkState(aAgent, aState);
  if (!agent.linked_) {
    return;
  }
  // Results that nobody recorded are offered again when a link comes up.
  for (const auto& [run, kept] : std::map(agent.runs_)) {
    if (kept.ended_) {
      Report(aAgent, kept);
    }
  }
}

void
KeeperStage::Advance(base::Duration aTime)
{
  const base::Instant end = keeper_->now_ + aTime;
  while (keeper_->now_ < end) {
    keeper_->AdvanceTime(std::min(kTick, end - keeper_->now_));
    RunEntries();
    RunAgents();
    TakeReplies();
  }
}

void
KeeperStage::RunEntries()
{
  std::vector<EntryRun> due;
  std::erase_if(entryRuns_, [&](const EntryRun& aRun) {
    const bool isDue = aRun.endsAt_ <= keeper_->now_;
    if (isDue) {
      due.push_back(aRun);
    }
    return isDue;
  });
  for (const EntryRun& run : due) {
    wire::RecordResult result = keeper::KeeperFixture::MakeResult(
      run.request_, AnswerTo(run.request_.payload_));
    keeper_->Receive(run.entry_, result);
  }
}

void
KeeperStage::RunAgents()
{
  for (auto& [name, agent] : agents_) {
    if (agent.linked_) {
      RunAgent(name, agent);
    }
    for (auto& [id, run] : agent.runs_) {
      if (!run.ended_ && run.endsAt_ <= keeper_->now_) {
        run.ended_ = true;
        if (agent.linked_) {
          Report(name, run);
        }
      }
    }
  }
}

/// Takes what the owner sent to an agent whose link is up.
void
KeeperStage::RunAgent(const std::string& aName, Agent& aAgent)
{
  for (const auto& order : keeper_->PopSent<wire::StartRun>(aName)) {
    aAgent.runs_[order.run_] = { order, keeper_->now_ + runTime_ };
    ++aAgent.begun_;
    ++runsByItem_[order.run_.job_][order.run_.item_];
  }
  for (const auto& cancel : keeper_->PopSent<wire::CancelRun>(aName)) {
    if (aAgent.runs_.erase(cancel.run_) > 0) {
      keeper_->Fail(
        aName, cancel.run_, base::ResultCode::Cancelled, base::Ran::Unknown);
    }
  }
  for (const auto& attach : keeper_->PopSent<wire::AttachRun>(aName)) {
    if (!aAgent.runs_.contains(attach.run_)) {
      keeper_->Fail(
        aName, attach.run_, base::ResultCode::EndpointLost, base::Ran::Unknown);
    }
  }
  for (const auto& recorded : keeper_->PopSent<wire::RunRecorded>(aName)) {
    if (aAgent.runs_.erase(recorded.run_) > 0) {
      keeper_->Grant(aName, 1);
    }
  }
}

void
KeeperStage::Report(const std::string& aName, const AgentRun& aRun)
{
  keeper_->Finish(aName, aRun.order_, AnswerTo(aRun.order_.payload_));
}

std::string
KeeperStage::Observe(const std::string& aSubject, const std::string& aField)
{
  if (const auto agent = agents_.find(aSubject); agent != agents_.end()) {
    const auto& runs = agent->second.runs_;
    if (aField == "begun") {
      return std::to_string(agent->second.begun_);
    }
    if (aField == "running") {
      return std::to_string(
        std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
          return !aRun.second.ended_;
        }));
    }
    throw ScenarioError("an agent has no " + aField);
  }
  const auto ask = asks_.find(aSubject);
  if (ask == asks_.end()) {
    throw ScenarioError("nothing is called " + aSubject);
  }
  return ObserveResults(ask->second, aField);
}

std::string
KeeperStage::ObserveResults(const Ask& aAsk, const std::string& aField)
{
  if (aField == "reply") {
    return aAsk.reply_;
  }
  const auto& runs = runsByItem_[aAsk.job_];
  if (aField == "most_runs_of_an_item") {
    std::uint32_t most = 0;
    for (const auto& [item, count] : runs) {
      most = std::max(most, count);
    }
    return std::to_string(most);
  }
  if (aField == "state") {
    const auto status = keeper_->Status(aAsk.job_);
    return status.state_ == wire::JobState::Finished    ? "Finished"
           : status.state_ == wire::JobState::Cancelled ? "Cancelled"
                                                        : "Running";
  }
  const wire::ResultsPage page = keeper_->Read(aAsk.job_);
  const auto& payloads = payloads_.at(aAsk.job_);
  std::uint32_t whole = 0;
  std::set<std::uint32_t> items;
  for (const wire::ItemResult& result : page.items_) {
    items.insert(result.item_);
    whole += result.text_ == AnswerTo(payloads.at(result.item_)) ? 1 : 0;
  }
  if (aField == "results") {
    return std::to_string(page.items_.size());
  }
  if (aField == "whole") {
    return std::to_string(whole);
  }
  if (aField == "doubled") {
    return std::to_string(page.items_.size() - items.size());
  }
  if (aField == "code" && !page.items_.empty()) {
    return std::string(base::NameOf(page.items_.front().code_));
  }
  if (aField == "ran" && !page.items_.empty()) {
    return NameOf(page.items_.front().ran_);
  }
  throw ScenarioError("results have no " + aField);
}

} // namespace pumiceturn::scenarios
