#include "Tests/PlatformSoak/SoakFixture.h"

#include "LibBase/Base64.h"
#include "Tests/Platform/TestRoute.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEntryHosts = 2;
constexpr std::size_t kWorkers = 3;
constexpr std::size_t kServers = 3;

/// The configuration has routes for its own version number and this many before
/// it, so that probes can request them.
constexpr int kRetainedVersions = 5;

/// Duration of a step.
constexpr milliseconds kStep{ 10 };

/// Mean number of steps between two actions of a kind.
constexpr std::uint64_t kStepsPerOnlineRequest = 3;
constexpr std::uint64_t kStepsPerJob = 60;
constexpr std::uint64_t kStepsPerRead = 5;
constexpr std::uint64_t kStepsPerProbe = 15;
constexpr std::uint64_t kStepsPerFault = 40;
constexpr std::uint64_t kMaxItems = 8;
constexpr milliseconds kResendDelay{ 300 };

/// Stops a run that hangs; the result doesn't depend on it.
constexpr std::chrono::seconds kHangTimeout{ 120 };

/// A job accepted while the store is unavailable is spooled to disk first; the
/// platform allows 1 s until every host must know it.
constexpr std::chrono::seconds kJobVisibilityDelay{ 1 };

/// The platform regards a host that has just started as out of contact for this
/// time.
constexpr std::chrono::seconds kOutOfContactTime{ 3 };

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

nlohmann::json
MakeRoute(const std::string& aName, const std::string& aKind, bool aIsResumable)
{
  nlohmann::json route = MakeTestRoute(aName, aKind);
  route["sloMs"] = 700;
  route["maxAttempts"] = 3;
  route["resumable"] = aIsResumable;
  route["maxWaitS"] = 600;
  return route;
}

bool
IsRefusal(unsigned aStatus)
{
  return aStatus == kUnavailable || aStatus == kTooMany;
}

std::string
FormatAddress(const boost::asio::ip::tcp::endpoint& aAddress)
{
  return fmt::format("{}:{}", aAddress.address().to_string(), aAddress.port());
}

} // namespace

SoakFixture::SoakFixture()
  : folder_(std::filesystem::temp_directory_path() /
            fmt::format("pumiceturn-soak-{}", ::getpid()))
  , store_(context_)
{
  std::filesystem::create_directories(folder_);
  store_.EnableLeaseExpiry();
}

