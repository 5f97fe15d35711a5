#include "LibJobs/BatchScheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumiceturn::jobs {

void
BatchScheduler::SetAgents(const std::string& aService,
                          const std::vector<std::string>& aAgents)
{
  Service& service = services_[aService];
  for (auto& [name, credits] : service.agents_) {
    credits.listed_ = false;
  }
  for (const std::string& name : aAgents) {
    service.agents_[name].listed_ = true;
    agents_.try_emplace(name);
  }
}

void
BatchScheduler::AddWork(const wire::JobDescription& aJob,
                        std::uint32_t aWeight,
                        std::uint32_t aItems)
{
  Service& service = services_[aJob.service_];
  service.changed_ = true;
  service.queue_.Add(aJob.id_, aJob.partner_, aWeight, aJob.dueUnixMs_, aItems);
}

void
BatchScheduler::RemoveJob(const base::JobId& aJob, std::string_view aService)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    found->second.queue_.Remove(aJob);
    found->second.changed_ = true;
  }
}

void
BatchScheduler::Grant(const std::string& aAgent,
                      std::string_view aService,
                      std::uint64_t aGranted)
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return;
  }
  const auto credits = found->second.agents_.find(aAgent);
  if (credits == found->second.agents_.end()) {
    return;
  }
  // Grants are cumulative, so a repeated or delayed one has no effect.
  credits->second.granted_ = std::max(credits->second.granted_, aGranted);
}

void
BatchScheduler::Pause(const std::string& aAgent, base::Instant aUntil)
{
  const auto found = agents_.find(aAgent);
  if (found != agents_.end()) {
    found->second.pausedUntil_ = std::max(found->second.pausedUntil_, aUntil);
  }
}

void
BatchScheduler::OnLinkUp(const std::string& aAgent)
{
  const auto found = agents_.find(aAgent);
  if (found == agents_.end()) {
    return;
  }
  found->second = { true, {} };
  for (auto& [name, service] : services_) {
    const auto credits = service.agents_.find(aAgent);
    if (credits != service.agents_.end()) {
      credits->second.granted_ = 0;
      credits->second.used_ = 0;
    }
  }
}

void
BatchScheduler::OnLinkLost(const std::string& aAgent)
{
  const auto found = agents_.find(aAgent);
  if (found != agents_.end()) {
    found->second.up_ = false;
  }
}

bool
BatchScheduler::IsAvailable(const std::string& aAgent, base::Instant aNow) const
{
  const auto found = agents_.find(aAgent);
  return found != agents_.end() && found->second.up_ &&
         found->second.pausedUntil_ <= aNow;
}

std::optional<Assignment>
BatchScheduler::AssignNext(const std::string& aService,
                           base::Instant aNow,
                           std::int64_t aNowUnixMs)
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return std::nullopt;
  }
  Service& service = found->second;
  std::pair<const std::string, Credits>* best = nullptr;
  for (auto& candidate : service.agents_) {
    const Credits& credits = candidate.second;
    const bool isUsable = credits.listed_ && credits.Remaining() > 0 &&
                          IsAvailable(candidate.first, aNow);
    if (isUsable &&
        (best == nullptr || credits.Remaining() > best->second.Remaining())) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  service.queue_.RecordParallelism(service.running_ + 1);
  const auto selection = service.queue_.Pop(aNowUnixMs);
  if (!selection) {
    return std::nullopt;
  }
  service.changed_ = true;
  ++best->second.used_;
  return Assignment{ *selection, best->first, best->second.Remaining() };
}

void
BatchScheduler::ReturnCredit(const std::string& aAgent,
                             std::string_view aService)
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return;
  }
  const auto credits = found->second.agents_.find(aAgent);
  if (credits != found->second.agents_.end() && credits->second.used_ > 0) {
    --credits->second.used_;
  }
}

std::optional<std::string>
BatchScheduler::SelectOnlineAgent(const std::string& aService,
                                  base::Instant aNow) const
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> best;
  std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [name, credits] : found->second.agents_) {
    if (credits.listed_ && IsAvailable(name, aNow) &&
        credits.running_ < fewest) {
      best = name;
      fewest = credits.running_;
    }
  }
  return best;
}

void
BatchScheduler::CountRun(const RunInFlight& aRun, int aChange)
{
  const auto found = services_.find(aRun.service_);
  if (found == services_.end()) {
    return;
  }
  found->second.running_ += static_cast<std::uint32_t>(aChange);
  const auto credits = found->second.agents_.find(aRun.agent_);
  if (credits != found->second.agents_.end()) {
    credits->second.running_ += static_cast<std::uint32_t>(aChange);
  }
}

void
BatchScheduler::AddRun(const base::RunId& aRun, RunInFlight aInFlight)
{
  RemoveRun(aRun, {});
  CountRun(aInFlight, 1);
  runs_.emplace(aRun, std::move(aInFlight));
}

RunInFlight*
BatchScheduler::FindRun(const base::RunId& aRun)
{
  const auto found = runs_.find(aRun);
  return found == runs_.end() ? nullptr : &found->second;
}

