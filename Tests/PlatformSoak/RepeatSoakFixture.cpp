#include "Tests/PlatformSoak/RepeatSoakFixture.h"

#include "LibBase/Base64.h"
#include "LibHttpStream/Status.h"
#include "Tests/Platform/StandinText.h"
#include "Tests/Platform/TestRoute.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEntryHosts = 3;
constexpr std::size_t kWorkers = 2;
constexpr int kServers = 6;
constexpr int kCallers = 12;
constexpr std::size_t kOpenJobs = 4;
constexpr int kItems = 4;

/// Attempts that the routes allow.
constexpr int kMaxStreamAttempts = 2;
constexpr int kMaxItemAttempts = 3;

/// Answers after which an item mustn't reach a server again.
constexpr int kMostFailures = 3 * kMaxItemAttempts;
constexpr int kMostRejections = 3;

constexpr unsigned kAccepted = 202;
constexpr int kFailed = 500;
constexpr int kRejected = 422;

constexpr int kMeanStepsPerFault = 60;

/// One response in this many ends badly.
constexpr int kMeanResponsesPerBadEnd = 5;

/// Time without disturbances at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 2 };

/// Time after the last fault in which all items of accepted jobs are listed.
constexpr std::chrono::seconds kTimeToSettle{ 25 };

constexpr milliseconds kPatience{ 3000 };
constexpr milliseconds kDeadline{ 6000 };

/// The ids of items begin with their job's and end with their fate.
constexpr std::string_view kFailingSuffix = "-fails";
constexpr std::string_view kRejectedSuffix = "-rejected";

std::string
ItemId(const std::string& aJob, int aItem)
{
  const std::string_view fate = aItem == 0   ? kFailingSuffix
                                : aItem == 1 ? kRejectedSuffix
                                             : "-sound";
  return fmt::format("{}-{}{}", aJob, aItem, fate);
}

} // namespace

void
RepeatSoakFixture::WriteConfiguration()
{
  json resumable = MakeTestRoute("resumable", "stream");
  resumable["resumable"] = true;
  resumable["maxAttempts"] = kMaxStreamAttempts;
  resumable["timeoutMs"] = Draw(6000, 20000).count();
  json once = MakeTestRoute("once", "stream");
  once["maxAttempts"] = 1;
  json lots = MakeTestRoute("lots", "batch");
  lots["maxAttempts"] = kMaxItemAttempts;
  store_.Put("op/config",
             json{ { "version", ++version_ },
                   { "routes", { resumable, once, lots } },
                   { "services",
                     { { { "name", "service" },
                         { "maxConns", 200 },
                         { "healthPath", "/health" } } } } }
               .dump());
}

void
RepeatSoakFixture::AddServer()
{
  // Stays bound without listening, so that nobody else gets the port while the
  // server is down.
  boost::asio::ip::tcp::socket holder(context_, boost::asio::ip::tcp::v4());
  holder.set_option(boost::asio::socket_base::reuse_address(true));
  holder.bind(Loopback(0));
  const std::uint16_t port = holder.local_endpoint().port();
  reservedPorts_.push_back(std::move(holder));
  const std::string id = fmt::format("i-{}", servers_.size() + 1);
  processes_.push_back(std::make_unique<FaultyServer>(
    context_, id, 1, port, [this](std::string_view aId) {
      return PlanFor(aId);
    }));
  servers_.push_back(processes_.back().get());
  store_.Put("servers/" + id, servers_.back()->Registration());
}

ServerPlan
RepeatSoakFixture::PlanFor(std::string_view aRequestId)
{
  ServerPlan plan;
  plan.work_ = Draw(5, 150);
  if (aRequestId.ends_with(kFailingSuffix)) {
    plan.status_ = kFailed;
  } else if (aRequestId.ends_with(kRejectedSuffix)) {
    plan.status_ = kRejected;
  }
  const bool isOk = plan.status_ == httpstream::kStatusOk;
  // Failing items get few good ends, as what follows the head mustn't matter.
  const bool isBad =
    !areFaultsOver_ && (!isOk || DrawOneIn(kMeanResponsesPerBadEnd));
  if (isBad) {
    plan.end_ = static_cast<ResponseEnd>(
      Draw(0, static_cast<int>(ResponseEnd::Silent)).count());
  }
  return plan;
}

