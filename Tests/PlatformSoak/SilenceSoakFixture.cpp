#include "Tests/PlatformSoak/SilenceSoakFixture.h"

#include "Tests/Platform/TestRoute.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto kRoutes = std::to_array<SoakRoute>({
  { "twice", "stream", true, 2, 700, 400 },
  { "single", "stream", true, 1, 700, 250 },
  { "once", "stream", false, 2, 300, 0 },
  { "call", "safe", false, 2, 300, 0 },
  { "order", "unsafe", false, 2, 300, 0 },
});

constexpr std::size_t kEntryHosts = 4;
constexpr std::size_t kWorkers = 2;
constexpr int kServers = 8;
constexpr int kCallers = 48;
constexpr int kGraceSeconds = 8;
constexpr std::chrono::seconds kGrace{ kGraceSeconds };
constexpr milliseconds kDrainTime{ 2000 };

/// Time without planned work at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 2 };

/// Time after SIGTERM for which callers still open connections to a host.
constexpr std::chrono::seconds kRotationTime{ 2 };

/// Time that a configuration takes to be in force on all hosts.
constexpr std::chrono::seconds kApplyTime{ 2 };

/// Subtracted from the time by which a server's answer has to end, for the way
/// to the caller.
constexpr milliseconds kMargin{ 150 };
constexpr milliseconds kMaxSuspension{ 1500 };

/// A caller's least patience with a stream.
constexpr int kMinPatienceMs = 2000;

/// Ends a run that hangs.
constexpr std::chrono::seconds kSettleTime{ 20 };

constexpr int kMinRouteTimeoutMs = 6000;
constexpr int kMinIdleTimeoutMs = 1000;
constexpr int kMinHeaderTimeoutMs = 1000;
constexpr int kMeanStepsPerSilence = 150;
constexpr int kMeanStepsPerWork = 80;
constexpr std::size_t kWidePadding = 65536;
constexpr std::size_t kSlowReadBytes = 16384;
constexpr int kMaxSlowReadMs = 40;

/// @return the gap after which a caller gives up.
milliseconds
PatienceOf(const SoakRoute& aRoute, milliseconds aDeadline)
{
  constexpr int kObjectives = 4;
  constexpr int kPauses = 8;
  if (!aRoute.IsStream()) {
    return aDeadline;
  }
  return milliseconds(std::max({ kMinPatienceMs,
                                 kObjectives * aRoute.sloMs_,
                                 kPauses * aRoute.maxPauseMs_ }));
}

asio::awaitable<void>
Wait(asio::io_context& aContext, milliseconds aTime)
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string
VersionName(int aVersion)
{
  return fmt::format("v{}", aVersion);
}

} // namespace

SilenceSoakFixture::SilenceSoakFixture()
  : FleetSoakFixture("silence")
{
}

void
SilenceSoakFixture::WriteConfiguration()
{
  constexpr int kManyRoutes = 1500;
  json routes = json::array();
  for (const SoakRoute& kind : kRoutes) {
    json route =
      MakeTestRoute(std::string(kind.name_), std::string(kind.kind_));
    route["resumable"] = kind.isResumable_;
    route["maxAttempts"] = kind.maxAttempts_;
    route["sloMs"] = kind.sloMs_;
    route["gapSloMs"] = kind.maxPauseMs_;
    route["timeoutMs"] = Draw(kMinRouteTimeoutMs, 20000).count();
    routes.push_back(std::move(route));
  }
  const auto more =
    DrawOneIn(4) ? kManyRoutes : static_cast<int>(Draw(0, 20).count());
  for (int index = 0; index < more; ++index) {
    routes.push_back(MakeTestRoute(fmt::format("more-{}", index), "stream"));
  }
  formerIdleTimeoutMs_ = idleTimeoutMs_;
  idleTimeoutMs_ = static_cast<int>(Draw(kMinIdleTimeoutMs, 4000).count());
  configuredAt_ = Clock::now();
  const auto headerTimeoutMs = Draw(kMinHeaderTimeoutMs, 5000).count();
  ++counts_.configurations_;
  store_.Put(
    "op/config",
    json{ { "version", ++configuration_ },
          { "routes", std::move(routes) },
          { "services", { { { "name", "service" }, { "maxConns", 500 } } } },
          { "limits",
            { { "idleTimeoutMs", idleTimeoutMs_ },
              { "headerTimeoutMs", headerTimeoutMs } } } }
      .dump());
}

void
SilenceSoakFixture::AddServer(const std::string& aVersion)
{
  constexpr int kSlots = 32;
  Server server{ fmt::format("i-{}", nextServer_++), nullptr };
  server.standin_ = std::make_unique<ServerStandin>(context_, server.id_);
  server.standin_->SetVersion(aVersion);
  server.standin_->SetEventInterval(Draw(30, 120));
  server.standin_->SetEventPauses(Draw(10, 80), Draw(5, 40));
  json registration =
    json::parse(server.standin_->Registration("service", "ready"));
  registration["slots"] = kSlots;
  store_.Put("servers/" + server.id_, registration.dump());
  servers_.push_back(std::move(server));
}

