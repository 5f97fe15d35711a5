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

constexpr std::size_t kEntries = 2;
constexpr std::size_t kWorkers = 3;
constexpr std::size_t kServers = 3;

/// Routes of the last versions that stay, so that old ones can be asked for.
constexpr int kVersionsKept = 5;

/// Work begun at each step of kStep, as one in so many.
constexpr milliseconds kStep{ 10 };
constexpr std::uint64_t kStepsToOnline = 3;
constexpr std::uint64_t kStepsToJob = 60;
constexpr std::uint64_t kStepsToRead = 5;
constexpr std::uint64_t kStepsToProbe = 15;
constexpr std::uint64_t kStepsToFault = 40;
constexpr std::uint64_t kMostItems = 8;
constexpr milliseconds kResendPause{ 300 };

/// A bound for what must happen in the end; no verdict depends on how fast.
constexpr std::chrono::seconds kRecoveryBound{ 120 };

/// A job that was accepted while the store was away is on disks first, and the
/// platform gives a host a second until it must know it.
constexpr std::chrono::seconds kSettle{ 1 };

/// A host that has just started has no memory of an outage; the platform counts
/// it as out of touch for so long.
constexpr std::chrono::seconds kOutOfTouch{ 3 };

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
Text(const boost::asio::ip::tcp::endpoint& aAddress)
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
  store_.LetLeasesLapse();
}