void
RepeatSoakFixture::RestartServer(std::size_t aIndex)
{
  FaultyServer& former = *servers_[aIndex];
  if (former.EndedAt()) {
    return;
  }
  ++counts_.serverEnds_;
  former.End();
  RunAfter(Draw(10, 1500), [this, aIndex, &former] {
    processes_.push_back(std::make_unique<FaultyServer>(
      context_,
      former.Id(),
      former.StartTime() + 1,
      former.Port(),
      [this](std::string_view aId) { return PlanFor(aId); }));
    servers_[aIndex] = processes_.back().get();
    RunAfter(Draw(0, 500), [this, aIndex, &next = *processes_.back()] {
      if (servers_[aIndex] == &next) {
        store_.Put("servers/" + next.Id(), next.Registration());
      }
    });
  });
}

void
RepeatSoakFixture::DisturbServer()
{
  const auto index = static_cast<std::size_t>(
    Draw(0, static_cast<int>(servers_.size()) - 1).count());
  switch (Draw(0, 3).count()) {
    case 0:
      RestartServer(index);
      break;
    case 1:
      servers_[index]->StopAccepting(Draw(50, 800));
      break;
    default:
      // At its limit, perhaps with others.
      for (FaultyServer* server : servers_) {
        if (server == servers_[index] || DrawOneIn(3)) {
          server->SetResetsNewConnections(true);
          RunAfter(Draw(100, 1500),
                   [server] { server->SetResetsNewConnections(false); });
        }
      }
  }
}

void
RepeatSoakFixture::DisturbHost()
{
  Host& host = *hosts_[static_cast<std::size_t>(
    Draw(0, static_cast<int>(hosts_.size()) - 1).count())];
  if (host.startAt_) {
    return;
  }
  switch (Draw(0, 3).count()) {
    case 0:
      SuspendHosts();
      break;
    case 1:
      TerminateHost(host);
      break;
    case 2:
      HangUpHost(host);
      break;
    default:
      KillHost(host, Draw(0, 1500));
  }
}

void
RepeatSoakFixture::DisturbSomething()
{
  constexpr StoreDisturbance kStoreDisturbance{ 300, 2, 2000 };
  switch (Draw(0, 7).count()) {
    case 0:
      WriteConfiguration();
      break;
    case 1:
      DisturbStore(kStoreDisturbance);
      break;
    case 2:
      LoseStoreAnswers();
      break;
    case 3:
    case 4:
      DisturbHost();
      break;
    default:
      DisturbServer();
  }
}

std::shared_ptr<CallerRequest>
RepeatSoakFixture::MakeRequest()
{
  auto request = std::make_shared<CallerRequest>();
  const bool isResumable = DrawOneIn(2);
  request->id_ =
    fmt::format("r{}-{}", ++nextId_, isResumable ? "resumable" : "once");
  request->bytes_ = fmt::format("POST /{}/1 HTTP/1.1\r\nHost: a.example\r\n"
                                "Attempt-Id: {}\r\nDeadline-Ms: {}\r\n"
                                "Content-Length: 6\r\n\r\nprompt",
                                isResumable ? "resumable" : "once",
                                request->id_,
                                kDeadline.count());
  request->patience_ = kPatience;
  request->deadline_ = kDeadline;
  requests_.push_back(request);
  return request;
}