void
SilenceSoakFixture::StartFleet()
{
  WriteConfiguration();
  for (int server = 0; server < kServers; ++server) {
    AddServer(VersionName(server % 3 == 0 ? 0 : version_));
  }
  GatewayProcess::HostSettings settings;
  settings.graceSeconds_ = kGraceSeconds;
  StartHosts(kEntryHosts, kWorkers, settings);
}

SilenceSoakFixture::Host*
SilenceSoakFixture::DrawHostInRotation()
{
  Host& host = DrawEntryHost();
  const auto stopped = stoppedAt_.find({ &host, host.incarnation_ });
  const bool isInRotation = stopped == stoppedAt_.end() ||
                            Clock::now() - stopped->second < kRotationTime;
  return isInRotation ? &host : nullptr;
}

milliseconds
SilenceSoakFixture::DrawIdleTime()
{
  constexpr int kFifths = 5;
  switch (Draw(0, 3).count()) {
    case 0:
      return milliseconds(0);
    case 1:
      return Draw(0, 300);
    default:
      break;
  }
  const int known = Clock::now() - configuredAt_ < kApplyTime
                      ? std::min(formerIdleTimeoutMs_, idleTimeoutMs_)
                      : idleTimeoutMs_;
  return milliseconds(known * (kFifths - 1) / kFifths) - Draw(0, 20);
}

std::shared_ptr<SoakRequest>
SilenceSoakFixture::MakeRequest(Incarnation aIncarnation,
                                CallerConnection::ReadPace aPace)
{
  constexpr int kMaxPieces = 5;
  auto request = std::make_shared<SoakRequest>();
  request->route_ = &kRoutes.at(static_cast<std::size_t>(
    Draw(0, static_cast<int>(kRoutes.size()) - 1).count()));
  request->host_ = aIncarnation.first->process_->Settings().name_;
  request->id_ = fmt::format("r{}", requests_.size() + 1);
  request->deadline_ = Draw(4000, 9000);
  request->patience_ = PatienceOf(*request->route_, request->deadline_);
  std::string path = "1";
  if (!request->route_->IsStream()) {
    path = "status-200";
  } else if (aPace.bytes_ > 0) {
    request->padding_ = kWidePadding;
    request->readTime_ = aPace.interval_ * (ServerStandin::kEventCount *
                                            kWidePadding / kSlowReadBytes);
    path = fmt::format("wide-{}", kWidePadding);
  }
  const std::string body(static_cast<std::size_t>(Draw(0, 3000).count()), 'b');
  request->bytes_ = fmt::format("POST /{}/{} HTTP/1.1\r\nHost: a.example\r\n"
                                "Attempt-Id: {}\r\nDeadline-Ms: {}\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                request->route_->name_,
                                path,
                                request->id_,
                                request->deadline_.count(),
                                body.size(),
                                body);
  if (DrawOneIn(4)) {
    request->pieces_ = static_cast<std::size_t>(Draw(2, kMaxPieces).count());
    request->pieceInterval_ = Draw(1, kMinHeaderTimeoutMs / (2 * kMaxPieces));
  }
  requests_.push_back({ request, aIncarnation });
  return request;
}

CallerConnection::Requests
SilenceSoakFixture::MakeRequests(Incarnation aIncarnation,
                                 CallerConnection::ReadPace aPace)
{
  const auto count = DrawOneIn(4) ? Draw(2, 3).count() : 1;
  CallerConnection::Requests requests;
  for (int index = 0; index < count; ++index) {
    requests.push_back(MakeRequest(aIncarnation, aPace));
  }
  return requests;
}

asio::awaitable<void>
SilenceSoakFixture::RunCaller()
{
  while (!isEnding_) {
    Host* host = DrawHostInRotation();
    if (host == nullptr) {
      co_await Wait(context_, Draw(10, 100));
      continue;
    }
    const Incarnation incarnation{ host, host->incarnation_ };
    CallerConnection::ReadPace pace;
    if (DrawOneIn(4)) {
      pace = { Draw(5, kMaxSlowReadMs), kSlowReadBytes };
    }
    auto connection = std::make_shared<CallerConnection>(context_);
    bool isOpen = co_await connection->Connect(
      { asio::ip::make_address(host->process_->Settings().ip_),
        GatewayProcess::kCallerPort },
      pace);
    while (isOpen) {
      isOpen = co_await connection->Exchange(MakeRequests(incarnation, pace)) &&
               !isEnding_;
      if (isOpen) {
        co_await Wait(context_, DrawIdleTime());
        isOpen = connection->IsOpen();
        counts_.closedWhileIdle_ += isOpen ? 0 : 1;
      }
    }
    co_await Wait(context_, Draw(10, 100));
  }
  --callers_;
}