std::optional<RunInFlight>
BatchScheduler::RemoveRun(const base::RunId& aRun, std::string_view aAgent)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end() ||
      (!aAgent.empty() && found->second.agent_ != aAgent)) {
    return std::nullopt;
  }
  RunInFlight run = std::move(found->second);
  runs_.erase(found);
  CountRun(run, -1);
  return run;
}

void
BatchScheduler::RecordServiceTime(const std::string& aService,
                                  base::Duration aTime)
{
  services_[aService].queue_.RecordServiceTime(aTime);
}

std::vector<base::RunId>
BatchScheduler::RunsOnAgent(std::string_view aAgent) const
{
  std::vector<base::RunId> runs;
  for (const auto& [id, run] : runs_) {
    if (run.agent_ == aAgent) {
      runs.push_back(id);
    }
  }
  // The iteration order of the hash table is not deterministic.
  std::sort(runs.begin(), runs.end());
  return runs;
}

std::vector<base::RunId>
BatchScheduler::FindRuns(
  const std::function<bool(const base::RunId&)>& aMatches) const
{
  std::vector<base::RunId> runs;
  for (const auto& [id, run] : runs_) {
    if (aMatches(id)) {
      runs.push_back(id);
    }
  }
  std::sort(runs.begin(), runs.end());
  return runs;
}

bool
BatchScheduler::IsAgent(std::string_view aPeer) const
{
  return agents_.find(aPeer) != agents_.end();
}

std::vector<std::string>
BatchScheduler::Services() const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : services_) {
    names.push_back(name);
  }
  return names;
}

wire::BatchDemand
BatchScheduler::MakeDemand(const std::string& aName,
                           const Service& aService,
                           std::int64_t aNowUnixMs)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  wire::BatchDemand demand;
  demand.service_ = aName;
  demand.waiting_ =
    static_cast<std::uint32_t>(std::min(aService.queue_.Waiting(), kMax));
  demand.slackMs_ = aService.queue_.MinLaxityMs(aNowUnixMs).value_or(0);
  return demand;
}

void
BatchScheduler::ReportDemand(const std::string& aName,
                             Service& aService,
                             std::int64_t aNowUnixMs,
                             std::vector<DemandNotice>& aNotices)
{
  aService.reportedWaiting_ = aService.queue_.Waiting();
  aService.changed_ = false;
  const wire::BatchDemand demand = MakeDemand(aName, aService, aNowUnixMs);
  for (const auto& [name, credits] : aService.agents_) {
    const auto agent = agents_.find(name);
    if (credits.listed_ && agent != agents_.end() && agent->second.up_) {
      aNotices.push_back({ name, demand });
    }
  }
}

std::vector<DemandNotice>
BatchScheduler::CollectRisenFromZero(std::int64_t aNowUnixMs)
{
  std::vector<DemandNotice> notices;
  for (auto& [name, service] : services_) {
    if (service.reportedWaiting_ == 0 && service.queue_.Waiting() > 0) {
      ReportDemand(name, service, aNowUnixMs, notices);
    }
  }
  return notices;
}

std::vector<DemandNotice>
BatchScheduler::CollectChangedDemand(std::int64_t aNowUnixMs)
{
  std::vector<DemandNotice> notices;
  for (auto& [name, service] : services_) {
    if (service.changed_) {
      ReportDemand(name, service, aNowUnixMs, notices);
    }
  }
  return notices;
}

void
BatchScheduler::MarkDemandChanged()
{
  for (auto& [name, service] : services_) {
    service.changed_ = service.changed_ || service.queue_.Waiting() > 0;
  }
}

bool
BatchScheduler::IsUp(std::string_view aAgent) const
{
  const auto found = agents_.find(aAgent);
  return found != agents_.end() && found->second.up_;
}

std::vector<DemandNotice>
BatchScheduler::DemandForAgent(const std::string& aAgent,
                               std::int64_t aNowUnixMs)
{
  std::vector<DemandNotice> notices;
  for (const auto& [name, service] : services_) {
    const auto credits = service.agents_.find(aAgent);
    const bool isServed =
      credits != service.agents_.end() && credits->second.listed_;
    if (isServed && service.queue_.Waiting() > 0) {
      notices.push_back({ aAgent, MakeDemand(name, service, aNowUnixMs) });
    }
  }
  return notices;
}

std::uint64_t
BatchScheduler::Waiting(std::string_view aService) const
{
  const auto found = services_.find(aService);
  return found == services_.end() ? 0 : found->second.queue_.Waiting();
}

std::int64_t
BatchScheduler::ExpectedDurationMs(std::string_view aService,
                                   const base::JobId& aJob,
                                   std::uint32_t aRunning) const
{
  const auto found = services_.find(aService);
  return found == services_.end()
           ? 0
           : found->second.queue_.ExpectedDurationMs(aJob, aRunning);
}

} // namespace pumiceturn::jobs