boost::asio::awaitable<void>
RepeatSoakFixture::RunCaller()
{
  boost::asio::steady_timer timer(context_);
  while (!areFaultsOver_) {
    const Host& host = DrawEntryHost();
    auto connection = std::make_shared<CallerConnection>(context_);
    const boost::asio::ip::tcp::endpoint address(
      boost::asio::ip::make_address(host.process_->Settings().ip_),
      GatewayProcess::kCallerPort);
    const CallerConnection::ReadPace pace;
    bool isOpen = co_await connection->Connect(address, pace);
    while (isOpen && !areFaultsOver_) {
      CallerConnection::Requests requests;
      requests.push_back(MakeRequest());
      isOpen = co_await connection->Exchange(std::move(requests));
      timer.expires_after(Draw(5, 50));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    timer.expires_after(Draw(20, 100));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

void
RepeatSoakFixture::AddJob()
{
  auto job = std::make_unique<Job>();
  job->id_ = fmt::format("job{}", ++nextId_);
  ++counts_.jobs_;
  jobs_.push_back(std::move(job));
}

bool
RepeatSoakFixture::IsListed(const Job& aJob)
{
  return aJob.states_.size() == kItems;
}

void
RepeatSoakFixture::FollowOwner(Job& aJob)
{
  const std::string text = store_.Get("pumiceturn/lot/" + aJob.id_);
  const std::string owner = text.empty()
                              ? std::string()
                              : json::parse(text)["owner"].get<std::string>();
  if (!owner.empty() && owner != aJob.owner_) {
    aJob.ownerChanges_ += aJob.owner_.empty() ? 0 : 1;
    aJob.owner_ = owner;
  }
}

void
RepeatSoakFixture::StepJob(Job& aJob)
{
  FollowOwner(aJob);
  if (aJob.call_ && aJob.call_->HasEnded()) {
    EndJobCall(aJob);
    aJob.call_.reset();
    aJob.nextCallAt_ = Clock::now() + milliseconds(300);
  }
  if (aJob.call_ || IsListed(aJob) || Clock::now() < aJob.nextCallAt_) {
    return;
  }
  json items = json::array();
  for (int item = 0; item < kItems && !aJob.isAccepted_; ++item) {
    items.push_back({ { "id", ItemId(aJob.id_, item) },
                      { "path", "/lots/1" },
                      { "headers", { { "Model", "m" } } },
                      { "body", base::EncodeBase64("prompt") },
                      { "tokens", 9 } });
  }
  const Host& host = DrawEntryHost();
  const boost::asio::ip::tcp::endpoint address{
    boost::asio::ip::make_address(host.process_->Settings().ip_),
    GatewayProcess::kCallerPort
  };
  aJob.call_ =
    aJob.isAccepted_
      ? SendTo(address, "GET", "/api/lots/" + aJob.id_ + "?after=0", {}, {})
      : SendTo(address,
               "POST",
               "/lots/" + aJob.id_,
               "Attempt-Id: " + aJob.id_ + "\r\n",
               json{ { "items", std::move(items) } }.dump());
}

void
RepeatSoakFixture::EndJobCall(Job& aJob)
{
  const CallerCall& call = *aJob.call_;
  if (!aJob.isAccepted_) {
    aJob.isAccepted_ = call.status_ == kAccepted;
    return;
  }
  if (call.status_ != httpstream::kStatusOk ||
      call.outcome_ != httpstream::CallOutcome::Complete) {
    return;
  }
  const json page = json::parse(call.body_);
  for (const json& result : page["results"]) {
    const std::string item = result["id"];
    aJob.states_[item] = result["state"];
    if (result["state"] == "completed" && result["output"] != WholeOutput()) {
      violations_.push_back(item + ": its output isn't whole");
    }
  }
}

void
RepeatSoakFixture::Settle()
{
  areFaultsOver_ = true;
  for (FaultyServer* server : servers_) {
    server->SetResetsNewConnections(false);
  }
  const auto end = Clock::now() + kTimeToSettle;
  const auto isDone = [this] {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
      return !aJob->isAccepted_ || IsListed(*aJob);
    });
  };
  while (Clock::now() < end && !isDone()) {
    RunStep();
    for (const auto& job : jobs_) {
      StepJob(*job);
    }
  }
}

void
RepeatSoakFixture::CheckRequests()
{
  for (const auto& request : requests_) {
    ++counts_.requests_;
    counts_.whole_ += request->body_ == WholeStream() ? 1 : 0;
    const int most =
      request->id_.ends_with("resumable") ? kMaxStreamAttempts : 1;
    int all = 0;
    int counted = 0;
    for (const auto& process : processes_) {
      const auto& runs = process->Runs();
      const auto run =
        std::find_if(runs.begin(), runs.end(), [&request](const auto& aRun) {
          return aRun.requestId_ == request->id_;
        });
      if (run == runs.end()) {
        continue;
      }
      ++all;
      // A process that ended meanwhile doesn't count.
      const bool hasEnded =
        process->EndedAt() && *process->EndedAt() < run->arrivedAt_ + kDeadline;
      counted += hasEnded ? 0 : 1;
    }
    counts_.repeated_ += all > 1 ? 1 : 0;
    if (counted > most) {
      violations_.push_back(
        fmt::format("{}: ran at {} servers", request->id_, counted));
    }
  }
}

std::map<std::string, RepeatSoakFixture::ItemRuns>
RepeatSoakFixture::CollectItemRuns() const
{
  std::vector<FaultyServer::Run> runs;
  for (const auto& process : processes_) {
    runs.insert(runs.end(), process->Runs().begin(), process->Runs().end());
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.arrivedAt_ < aRight.arrivedAt_;
    });
  std::map<std::string, ItemRuns> items;
  for (const FaultyServer::Run& run : runs) {
    ItemRuns& item = items[run.requestId_];
    const bool isLate =
      item.failures_ >= kMostFailures || item.rejections_ >= kMostRejections;
    item.late_ += isLate ? 1 : 0;
    item.failures_ += run.answeredStatus_ == kFailed ? 1 : 0;
    item.rejections_ += run.answeredStatus_ == kRejected ? 1 : 0;
  }
  return items;
}