void
SilenceSoakFixture::SilenceServers()
{
  ++counts_.silences_;
  const milliseconds time = Draw(300, 3000);
  const auto kind = Draw(0, 3).count();
  const auto& chosen = servers_[static_cast<std::size_t>(
    Draw(0, static_cast<int>(servers_.size()) - 1).count())];
  const std::string version = chosen.standin_->Version();
  if (kind == 0) {
    chosen.standin_->FallSilent(time);
    return;
  }
  for (const auto* servers : { &servers_, &drainedServers_ }) {
    for (const Server& server : *servers) {
      const bool isOfVersion = server.standin_->Version() == version;
      const bool isSilent =
        kind == 1 ? isOfVersion && DrawOneIn(2) : kind == 3 || isOfVersion;
      if (isSilent) {
        server.standin_->FallSilent(time);
      }
    }
  }
}

void
SilenceSoakFixture::BeginRelease()
{
  ++counts_.releases_;
  const std::string version = VersionName(++version_);
  const milliseconds gap = Draw(20, 400);
  const auto replaced = static_cast<int>(Draw(2, kServers).count());
  for (int index = 0; index < replaced; ++index) {
    RunAfter(gap * index, [this, version] {
      AddServer(version);
      const Server& leaving = servers_.front();
      const std::string key = "servers/" + leaving.id_;
      store_.Put(key, leaving.standin_->Registration("service", "draining"));
      RunAfter(kDrainTime, [this, key] { store_.Remove(key); });
      drainedServers_.push_back(std::move(servers_.front()));
      servers_.erase(servers_.begin());
    });
  }
}

void
SilenceSoakFixture::StopHost(Host& aHost)
{
  if (aHost.startAt_) {
    return;
  }
  ++counts_.stops_;
  stoppedAt_[{ &aHost, aHost.incarnation_ }] = Clock::now();
  aHost.process_->ExpectEnd();
  aHost.process_->Signal(SIGCONT);
  aHost.process_->Signal(SIGTERM);
  aHost.startAt_ = Clock::now() + Draw(0, 1000);
  RunAfter(kGrace, [&aHost, incarnation = aHost.incarnation_] {
    if (aHost.incarnation_ == incarnation) {
      aHost.process_->Signal(SIGKILL);
    }
  });
}

void
SilenceSoakFixture::DoPlannedWork()
{
  constexpr StoreDisturbance kStoreDisturbance{ 300, 2, 3000 };
  switch (Draw(0, 9).count()) {
    case 0:
    case 1:
    case 2:
      WriteConfiguration();
      break;
    case 3:
      for (const auto& host : hosts_) {
        host->process_->Signal(SIGHUP);
      }
      break;
    case 4:
    case 5:
      BeginRelease();
      break;
    case 6:
    case 7:
      StopHost(*hosts_[static_cast<std::size_t>(
        Draw(0, static_cast<int>(hosts_.size()) - 1).count())]);
      break;
    case 8:
      if (mayDisturbStore_) {
        DisturbStore(kStoreDisturbance);
      }
      break;
    default:
      if (maySuspendHosts_) {
        SuspendHosts();
      }
      break;
  }
}

void
SilenceSoakFixture::Settle()
{
  isEnding_ = true;
  const auto end = Clock::now() + kSettleTime;
  const auto isRunning = [](const auto& aRun) { return !aRun->endedAt_; };
  const auto isWorking = [&](const std::vector<Server>& aServers) {
    return std::any_of(
      aServers.begin(), aServers.end(), [&](const Server& aServer) {
        const auto& runs = aServer.standin_->Runs();
        return std::any_of(runs.begin(), runs.end(), isRunning);
      });
  };
  while (Clock::now() < end &&
         (callers_ > 0 || isWorking(servers_) || isWorking(drainedServers_))) {
    RunStep();
  }
}

void
SilenceSoakFixture::CheckAnswers()
{
  AnswerCheck check({ milliseconds(kMinRouteTimeoutMs),
                      kGrace,
                      maySuspendHosts_ ? kMargin + kMaxSuspension : kMargin });
  for (const auto* servers : { &servers_, &drainedServers_ }) {
    for (const Server& server : *servers) {
      check.AddServer(*server.standin_);
    }
  }
  for (const auto& sent : requests_) {
    if (const auto stop = stoppedAt_.find(sent.incarnation_);
        stop != stoppedAt_.end()) {
      sent.request_->stoppedAt_ = stop->second;
    }
    check.Check(*sent.request_);
  }
  answers_ = check.GetCounts();
  violations_ = check.Violations();
}

void
SilenceSoakFixture::Run(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  random_.seed(aSeed);
  mayDisturbStore_ = DrawOneIn(3);
  maySuspendHosts_ = DrawOneIn(4);
  StartFleet();
  const auto startedAt = Clock::now();
  while (Clock::now() < startedAt + aTime) {
    RunStep();
    if (Clock::now() < startedAt + kCalmTime) {
      continue;
    }
    for (; callers_ < kCallers; ++callers_) {
      asio::co_spawn(context_, RunCaller(), asio::detached);
    }
    if (DrawOneIn(kMeanStepsPerSilence)) {
      SilenceServers();
    }
    if (DrawOneIn(kMeanStepsPerWork)) {
      DoPlannedWork();
    }
  }
  Settle();
  CheckAnswers();
  CheckProcesses();
}

} // namespace pumiceturn::adapter