SoakFixture::~SoakFixture()
{
  hosts_.clear();
  // The logs of a run that broke a promise are a finding, and stay.
  if (violations_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::uint64_t
SoakFixture::Draw(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(random_);
}

SoakFixture::Host&
SoakFixture::DrawEntry()
{
  return *hosts_[Draw(kEntries)];
}

void
SoakFixture::After(milliseconds aTime, std::function<void()> aAction)
{
  undos_.push_back({ Clock::now() + aTime, std::move(aAction) });
}

void
SoakFixture::Violate(const std::string& aWhat)
{
  violations_.push_back(aWhat);
}

void
SoakFixture::WriteConfiguration()
{
  version_ += 1 + static_cast<int>(Draw(3));
  json routes = { MakeRoute("look-up", "stream", true),
                  MakeRoute("booking", "unsafe", false),
                  MakeRoute("lots", "batch", true) };
  for (int version = std::max(1, version_ - kVersionsKept); version <= version_;
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
    const std::string own = server.standin_->Address();
    const auto port =
      static_cast<std::uint16_t>(std::stoi(own.substr(own.rfind(':') + 1)));
    server.way_ = std::make_unique<FaultProxy>(context_, Loopback(port));
    json entry = json::parse(server.standin_->Registration("service", "ready"));
    entry["address"] = Text(server.way_->Address());
    store_.Put("servers/" + id, entry.dump());
    servers_.push_back(std::move(server));
  }
  // Addresses of their own for this run.
  const std::string network =
    fmt::format("127.{}.{}", 20 + Draw(200), 1 + Draw(250));
  for (std::size_t index = 0; index < kEntries + kWorkers; ++index) {
    auto host = std::make_unique<Host>();
    host->storePort_ = store_.OpenPort();
    host->wayToStore_ =
      std::make_unique<FaultProxy>(context_, Loopback(host->storePort_));
    GatewayProcess::Place place;
    place.isEntry_ = index < kEntries;
    place.name_ =
      fmt::format("{}-{}",
                  place.isEntry_ ? "entry" : "worker",
                  place.isEntry_ ? index + 1 : index + 1 - kEntries);
    place.ip_ = fmt::format("{}.{}", network, index + 10);
    place.store_ = Text(host->wayToStore_->Address());
    host->process_ = std::make_unique<GatewayProcess>(place, folder_);
    host->process_->Start();
    host->startedAt_ = Clock::now();
    hosts_.push_back(std::move(host));
  }
}

void
SoakFixture::Ask(Host& aHost,
                 const std::string& aMethod,
                 const std::string& aTarget,
                 const std::string& aFields,
                 const std::string& aBody,
                 std::function<void(const CallerCall&)> aOnEnd)
{
  const boost::asio::ip::tcp::endpoint address(
    boost::asio::ip::make_address(aHost.process_->Where().ip_),
    GatewayProcess::kCallerPort);
  pending_.push_back(
    { SendTo(address, aMethod, aTarget, aFields, aBody), std::move(aOnEnd) });
}

void
SoakFixture::SendOnline()
{
  const bool mayRunOnce = Draw(3) == 0;
  const std::string id = fmt::format("r{}", ++nextId_);
  if (mayRunOnce) {
    once_.insert(id);
  }
  Ask(
    DrawEntry(),
    "POST",
    fmt::format("/{}/pause-{}", mayRunOnce ? "booking" : "look-up", Draw(200)),
    fmt::format("Attempt-Id: {}\r\nDeadline-Ms: 9000\r\n", id),
    {},
    [this, id](const CallerCall& aCall) { CheckOnline(id, aCall); });
}

void
SoakFixture::CheckOnline(const std::string& aId, const CallerCall& aCall)
{
  const bool isWhole = aCall.end_ == httpstream::CallOutcome::Complete;
  if (isWhole && aCall.status_ == kOk && aCall.body_ != WholeStream()) {
    Violate(aId + ": a complete answer isn't the server's");
  }
  if (isWhole && aCall.status_ == kNotFound) {
    Violate(aId + ": 404 for a route that all versions have");
  }
  if (isWhole && IsRefusal(aCall.status_)) {
    refused_.insert(aId);
    ++tally_.refusals_;
  } else {
    ++(isWhole && aCall.status_ == kOk ? tally_.wholeAnswers_
                                       : tally_.otherEnds_);
  }
}

void
SoakFixture::SendProbeOfConfiguration()
{
  Host& host = DrawEntry();
  const int version =
    std::max(1, version_ - static_cast<int>(Draw(kVersionsKept)));
  const int before = host.inForce_;
  Ask(host,
      "POST",
      fmt::format("/v{}/1", version),
      fmt::format("Attempt-Id: p{}\r\nDeadline-Ms: 9000\r\n", ++nextId_),
      {},
      [this, &host, version, before](const CallerCall& aCall) {
        if (aCall.end_ != httpstream::CallOutcome::Complete) {
          return;
        }
        const bool isOlder = aCall.status_ == kNotFound && version <= before;
        // A host that has started anew may know less, but refuses then.
        if (isOlder && version > version_ - kVersionsKept &&
            host.inForce_ >= before) {
          Violate(fmt::format("{}: version {} was in force and is no longer",
                              host.process_->Where().name_,
                              version));
        }
        if (aCall.status_ == kOk) {
          host.inForce_ = std::max(host.inForce_, version);
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
  Ask(DrawEntry(),
      "POST",
      "/lots/1",
      "Attempt-Id: " + aJob.id_ + "\r\n",
      json{ { "items", std::move(items) } }.dump(),
      [this, &aJob](const CallerCall& aCall) {
        const bool isWhole = aCall.end_ == httpstream::CallOutcome::Complete;
        if (isWhole && aCall.status_ == kAccepted) {
          aJob.isAccepted_ = true;
          aJob.acceptedAt_ = Clock::now();
          return;
        }
        if (isWhole && aCall.status_ == kNotFound) {
          Violate(aJob.id_ + ": 404 for the lots' route");
        }
        aJob.sendAt_ = Clock::now() + kResendPause;
      });
}

bool
SoakFixture::MustBeKnown(const BatchJob& aJob, const Host& aHost)
{
  const auto now = Clock::now();
  return now - aJob.acceptedAt_ > kSettle &&
         now - aHost.startedAt_ > kOutOfTouch;
}

void
SoakFixture::ReadJob(BatchJob& aJob, Host& aHost, std::size_t aPosition)
{
  Ask(aHost,
      "GET",
      fmt::format("/api/lots/{}?after={}", aJob.id_, aPosition),
      {},
      {},
      [this, &aJob, aPosition, mustBeKnown = MustBeKnown(aJob, aHost)](
        const CallerCall& aCall) {
        if (aCall.end_ != httpstream::CallOutcome::Complete) {
          return;
        }
        if (aCall.status_ == kNotFound && mustBeKnown) {
          Violate(aJob.id_ + ": 404 for an accepted lot");
        } else if (aCall.status_ == kOk) {
          CheckPage(aJob, aPosition, aCall.body_);
        }
      });
}

void
SoakFixture::ReadBody(const BatchJob& aJob, Host& aHost)
{
  Ask(aHost,
      "GET",
      fmt::format("/api/items/{}?id={}-0", aJob.id_, aJob.id_),
      {},
      {},
      [this, &aJob, mustBeKnown = MustBeKnown(aJob, aHost)](
        const CallerCall& aCall) {
        if (aCall.end_ != httpstream::CallOutcome::Complete) {
          return;
        }
        if ((aCall.status_ == kNotFound && mustBeKnown) ||
            (aCall.status_ == kOk && aCall.body_ != "prompt")) {
          Violate(aJob.id_ + ": an item's body is gone or another");
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
    Violate(aJob.id_ + ": another number of items");
  }
  std::size_t position = aPosition;
  for (const json& result : page["results"]) {
    const std::string text = result.dump();
    const auto [known, isNew] = aJob.results_.try_emplace(position, text);
    if (known->second != text) {
      Violate(fmt::format("{}: position {} changed", aJob.id_, position));
    }
    if (isNew &&
        (result["state"] != "completed" || result["output"] != WholeOutput())) {
      Violate(fmt::format("{}: position {}: {}", aJob.id_, position, text));
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
      Violate(id + ": was said not to have run, and has");
    }
  }
  for (const std::string& id : once_) {
    if (const auto run = runs.find(id); run != runs.end() && run->second > 1) {
      Violate(id + ": ran more than once");
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
      Violate(job->id_ + ": an item is missing or listed twice");
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
SoakFixture::FreezeProcess(Host& aHost)
{
  aHost.process_->Signal(SIGSTOP);
  After(milliseconds(200 + Draw(4000)),
        [&aHost] { aHost.process_->Signal(SIGCONT); });
}

void
SoakFixture::HarmWay(FaultProxy& aWay)
{
  switch (Draw(5)) {
    case 0:
      aWay.ResetConnections();
      return;
    case 1:
      aWay.SilenceOpenConnections();
      return;
    case 2:
      aWay.SetDelay(milliseconds(20 + Draw(300)));
      break;
    case 3:
      aWay.SetCut(true, true);
      break;
    default:
      aWay.SetCut(Draw(2) == 0, true);
      break;
  }
  After(milliseconds(200 + Draw(4000)), [&aWay] {
    aWay.SetDelay(milliseconds(0));
    aWay.SetCut(false, false);
  });
}

void
SoakFixture::HarmStore()
{
  constexpr std::array kBehaviours{ StoreBehaviour::Refusing,
                                    StoreBehaviour::LosingWrites,
                                    StoreBehaviour::AnsweringLate };
  store_.SetBehaviour(kBehaviours.at(Draw(kBehaviours.size())));
  After(milliseconds(200 + Draw(4000)),
        [this] { store_.SetBehaviour(StoreBehaviour::Serving); });
}

void
SoakFixture::InjectFault()
{
  ++tally_.faults_;
  Host& host = *hosts_[Draw(hosts_.size())];
  switch (Draw(9)) {
    case 0:
      KillProcess(host);
      break;
    case 1:
      StopProcess(host);
      break;
    case 2:
      FreezeProcess(host);
      break;
    case 3:
      host.process_->Signal(SIGHUP);
      break;
    case 4:
      HarmWay(*host.wayToStore_);
      break;
    case 5:
      HarmWay(*servers_[Draw(servers_.size())].way_);
      break;
    case 6:
      HarmStore();
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
SoakFixture::RunUndos(bool aAll)
{
  const auto now = Clock::now();
  auto undos = std::exchange(undos_, {});
  for (Undo& undo : undos) {
    if (aAll || undo.at_ <= now) {
      undo.action_();
    } else {
      undos_.push_back(std::move(undo));
    }
  }
}

void
SoakFixture::RestartEnded()
{
  for (const auto& host : hosts_) {
    if (!host->process_->IsRunning()) {
      host->inForce_ = 0;
      host->startedAt_ = Clock::now();
      ++tally_.restarts_;
      host->process_->Start();
    }
  }
}

void
SoakFixture::Step()
{
  context_.run_for(kStep);
  RunUndos(false);
  for (std::size_t index = 0; index < pending_.size();) {
    if (!pending_[index].call_->IsOver()) {
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
  if (!jobs_.empty() && Draw(kStepsToRead) == 0) {
    BatchJob& job = *jobs_[Draw(jobs_.size())];
    if (job.isAccepted_) {
      ReadJob(job, DrawEntry(), Draw(job.results_.size() + 1));
      ReadBody(job, DrawEntry());
    }
  }
  if (Draw(isCalm_ ? kStepsToOnline * 10 : kStepsToOnline) == 0) {
    SendOnline();
  }
  // Now and then, a process that ended is back.
  if (isCalm_ || Draw(kStepsToFault) == 0) {
    RestartEnded();
  }
}

bool
SoakFixture::IsAllAnswered() const
{
  return pending_.empty() &&
         std::all_of(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
           return aJob->results_.size() >= aJob->items_;
         });
}

void
SoakFixture::EndFaults()
{
  isCalm_ = true;
  RunUndos(true);
  for (const auto& host : hosts_) {
    host->process_->Signal(SIGCONT);
  }
  const auto until = Clock::now() + kRecoveryBound;
  const auto goOnUntil = [this, until](const auto& aIsDone) {
    while (!aIsDone() && Clock::now() < until) {
      Step();
    }
  };
  // Each job is read whole at each entry host, and the results compared.
  goOnUntil([this] {
    for (const auto& job : jobs_) {
      if (job->results_.size() < job->items_ && job->isAccepted_ &&
          Draw(10) == 0) {
        ReadJob(*job, DrawEntry(), 0);
      }
    }
    return IsAllAnswered();
  });
  for (const auto& job : jobs_) {
    for (std::size_t entry = 0; entry < kEntries && job->isAccepted_; ++entry) {
      ReadJob(*job, *hosts_[entry], 0);
    }
  }
  goOnUntil([this] { return pending_.empty(); });
}

void
SoakFixture::Play(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  random_.seed(aSeed);
  StartFleet();
  const auto until = Clock::now() + aTime;
  while (Clock::now() < until) {
    Step();
    if (Draw(kStepsToJob) == 0) {
      auto job = std::make_unique<BatchJob>();
      job->id_ = fmt::format("lot{}", ++nextId_);
      job->items_ = 1 + Draw(kMostItems);
      ++tally_.jobs_;
      tally_.items_ += static_cast<int>(job->items_);
      jobs_.push_back(std::move(job));
    }
    if (Draw(kStepsToProbe) == 0) {
      SendProbeOfConfiguration();
    }
    if (Draw(kStepsToFault) == 0) {
      InjectFault();
    }
  }
  EndFaults();
  CheckServers();
  CheckJobs();
  for (const auto& host : hosts_) {
    if (host->process_->CrashCount() > 0) {
      Violate(host->process_->Where().name_ + ": ended by itself");
    }
  }
}

} // namespace pumiceturn::adapter
