#include "LibLoad/LoadRun.h"

#include "LibLoad/OnlineLoad.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace pumiceturn::load {

namespace {

using base::ResultCode;

constexpr std::size_t kRunIdLength = 8;
constexpr std::chrono::seconds kProgressInterval{ 1 };

base::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(aSeconds));
}

base::Result<KindLimits>
FindLimits(const declarations::Service& aService, const std::string& aKind)
{
  for (const declarations::RequestKind& kind : aService.kinds()) {
    if (kind.name() == aKind) {
      return KindLimits{ kind.max_tokens(), kind.deadline_ms() };
    }
  }
  return base::Fail(ResultCode::UnknownKind, "the plan's kind " + aKind);
}

base::Result<declarations::Service>
FindService(const declarations::Configuration& aConfiguration,
            const std::string& aName)
{
  for (const declarations::Service& service :
       aConfiguration.declarations().services()) {
    if (service.name() == aName) {
      return service;
    }
  }
  return base::Fail(ResultCode::UnknownService, "the plan's service " + aName);
}

/// The limits that the plan's streams and lots meet.
struct PlanLimits
{
  std::vector<KindLimits> streams_;
  std::vector<KindLimits> lots_;
};

base::Result<PlanLimits>
ReadLimits(const LoadPlan& aPlan, client::Client& aClient)
{
  BOOST_LEAF_AUTO(configuration, aClient.GetConfiguration(0));
  BOOST_LEAF_AUTO(service, FindService(configuration, aPlan.service()));
  PlanLimits limits;
  for (const OnlineStream& stream : aPlan.online()) {
    BOOST_LEAF_AUTO(found, FindLimits(service, stream.kind()));
    limits.streams_.push_back(found);
  }
  for (const LotPlan& lot : aPlan.lots()) {
    BOOST_LEAF_AUTO(found, FindLimits(service, lot.kind()));
    limits.lots_.push_back(found);
  }
  return limits;
}

/// One run: the threads beside the one that sends the calls.
class Run
{
public:
  Run(const LoadPlan& aPlan, const LoadOptions& aOptions, PlanLimits aLimits)
    : plan_(aPlan)
    , options_(aOptions)
    , limits_(std::move(aLimits))
    , runId_(client::MakeRequestKey().substr(0, kRunIdLength))
    , schedule_(MakeSchedule(aPlan, runId_))
    , channels_(aOptions.client_.entries_, aOptions.client_.token_)
    , start_(base::MonotonicNow())
    , recorder_(start_)
    , online_({ aPlan, limits_.streams_, runId_, aOptions.client_.timeout_ },
              channels_,
              schedule_.arrivals_,
              recorder_)
  {
  }

  RunOutcome Execute()
  {
    StartThreads();
    SendAll();
    const base::Instant end =
      start_ + LengthOf(plan_) + Seconds(plan_.drain_s());
    WaitForOnline(end);
    for (std::thread& thread : lotThreads_) {
      thread.join();
    }
    stop_.Stop();
    for (std::thread& thread : otherThreads_) {
      thread.join();
    }
    online_.ReadBack();
    CheckRefusals();
    outcome_.recorded_ = recorder_.Take();
    return std::move(outcome_);
  }

private:
  void StartThreads();
  void StartLot(int aLot);
  void SendAll();
  void WaitForOnline(base::Instant aLatest);
  void ShowProgress();
  void MeasureEngines();
  void CheckRefusals();

  const LoadPlan& plan_;
  const LoadOptions& options_;
  const PlanLimits limits_;
  const std::string runId_;
  const Schedule schedule_;
  const client::EntryChannels channels_;
  const base::Instant start_;
  base::Instant nextProgress_ = start_;
  Recorder recorder_;
  OnlineLoad online_;
  StopSignal stop_;
  RunOutcome outcome_;
  std::vector<std::thread> lotThreads_;
  std::vector<std::thread> otherThreads_;
};