void
RepeatSoakFixture::CheckItem(const Job& aJob,
                             const std::string& aItem,
                             const ItemRuns& aRuns)
{
  const auto state = aJob.states_.find(aItem);
  const bool isErrored =
    state != aJob.states_.end() && state->second == "errored";
  const bool mayBeErrored =
    aRuns.failures_ >= kMaxItemAttempts || aRuns.rejections_ > 0;
  if (isErrored && !mayBeErrored) {
    violations_.push_back(
      fmt::format("{}: errored after {} failures", aItem, aRuns.failures_));
  }
  if (aRuns.late_ > 0) {
    violations_.push_back(
      fmt::format("{}: ran {} times after {} answers of 500 and {} of 422",
                  aItem,
                  aRuns.late_,
                  aRuns.failures_,
                  aRuns.rejections_));
  }
  // Each owner that is lost may take one answer with it.
  const int beyond =
    std::max(aRuns.failures_ - kMaxItemAttempts, aRuns.rejections_ - 1);
  counts_.itemsBeyondMaximum_ += beyond > 0 ? 1 : 0;
  counts_.mostFailures_ = std::max(counts_.mostFailures_, aRuns.failures_);
  if (beyond > aJob.ownerChanges_) {
    violations_.push_back(
      fmt::format("{}: {} answers of 500 and {} of 422, {} changes of owner",
                  aItem,
                  aRuns.failures_,
                  aRuns.rejections_,
                  aJob.ownerChanges_));
  }
}

void
RepeatSoakFixture::CheckItems()
{
  auto items = CollectItemRuns();
  for (const auto& job : jobs_) {
    counts_.ownerChanges_ += job->ownerChanges_;
    if (job->isAccepted_ && !IsListed(*job)) {
      violations_.push_back(fmt::format("{}: {} of {} items are listed",
                                        job->id_,
                                        job->states_.size(),
                                        kItems));
    }
    for (int index = 0; index < kItems; ++index) {
      const std::string item = ItemId(job->id_, index);
      const ItemRuns& runs = items[item];
      counts_.failingItems_ += runs.failures_ + runs.rejections_ > 0 ? 1 : 0;
      CheckItem(*job, item, runs);
    }
  }
}

void
RepeatSoakFixture::Run(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  random_.seed(aSeed);
  WriteConfiguration();
  for (int server = 0; server < kServers; ++server) {
    AddServer();
  }
  StartHosts(kEntryHosts, kWorkers, {});
  const auto startedAt = Clock::now();
  for (int caller = 0; caller < kCallers; ++caller) {
    boost::asio::co_spawn(context_, RunCaller(), boost::asio::detached);
  }
  while (Clock::now() < startedAt + aTime) {
    RunStep();
    const auto open =
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
        return !IsListed(*aJob);
      });
    if (static_cast<std::size_t>(open) < kOpenJobs) {
      AddJob();
    }
    for (const auto& job : jobs_) {
      StepJob(*job);
    }
    if (Clock::now() > startedAt + kCalmTime && DrawOneIn(kMeanStepsPerFault)) {
      DisturbSomething();
    }
  }
  Settle();
  for (const auto& process : processes_) {
    counts_.resetConnections_ += process->ResetCount();
    counts_.itemRuns_ += static_cast<int>(
      std::count_if(process->Runs().begin(),
                    process->Runs().end(),
                    [](const FaultyServer::Run& aRun) {
                      return aRun.requestId_.starts_with("job");
                    }));
  }
  CheckRequests();
  CheckItems();
  CheckProcesses();
}

} // namespace pumiceturn::adapter