SoakFixture::~SoakFixture()
{
  hosts_.clear();
  // The logs of a run with violations are kept.
  if (violations_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::uint64_t
SoakFixture::RandomBelow(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(random_);
}

SoakFixture::Host&
SoakFixture::RandomEntryHost()
{
  return *hosts_[RandomBelow(kEntryHosts)];
}

void
SoakFixture::RunAfter(milliseconds aTime, std::function<void()> aAction)
{
  scheduled_.push_back({ Clock::now() + aTime, std::move(aAction) });
}

void
SoakFixture::AddViolation(const std::string& aWhat)
{
  violations_.push_back(aWhat);
}

void
SoakFixture::WriteConfiguration()
{
  version_ += 1 + static_cast<int>(RandomBelow(3));
  json routes = { MakeRoute("look-up", "stream", true),
                  MakeRoute("booking", "unsafe", false),
                  MakeRoute("lots", "batch", true) };
  for (int version = std::max(1, version_ - kRetainedVersions);
       version <= version_;
       ++version) {
    routes.push_back(MakeRoute(fmt::format("v{}", version), "stream", true));
  }
  store_.Put("op/config",
             json{ { "version", version_ },
                   { "routes", std::move(routes) },
                   { "services", { { { "name", "service" } } } } }
               .dump());
}

void
SoakFixture::StartFleet()
{
  WriteConfiguration();
  for (std::size_t index = 0; index < kServers; ++index) {
    const std::string id = fmt::format("i-{}", index + 1);
    Server server;
    server.standin_ = std::make_unique<ServerStandin>(context_, id);
    const std::string standinAddress = server.standin_->Address();
    const auto port = static_cast<std::uint16_t>(
      std::stoi(standinAddress.substr(standinAddress.rfind(':') + 1)));
    server.proxy_ = std::make_unique<FaultProxy>(context_, Loopback(port));
    json entry = json::parse(server.standin_->Registration("service", "ready"));
    entry["address"] = FormatAddress(server.proxy_->Address());
    store_.Put("servers/" + id, entry.dump());
    servers_.push_back(std::move(server));
  }
  // Drawn from the seed, so that concurrent runs with other seeds use other
  // addresses.
  const std::string network =
    fmt::format("127.{}.{}", 20 + RandomBelow(200), 1 + RandomBelow(250));
  for (std::size_t index = 0; index < kEntryHosts + kWorkers; ++index) {
    auto host = std::make_unique<Host>();
    host->storePort_ = store_.OpenPort();
    host->storeProxy_ =
      std::make_unique<FaultProxy>(context_, Loopback(host->storePort_));
    GatewayProcess::HostSettings settings;
    settings.isEntry_ = index < kEntryHosts;
    settings.name_ =
      fmt::format("{}-{}",
                  settings.isEntry_ ? "entry" : "worker",
                  settings.isEntry_ ? index + 1 : index + 1 - kEntryHosts);
    settings.ip_ = fmt::format("{}.{}", network, index + 10);
    settings.store_ = FormatAddress(host->storeProxy_->Address());
    host->process_ = std::make_unique<GatewayProcess>(settings, folder_);
    host->process_->Start();
    host->startedAt_ = Clock::now();
    hosts_.push_back(std::move(host));
  }
}

void
SoakFixture::Send(Host& aHost,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aFields,
                  const std::string& aBody,
                  std::function<void(const CallerCall&)> aOnEnd)
{
  const boost::asio::ip::tcp::endpoint address(
    boost::asio::ip::make_address(aHost.process_->Settings().ip_),
    GatewayProcess::kCallerPort);
  pending_.push_back(
    { SendTo(address, aMethod, aTarget, aFields, aBody), std::move(aOnEnd) });
}

void
SoakFixture::SendOnline()
{
  const bool isNonIdempotent = RandomBelow(3) == 0;
  const std::string id = fmt::format("r{}", ++nextId_);
  if (isNonIdempotent) {
    nonIdempotent_.insert(id);
  }
  Send(RandomEntryHost(),
       "POST",
       fmt::format("/{}/pause-{}",
                   isNonIdempotent ? "booking" : "look-up",
                   RandomBelow(200)),
       fmt::format("Attempt-Id: {}\r\nDeadline-Ms: 9000\r\n", id),
       {},
       [this, id](const CallerCall& aCall) { CheckOnline(id, aCall); });
}

void
SoakFixture::CheckOnline(const std::string& aId, const CallerCall& aCall)
{
  const bool isComplete = aCall.outcome_ == httpstream::CallOutcome::Complete;
  if (isComplete && aCall.status_ == kOk && aCall.body_ != WholeStream()) {
    AddViolation(aId + ": a complete response differs from the server's");
  }
  if (isComplete && aCall.status_ == kNotFound) {
    AddViolation(aId + ": 404 for a route that is in all versions");
  }
  if (isComplete && IsRefusal(aCall.status_)) {
    refused_.insert(aId);
    ++counts_.refusals_;
  } else {
    ++(isComplete && aCall.status_ == kOk ? counts_.completeResponses_
                                          : counts_.otherOutcomes_);
  }
}

void
SoakFixture::ProbeConfiguration()
{
  Host& host = RandomEntryHost();
  const int version =
    std::max(1, version_ - static_cast<int>(RandomBelow(kRetainedVersions)));
  const int appliedWhenSent = host.appliedVersion_;
  Send(host,
       "POST",
       fmt::format("/v{}/1", version),
       fmt::format("Attempt-Id: p{}\r\nDeadline-Ms: 9000\r\n", ++nextId_),
       {},
       [this, &host, version, appliedWhenSent](const CallerCall& aCall) {
         if (aCall.outcome_ != httpstream::CallOutcome::Complete) {
           return;
         }
         const bool isOlder =
           aCall.status_ == kNotFound && version <= appliedWhenSent;
         // Ignores a 404 from a host that was restarted meanwhile: it may not
         // have read the newest version yet.
         if (isOlder && version > version_ - kRetainedVersions &&
             host.appliedVersion_ >= appliedWhenSent) {
           AddViolation(fmt::format("{}: version {} is no longer in force",
                                    host.process_->Settings().name_,
                                    version));
         }
         if (aCall.status_ == kOk) {
           host.appliedVersion_ = std::max(host.appliedVersion_, version);
         }
       });
}

void
SoakFixture::SendJob(BatchJob& aJob)
{
  aJob.sendAt_ = Clock::time_point::max();
  json items = json::array();
  for (std::size_t item = 0; item < aJob.items_; ++item) {
    items.push_back({ { "id", fmt::format("{}-{}", aJob.id_, item) },
                      { "path", fmt::format("/lots/pause-{}", 50 * item) },
                      { "headers", { { "Model", "m" } } },
                      { "body", base::EncodeBase64("prompt") },
                      { "tokens", 9 } });
  }
  Send(RandomEntryHost(),
       "POST",
       "/lots/1",
       "Attempt-Id: " + aJob.id_ + "\r\n",
       json{ { "items", std::move(items) } }.dump(),
       [this, &aJob](const CallerCall& aCall) {
         const bool isComplete =
           aCall.outcome_ == httpstream::CallOutcome::Complete;
         if (isComplete && aCall.status_ == kAccepted) {
           aJob.isAccepted_ = true;
           aJob.acceptedAt_ = Clock::now();
           return;
         }
         if (isComplete && aCall.status_ == kNotFound) {
           AddViolation(aJob.id_ + ": 404 for the batch route");
         }
         aJob.sendAt_ = Clock::now() + kResendDelay;
       });
}

bool
SoakFixture::MustBeKnown(const BatchJob& aJob, const Host& aHost)
{
  const auto now = Clock::now();
  return now - aJob.acceptedAt_ > kJobVisibilityDelay &&
         now - aHost.startedAt_ > kOutOfContactTime;
}

void
SoakFixture::ReadJob(BatchJob& aJob, Host& aHost, std::size_t aPosition)
{
  Send(aHost,
       "GET",
       fmt::format("/api/lots/{}?after={}", aJob.id_, aPosition),
       {},
       {},
       [this, &aJob, aPosition, mustBeKnown = MustBeKnown(aJob, aHost)](
         const CallerCall& aCall) {
         if (aCall.outcome_ != httpstream::CallOutcome::Complete) {
           return;
         }
         if (aCall.status_ == kNotFound && mustBeKnown) {
           AddViolation(aJob.id_ + ": 404 for an accepted job");
         } else if (aCall.status_ == kOk) {
           CheckPage(aJob, aPosition, aCall.body_);
         }
       });
}

void
SoakFixture::ReadItemBody(const BatchJob& aJob, Host& aHost)
{
  Send(aHost,
       "GET",
       fmt::format("/api/items/{}?id={}-0", aJob.id_, aJob.id_),
       {},
       {},
       [this, &aJob, mustBeKnown = MustBeKnown(aJob, aHost)](
         const CallerCall& aCall) {
         if (aCall.outcome_ != httpstream::CallOutcome::Complete) {
           return;
         }
         if ((aCall.status_ == kNotFound && mustBeKnown) ||
             (aCall.status_ == kOk && aCall.body_ != "prompt")) {
           AddViolation(aJob.id_ + ": an item's body is missing or differs");
         }
       });
}

void
SoakFixture::CheckPage(BatchJob& aJob,
                       std::size_t aPosition,
                       const std::string& aBody)
{
  const json page = json::parse(aBody);
  if (page["total"] != aJob.items_) {
    AddViolation(aJob.id_ + ": wrong number of items");
  }
  std::size_t position = aPosition;
  for (const json& result : page["results"]) {
    const std::string text = result.dump();
    const auto [known, isNew] = aJob.results_.try_emplace(position, text);
    if (known->second != text) {
      AddViolation(fmt::format("{}: position {} changed", aJob.id_, position));
    }
    if (isNew &&
        (result["state"] != "completed" || result["output"] != WholeOutput())) {
      AddViolation(
        fmt::format("{}: position {}: {}", aJob.id_, position, text));
    }
    ++position;
  }
}

void
SoakFixture::CheckServers()
{
  std::map<std::string, int> runs;
  for (const Server& server : servers_) {
    for (const httpstream::Request& request : server.standin_->Requests()) {
      ++runs[std::string(httpstream::ValueOf(request, "Attempt-Id"))];
    }
  }
  for (const std::string& id : refused_) {
    if (runs.contains(id)) {
      AddViolation(id + ": ran although it was reported as not run");
    }
  }
  for (const std::string& id : nonIdempotent_) {
    if (const auto run = runs.find(id); run != runs.end() && run->second > 1) {
      AddViolation(id + ": ran more than once");
    }
  }
}

void
SoakFixture::CheckJobs()
{
  for (const auto& job : jobs_) {
    std::set<std::string> items;
    for (const auto& [position, text] : job->results_) {
      items.insert(json::parse(text)["id"].get<std::string>());
    }
    if (items.size() != job->items_ || job->results_.size() != job->items_) {
      AddViolation(job->id_ + ": an item is missing or listed twice");
    }
  }
}

void
SoakFixture::KillProcess(Host& aHost)
{
  aHost.process_->ExpectEnd();
  aHost.process_->Signal(SIGKILL);
}

void
SoakFixture::StopProcess(Host& aHost)
{
  aHost.process_->ExpectEnd();
  aHost.process_->Signal(SIGTERM);
}

void
SoakFixture::SuspendProcess(Host& aHost)
{
  aHost.process_->Signal(SIGSTOP);
  RunAfter(milliseconds(200 + RandomBelow(4000)),
           [&aHost] { aHost.process_->Signal(SIGCONT); });
}

void
SoakFixture::InjectNetworkFault(FaultProxy& aProxy)
{
  switch (RandomBelow(5)) {
    case 0:
      aProxy.ResetConnections();
      return;
    case 1:
      aProxy.BlockOpenConnections();
      return;
    case 2:
      aProxy.SetDelay(milliseconds(20 + RandomBelow(300)));
      break;
    case 3:
      aProxy.SetBlocked(true, true);
      break;
    default:
      aProxy.SetBlocked(RandomBelow(2) == 0, true);
      break;
  }
  RunAfter(milliseconds(200 + RandomBelow(4000)), [&aProxy] {
    aProxy.SetDelay(milliseconds(0));
    aProxy.SetBlocked(false, false);
  });
}

void
SoakFixture::InjectStoreFault()
{
  constexpr std::array kBehaviours{ StoreBehaviour::Refusing,
                                    StoreBehaviour::DroppingWriteResponses,
                                    StoreBehaviour::DelayingWriteResponses };
  store_.SetBehaviour(kBehaviours.at(RandomBelow(kBehaviours.size())));
  RunAfter(milliseconds(200 + RandomBelow(4000)),
           [this] { store_.SetBehaviour(StoreBehaviour::Serving); });
}

void
SoakFixture::InjectFault()
{
  ++counts_.faults_;
  Host& host = *hosts_[RandomBelow(hosts_.size())];
  switch (RandomBelow(9)) {
    case 0:
      KillProcess(host);
      break;
    case 1:
      StopProcess(host);
      break;
    case 2:
      SuspendProcess(host);
      break;
    case 3:
      host.process_->Signal(SIGHUP);
      break;
    case 4:
      InjectNetworkFault(*host.storeProxy_);
      break;
    case 5:
      InjectNetworkFault(*servers_[RandomBelow(servers_.size())].proxy_);
      break;
    case 6:
      InjectStoreFault();
      break;
    case 7:
      store_.Compact();
      break;
    default:
      WriteConfiguration();
      break;
  }
}

void
SoakFixture::RunScheduled(bool aAll)
{
  const auto now = Clock::now();
  auto scheduled = std::exchange(scheduled_, {});
  for (ScheduledAction& action : scheduled) {
    if (aAll || action.at_ <= now) {
      action.action_();
    } else {
      scheduled_.push_back(std::move(action));
    }
  }
}

void
SoakFixture::RestartEndedProcesses()
{
  for (const auto& host : hosts_) {
    if (!host->process_->CheckRunning()) {
      host->appliedVersion_ = 0;
      host->startedAt_ = Clock::now();
      ++counts_.restarts_;
      host->process_->Start();
    }
  }
}

void
SoakFixture::Step()
{
  context_.run_for(kStep);
  RunScheduled(false);
  for (std::size_t index = 0; index < pending_.size();) {
    if (!pending_[index].call_->HasEnded()) {
      ++index;
      continue;
    }
    const Pending ended = std::move(pending_[index]);
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    ended.onEnd_(*ended.call_);
  }
  for (const auto& job : jobs_) {
    if (!job->isAccepted_ && job->sendAt_ <= Clock::now()) {
      SendJob(*job);
    }
  }
  if (!jobs_.empty() && RandomBelow(kStepsPerRead) == 0) {
    BatchJob& job = *jobs_[RandomBelow(jobs_.size())];
    if (job.isAccepted_) {
      ReadJob(job, RandomEntryHost(), RandomBelow(job.results_.size() + 1));
      ReadItemBody(job, RandomEntryHost());
    }
  }
  if (RandomBelow(isFaultFree_ ? kStepsPerOnlineRequest * 10
                               : kStepsPerOnlineRequest) == 0) {
    SendOnline();
  }
  // Restarts ended processes after a random delay while faults are injected.
  if (isFaultFree_ || RandomBelow(kStepsPerFault) == 0) {
    RestartEndedProcesses();
  }
}

bool
SoakFixture::AreAllComplete() const
{
  return pending_.empty() &&
         std::all_of(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
           return aJob->results_.size() >= aJob->items_;
         });
}

void
SoakFixture::RunToCompletion()
{
  isFaultFree_ = true;
  RunScheduled(true);
  for (const auto& host : hosts_) {
    host->process_->Signal(SIGCONT);
  }
  const auto until = Clock::now() + kHangTimeout;
  const auto stepUntil = [this, until](const auto& aIsDone) {
    while (!aIsDone() && Clock::now() < until) {
      Step();
    }
  };
  // Reads until all results are known.
  stepUntil([this] {
    for (const auto& job : jobs_) {
      if (job->results_.size() < job->items_ && job->isAccepted_ &&
          RandomBelow(10) == 0) {
        ReadJob(*job, RandomEntryHost(), 0);
      }
    }
    return AreAllComplete();
  });
  // Reads each job completely at every entry host to compare the results.
  for (const auto& job : jobs_) {
    for (std::size_t entry = 0; entry < kEntryHosts && job->isAccepted_;
         ++entry) {
      ReadJob(*job, *hosts_[entry], 0);
    }
  }
  stepUntil([this] { return pending_.empty(); });
}

void
SoakFixture::Run(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  random_.seed(aSeed);
  StartFleet();
  const auto until = Clock::now() + aTime;
  while (Clock::now() < until) {
    Step();
    if (RandomBelow(kStepsPerJob) == 0) {
      auto job = std::make_unique<BatchJob>();
      job->id_ = fmt::format("lot{}", ++nextId_);
      job->items_ = 1 + RandomBelow(kMaxItems);
      ++counts_.jobs_;
      counts_.items_ += static_cast<int>(job->items_);
      jobs_.push_back(std::move(job));
    }
    if (RandomBelow(kStepsPerProbe) == 0) {
      ProbeConfiguration();
    }
    if (RandomBelow(kStepsPerFault) == 0) {
      InjectFault();
    }
  }
  RunToCompletion();
  CheckServers();
  CheckJobs();
  for (const auto& host : hosts_) {
    if (host->process_->CrashCount() > 0) {
      AddViolation(host->process_->Settings().name_ + ": ended unexpectedly");
    }
  }
}

} // namespace pumiceturn::adapter