void
Run::StartThreads()
{
  for (int lot = 0; lot < plan_.lots_size(); ++lot) {
    StartLot(lot);
  }
  if (plan_.faults_size() > 0) {
    otherThreads_.emplace_back(
      [this] { outcome_.faults_ = RunFaults(plan_, start_, stop_); });
  }
  if (plan_.configuration_changes_at_s_size() > 0) {
    otherThreads_.emplace_back([this] {
      outcome_.spreads_ =
        RunConfigurationChanges(plan_, options_.client_, start_, stop_);
    });
  }
  if (plan_.engine_addresses_size() > 0) {
    otherThreads_.emplace_back([this] { MeasureEngines(); });
  }
}

void
Run::StartLot(int aLot)
{
  const auto index = static_cast<std::size_t>(aLot);
  LotRun::Options options;
  options.client_ = options_.client_;
  options.service_ = plan_.service();
  options.plan_ = plan_.lots(aLot);
  options.jobKey_ = "load-" + runId_ + "-lot" + std::to_string(aLot);
  options.maxTokens_ = options.plan_.max_tokens() == 0
                         ? limits_.lots_[index].maxTokens_
                         : options.plan_.max_tokens();
  options.end_ = start_ + LengthOf(plan_) + Seconds(plan_.drain_s());
  lotThreads_.emplace_back([this, options, index] {
    LotRun(options, schedule_.lots_[index], recorder_).Run(stop_);
  });
}

void
Run::SendAll()
{
  for (std::size_t index = 0; index < schedule_.arrivals_.size(); ++index) {
    const base::Instant at = start_ + schedule_.arrivals_[index].at_;
    while (base::MonotonicNow() < at) {
      ShowProgress();
      std::this_thread::sleep_until(std::min(at, nextProgress_));
    }
    online_.Send(index);
  }
}

void
Run::WaitForOnline(base::Instant aLatest)
{
  const base::Instant arrivalsEnd = start_ + LengthOf(plan_);
  while (base::MonotonicNow() < arrivalsEnd) {
    ShowProgress();
    std::this_thread::sleep_until(std::min(arrivalsEnd, nextProgress_));
  }
  while (base::MonotonicNow() < aLatest &&
         !online_.WaitForEnd(std::min(aLatest, nextProgress_))) {
    ShowProgress();
  }
}

void
Run::ShowProgress()
{
  const base::Instant now = base::MonotonicNow();
  if (now < nextProgress_) {
    return;
  }
  nextProgress_ = now + kProgressInterval;
  if (options_.onProgress_) {
    options_.onProgress_(
      { std::chrono::duration<double>(now - start_).count(),
        std::chrono::duration<double>(LengthOf(plan_)).count(),
        online_.InFlight(),
        recorder_.CurrentCounts() });
  }
}

/// Counts what the engines generate while online and batch run together.
void
Run::MeasureEngines()
{
  const base::Instant from =
    start_ + Seconds(plan_.warm_up_s() + plan_.alone_s());
  if (!stop_.WaitUntil(from)) {
    return;
  }
  const EngineTokens before = ReadEngineTokens(plan_);
  if (!stop_.WaitUntil(start_ + LengthOf(plan_))) {
    return;
  }
  const EngineTokens after = ReadEngineTokens(plan_);
  outcome_.hasEngineTokens_ = before.isKnown_ && after.isKnown_;
  outcome_.engineTokensTogether_ = after.tokens_ - before.tokens_;
}

void
Run::CheckRefusals()
{
  if (plan_.engine_addresses_size() == 0) {
    return;
  }
  const std::uint64_t run = CountRun(plan_, online_.NotRunPrompts());
  recorder_.Update([&](Counts& aCounts) { aCounts.refusedButRun_ = run; });
  outcome_.hasCheckedRefusals_ = true;
}

} // namespace

base::Result<RunOutcome>
RunLoad(const LoadPlan& aPlan, const LoadOptions& aOptions)
{
  client::Client client(aOptions.client_);
  BOOST_LEAF_AUTO(limits, ReadLimits(aPlan, client));
  return Run(aPlan, aOptions, std::move(limits)).Execute();
}

} // namespace pumiceturn::load
