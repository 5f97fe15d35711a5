#include "Tests/PlatformSoak/OrderSoakFixture.h"

#include "Tests/Platform/TestRoute.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <span>
#include <utility>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEntryHosts = 4;
constexpr std::size_t kServers = 7;
constexpr std::size_t kCallers = 50;
constexpr int kMaxTries = 4;
constexpr const char* kService = "service";
constexpr const char* kSecondService = "second";
constexpr const char* kOtherService = "other"; ///< Has a route of its own.
constexpr const char* kResumableRoute = "look-up";
constexpr const char* kSingleRoute = "archive";
constexpr const char* kOtherRoute = "other";
constexpr int kTimeoutMs = 5000;
constexpr int kMaxServerConnections = 40;
constexpr int kMaxIdleSeconds = 3;
constexpr int kCloseOneIn = 12; ///< Of responses.
constexpr int kGapObjectiveMs = 200;
constexpr milliseconds kCallerPatience{ 2000 };
constexpr int kMaxEntryDelayMs = 3000;
constexpr int kMaxHeartbeatMs = 1000;
constexpr int kMinLimitMs = 120;
constexpr int kMaxLimitMs = 900;

/// Time for which servers that have just started don't say that they are
/// healthy.
constexpr int kEarlyHealthMs = 1500;
constexpr unsigned kOk = 200;
constexpr std::size_t kQuotedBytes = 60; ///< Of a body, in a violation.

/// Time without faults at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 3 };

/// Uptime from which a host is expected to know what the others know.
constexpr std::chrono::seconds kInTouch{ 3 };

/// Upper bound of the time between two hosts that get a signal.
constexpr int kMaxSignalGapMs = 1300;
constexpr int kMinResumptions = 12;

/// Time in which a worker that has started gets the data of the others.
constexpr std::chrono::seconds kCatchUpTime{ 5 };

/// Upper bound of the time from a worker's loss of data to its start.
constexpr int kMaxWipeMs = 2000;

/// The drain time of the hosts' settings, and for how much longer a server may
/// serve.
constexpr milliseconds kDrainTime{ 2000 };
constexpr int kMaxLongerMs = 2000;

/// For how long hosts may at least send rests of streams to a server that
/// drains, so that none reaches it after kDrainTime.
constexpr milliseconds kRestTime{ 800 };

/// Time from a server's stop in order until its process must have ended.
constexpr milliseconds kStopTime{ 500 };

/// Upper bound of the time for which a live server has no entry.
constexpr int kMaxLostEntryMs = 2000;

/// Upper bound of the time for which the entry of a dead server stands.
constexpr int kMaxEntryTimeMs = 3600;

/// Upper bound of the time that a server runs at an address of another one.
constexpr int kMaxOtherTimeMs = 8000;

std::string
VersionName(int aVersion)
{
  return fmt::format("v{}", aVersion);
}

} // namespace

OrderSoakFixture::OrderSoakFixture()
  : FleetSoakFixture("order")
{
}

OrderSoakFixture::~OrderSoakFixture()
{
  for (const auto& caller : callers_) {
    if (caller->call_) {
      caller->call_->connection_->Cancel();
    }
  }
  CancelJobCalls();
  for (const auto& [address, connections] : idleConnections_) {
    for (const auto& connection : connections) {
      connection->Cancel();
    }
  }
}

void
OrderSoakFixture::WriteConfiguration()
{
  json resumable = MakeTestRoute(kResumableRoute, "stream");
  resumable["resumable"] = true;
  resumable["timeoutMs"] = options_.routeTimeoutMs_;
  for (const std::string& service : routed_) {
    resumable["trafficSplit"].push_back(
      { { "service", service }, { "weight", 1 } });
  }
  json single = MakeTestRoute(kSingleRoute, "stream");
  single["maxAttempts"] = 1;
  single["timeoutMs"] = options_.routeTimeoutMs_;
  if (options_.hasPrompts_) {
    for (json* route : { &resumable, &single }) {
      (*route)["sticky"] = true;
      (*route)["gapSloMs"] = kGapObjectiveMs;
    }
  }
  json batch = MakeTestRoute("lots", "batch");
  batch["maxAttempts"] = 3;
  json configuration{
    { "version", ++configuration_ },
    { "routes", { std::move(resumable), std::move(single), std::move(batch) } },
    { "services", json::array() }
  };
  std::vector<std::string> services{ kService, kSecondService };
  if (options_.reusesAddresses_) {
    json other = MakeTestRoute(kOtherRoute, "stream");
    other["resumable"] = true;
    other["service"] = kOtherService;
    other["timeoutMs"] = options_.routeTimeoutMs_;
    configuration["routes"].push_back(std::move(other));
    services.emplace_back(kOtherService);
  }
  for (const std::string& service : services) {
    configuration["services"].push_back(
      { { "name", service },
        { "maxConns",
          options_.closesConnections_ ? kMaxServerConnections : 500 },
        { "healthPath", "/health" } });
  }
  store_.Put("op/config", configuration.dump());
}

void
OrderSoakFixture::MoveRoute()
{
  ++counts_.moves_;
  const std::vector<std::vector<std::string>> choices{
    { kService }, { kSecondService }, { kService, kSecondService }
  };
  routed_ = choices[static_cast<std::size_t>(Draw(0, 2).count())];
  WriteConfiguration();
}

void
OrderSoakFixture::Register(const Server& aServer, std::string_view aState)
{
  json entry{ { "service", aServer.service_ },
              { "address", aServer.address_ },
              { "zone", "a" },
              { "version", aServer.version_ },
              { "slots", options_.slots_ },
              { "state", aState },
              { "coldLeftMs", 0 },
              { "seq", 1 } };
  if (!options_.hasNewIds_) {
    entry["born"] = aServer.startedAtMs_;
  }
  store_.Put("servers/" + aServer.id_, entry.dump());
}

void
OrderSoakFixture::StartServer(Server& aServer)
{
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  aServer.startedAtMs_ =
    std::max<std::int64_t>(aServer.startedAtMs_ + 1, now.count());
  aServer.process_ =
    std::make_unique<ChildProcess>(LogFolder() / (aServer.id_ + ".log"));
  const int earlyHealthMs = options_.startsAgainAtOnce_ ? kEarlyHealthMs : 0;
  aServer.process_->Start(
    { PUMICETURN_ORDER_SERVER,
      fmt::format("--address={}", aServer.address_),
      fmt::format("--id={}", aServer.id_),
      fmt::format("--software={}", aServer.Software()),
      fmt::format("--seed={}", random_() % 1000000),
      fmt::format("--slots={}", options_.slots_),
      fmt::format("--queue={}", options_.queue_),
      fmt::format("--start={}", aServer.startedAtMs_),
      fmt::format("--fault-one-in={}", options_.badResponseOneIn_),
      fmt::format("--names-start={}", !options_.hasNewIds_),
      fmt::format("--early-health-ms={}", earlyHealthMs),
      fmt::format("--repeats-unnamed={}", options_.repeatsUnnamed_),
      fmt::format("--idle-s={}",
                  options_.closesConnections_ ? Draw(1, kMaxIdleSeconds).count()
                                              : 0),
      fmt::format("--max-connections={}",
                  options_.closesConnections_ ? kMaxServerConnections : 0),
      fmt::format("--close-one-in={}",
                  options_.closesConnections_ ? kCloseOneIn : 0),
      fmt::format("--error-one-in={}", options_.errorOneIn_),
      fmt::format("--pause-one-in={}", options_.pauseOneIn_),
      fmt::format("--truncate-one-in={}", options_.truncateOneIn_),
      fmt::format("--whole-below=/{}/", kSingleRoute) },
    {});
  aServer.isReady_ = true;
  aServer.drainsSince_.reset();
  aServer.isLeaving_ = false;
  aServer.hasEntry_ = true;
  // An entry may be written late.
  RunAfter(Draw(0, static_cast<int>(options_.maxRegistrationDelay_.count())),
           [this, id = aServer.id_, startedAtMs = aServer.startedAtMs_] {
             const Server* server = FindServer(id);
             if (server != nullptr && server->startedAtMs_ == startedAtMs &&
                 server->hasEntry_) {
               Register(*server, server->isReady_ ? "ready" : "draining");
             }
           });
}

void
OrderSoakFixture::ChangeSoftware(Server& aServer)
{
  ++counts_.softwareChanges_;
  // One of those that serve, or a new one.
  const int version = static_cast<int>(Draw(1, version_ + 1).count());
  version_ = std::max(version_, version);
  aServer.version_ = VersionName(version);
}

std::unique_ptr<OrderSoakFixture::Server>
OrderSoakFixture::MakeServer(const std::string& aService,
                             const std::string& aVersion)
{
  const int number = nextServer_++;
  auto server = std::make_unique<Server>();
  server->id_ = fmt::format("i-{}", number);
  server->service_ = aService;
  server->version_ = aVersion;
  server->address_ = fmt::format("{}.{}:9000", network_, 100 + number % 100);
  return server;
}

void
OrderSoakFixture::AddServer(const std::string& aService,
                            const std::string& aVersion)
{
  auto server = MakeServer(aService, aVersion);
  StartServer(*server);
  servers_.push_back(std::move(server));
}

OrderSoakFixture::Server*
OrderSoakFixture::FindServer(const std::string& aId)
{
  for (const auto* servers : { &servers_, &otherServers_ }) {
    const auto found =
      std::find_if(servers->begin(),
                   servers->end(),
                   [&aId](const auto& aServer) { return aServer->id_ == aId; });
    if (found != servers->end()) {
      return found->get();
    }
  }
  return nullptr;
}

int
OrderSoakFixture::CountReady(const std::string& aSoftware) const
{
  return static_cast<int>(std::count_if(
    servers_.begin(), servers_.end(), [&aSoftware](const auto& aServer) {
      return aServer->Software() == aSoftware && aServer->isReady_;
    }));
}

bool
OrderSoakFixture::MayAskForRest(const std::string& aSoftware) const
{
  return std::any_of(
    servers_.begin(), servers_.end(), [&aSoftware](const auto& aServer) {
      const bool mayAsk = aServer->drainsSince_
                            ? Clock::now() - *aServer->drainsSince_ < kRestTime
                            : aServer->isReady_;
      return aServer->Software() == aSoftware && mayAsk;
    });
}

bool
OrderSoakFixture::IsRouted(const std::string& aSoftware) const
{
  return std::any_of(
    routed_.begin(), routed_.end(), [&aSoftware](const auto& aService) {
      return aSoftware.starts_with(aService + "/");
    });
}

void
OrderSoakFixture::KillServer(Server& aServer)
{
  ++counts_.serversKilled_;
  aServer.process_->Signal(SIGKILL);
  aServer.isReady_ = false;
  const milliseconds down =
    options_.startsAgainAtOnce_ ? Draw(5, 150) : Draw(100, 2000);
  RunAfter(down, [this, id = aServer.id_] {
    if (Server* server = FindServer(id)) {
      StartAgain(*server);
    }
  });
  if (options_.delaysEntries_ && DrawOneIn(2)) {
    RunAfter(
      Draw(0, kMaxEntryDelayMs),
      [this, id = aServer.id_, entry = store_.Get("servers/" + aServer.id_)] {
        DelayEntry(id, entry);
      });
  }
}

void
OrderSoakFixture::DelayEntry(const std::string& aId, const std::string& aEntry)
{
  const Server* server = FindServer(aId);
  if (server == nullptr || !server->hasEntry_ || aEntry.empty()) {
    return;
  }
  ++counts_.lateEntries_;
  store_.Put("servers/" + aId, aEntry);
  RunAfter(Draw(1, kMaxHeartbeatMs), [this, aId] {
    const Server* present = FindServer(aId);
    if (present != nullptr && present->hasEntry_ && present->isReady_) {
      Register(*present, "ready");
    }
  });
}

void
OrderSoakFixture::StartAgain(Server& aServer)
{
  if (options_.changesSoftware_ && DrawOneIn(2)) {
    ChangeSoftware(aServer);
  }
  if (options_.hasNewIds_) {
    RunAfter(Draw(0, kMaxEntryTimeMs),
             [this, id = aServer.id_] { store_.Remove("servers/" + id); });
    aServer.id_ = fmt::format("i-{}", nextServer_++);
  }
  StartServer(aServer);
}

void
OrderSoakFixture::Drain(Server& aServer)
{
  const bool isReady = std::exchange(aServer.isReady_, false);
  aServer.drainsSince_ = Clock::now();
  const std::string id = aServer.id_;
  if (!options_.exitsInOrder_ || !isReady) {
    Register(aServer, "draining");
    RunAfter(milliseconds(2500), [this, id] { EndServer(id); });
    return;
  }
  aServer.isLeaving_ = true;
  aServer.process_->Signal(SIGUSR1);
  if (DrawOneIn(3)) {
    aServer.hasEntry_ = false;
    store_.Remove("servers/" + id);
  } else {
    Register(aServer, "draining");
  }
  RunAfter(kDrainTime + Draw(0, kMaxLongerMs), [this, id] { StopServer(id); });
}

void
OrderSoakFixture::StopServer(const std::string& aId)
{
  const Server* server = FindServer(aId);
  if (server == nullptr || !server->isLeaving_) {
    EndServer(aId);
    return;
  }
  ++counts_.orderlyExits_;
  server->process_->Signal(SIGCONT);
  server->process_->Signal(SIGTERM);
  RunAfter(kStopTime, [this, aId] { EndServer(aId); });
}

void
OrderSoakFixture::LoseEntry()
{
  Server& server = *servers_[static_cast<std::size_t>(
    Draw(0, static_cast<int>(servers_.size()) - 1).count())];
  const std::string key = "servers/" + server.id_;
  if (!server.isReady_ || store_.Get(key).empty()) {
    return;
  }
  ++counts_.lostEntries_;
  server.hasEntry_ = false;
  if (DrawOneIn(2)) {
    store_.Remove(key);
  } else {
    store_.Put(key, DrawOneIn(2) ? R"({"service":7})" : "{");
  }
  RunAfter(Draw(100, kMaxLostEntryMs),
           [this, id = server.id_, startedAtMs = server.startedAtMs_] {
             Server* returned = FindServer(id);
             if (returned != nullptr && returned->startedAtMs_ == startedAtMs &&
                 returned->isReady_) {
               returned->hasEntry_ = true;
               Register(*returned, "ready");
             }
           });
}

void
OrderSoakFixture::EndServer(const std::string& aId)
{
  store_.Remove("servers/" + aId);
  for (auto* servers : { &servers_, &otherServers_ }) {
    std::erase_if(*servers,
                  [&aId](const auto& aServer) { return aServer->id_ == aId; });
  }
}

void
OrderSoakFixture::ReuseAddress()
{
  const auto index = static_cast<std::size_t>(
    Draw(0, static_cast<int>(servers_.size()) - 1).count());
  if (!servers_[index]->isReady_) {
    return;
  }
  ++counts_.reuses_;
  auto gone = std::move(servers_[index]);
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
  gone->process_.reset();
  AddServer(gone->service_, gone->version_);
  RunAfter(Draw(0, kMaxEntryTimeMs),
           [this, id = gone->id_] { store_.Remove("servers/" + id); });
  auto other = MakeServer(kOtherService, VersionName(1));
  other->address_ = gone->address_;
  const std::string id = other->id_;
  other->isReady_ = false;
  otherServers_.push_back(std::move(other));
  RunAfter(Draw(50, 1500), [this, id] { StartServer(*FindServer(id)); });
  RunAfter(Draw(3000, kMaxOtherTimeMs), [this, id] { EndServer(id); });
}

void
OrderSoakFixture::BeginRelease()
{
  ++counts_.releases_;
  const std::string version = VersionName(++version_);
  const milliseconds gap = Draw(20, 400);
  // Some releases replace a part of the servers, so that versions stay side by
  // side.
  const int replaced = static_cast<int>(Draw(2, kServers).count());
  for (int index = 0; index < replaced; ++index) {
    RunAfter(gap * index, [this, version] {
      AddServer(kService, version);
      if (servers_.size() <= kServers) {
        return;
      }
      Drain(*servers_.front());
      std::rotate(servers_.begin(), servers_.begin() + 1, servers_.end());
    });
  }
}

void
OrderSoakFixture::KillHosts(int aOneIn, bool aWithWorkers)
{
  const milliseconds down = Draw(0, 1500);
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    Host& host = *hosts_[index];
    const bool isKind =
      index < kEntryHosts || (aWithWorkers && MayDisturbWorkers());
    if (isKind && !host.startAt_ && DrawOneIn(aOneIn)) {
      KillHost(host, down + Draw(0, 300));
    }
  }
}

void
OrderSoakFixture::TerminateHosts()
{
  const milliseconds gap = Draw(50, kMaxSignalGapMs);
  milliseconds at{ 0 };
  for (const auto& host : hosts_) {
    if (DrawOneIn(2)) {
      continue;
    }
    RunAfter(at, [this, &host = *host] {
      if (!host.startAt_ &&
          (host.process_->Settings().isEntry_ || MayDisturbWorkers())) {
        ++counts_.terminations_;
        TerminateHost(host);
      }
    });
    at += gap;
  }
  if (DrawOneIn(3)) {
    RunAfter(Draw(0, kMaxSignalGapMs), [this] { KillHosts(3, DrawOneIn(2)); });
  }
}

bool
OrderSoakFixture::MayDisturbWorkers() const
{
  return Clock::now() >= workersRestUntil_;
}

void
OrderSoakFixture::WipeWorker()
{
  const auto workers = std::span(hosts_).subspan(kEntryHosts);
  const auto hasCaughtUp = [](const auto& aHost) {
    return !aHost->startAt_ && Clock::now() - aHost->startedAt_ >= kCatchUpTime;
  };
  if (!std::all_of(workers.begin(), workers.end(), hasCaughtUp)) {
    return;
  }
  ++counts_.wipes_;
  const milliseconds down = Draw(0, kMaxWipeMs);
  const auto last = static_cast<int>(workers.size()) - 1;
  WipeHost(*workers[static_cast<std::size_t>(Draw(0, last).count())], down);
  workersRestUntil_ = Clock::now() + down + kCatchUpTime;
}

void
OrderSoakFixture::HangUpHosts()
{
  const milliseconds gap = Draw(0, kMaxSignalGapMs);
  milliseconds at{ 0 };
  for (const auto& host : hosts_) {
    if (DrawOneIn(2)) {
      continue;
    }
    RunAfter(at, [this, &host = *host] {
      ++counts_.hangUps_;
      HangUpHost(host);
    });
    if (DrawOneIn(4)) {
      RunAfter(at + Draw(0, 300), [this, &host = *host] {
        if (!host.startAt_ &&
            (host.process_->Settings().isEntry_ || MayDisturbWorkers())) {
          KillHost(host, Draw(0, kMaxSignalGapMs));
        }
      });
    }
    at += gap;
  }
}

void
OrderSoakFixture::ChooseFaults()
{
  if (options_.signalsHosts_) {
    moreFaults_.push_back(&OrderSoakFixture::TerminateHosts);
    moreFaults_.push_back(&OrderSoakFixture::HangUpHosts);
  }
  if (options_.reusesAddresses_) {
    moreFaults_.push_back(&OrderSoakFixture::ReuseAddress);
  }
  if (options_.wipesWorkers_) {
    moreFaults_.push_back(&OrderSoakFixture::WipeWorker);
  }
  if (options_.losesStoreAnswers_) {
    moreFaults_.push_back(&OrderSoakFixture::LoseStoreAnswers);
  }
  if (options_.losesEntries_) {
    moreFaults_.push_back(&OrderSoakFixture::LoseEntry);
  }
}

void
OrderSoakFixture::InjectFault()
{
  ++counts_.faults_;
  if (!moreFaults_.empty() && DrawOneIn(2)) {
    const auto last = static_cast<int>(moreFaults_.size()) - 1;
    const auto chosen = static_cast<std::size_t>(Draw(0, last).count());
    (this->*moreFaults_[chosen])();
    return;
  }
  const auto drawServer = [this]() -> Server& {
    return *servers_[static_cast<std::size_t>(
      Draw(0, static_cast<int>(servers_.size()) - 1).count())];
  };
  const auto changeWhatServes = [this] {
    if (options_.movesRoute_) {
      MoveRoute();
    } else {
      BeginRelease();
    }
  };
  switch (Draw(0, 9).count()) {
    case 0:
      changeWhatServes();
      break;
    case 1:
      changeWhatServes();
      KillHosts(1, DrawOneIn(2));
      break;
    case 2:
      KillHosts(2, false);
      break;
    case 3: {
      Server& server = drawServer();
      server.process_->Signal(SIGSTOP);
      RunAfter(Draw(100, 1200), [this, id = server.id_] {
        if (const Server* stopped = FindServer(id)) {
          stopped->process_->Signal(SIGCONT);
        }
      });
      break;
    }
    case 4:
      if (MayDisturbWorkers()) {
        SuspendHosts();
      }
      break;
    case 5:
      DisturbStore({ 300, 2, 3000 });
      break;
    default:
      for (int count = 0; count < 2; ++count) {
        if (Server& server = drawServer(); server.isReady_) {
          KillServer(server);
        }
      }
  }
}

std::unique_ptr<CallerCall>
OrderSoakFixture::SendToHost(const Host& aHost,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::string& aFields,
                             const std::string& aBody)
{
  return SendTo({ boost::asio::ip::make_address(aHost.process_->Settings().ip_),
                  GatewayProcess::kCallerPort },
                aMethod,
                aTarget,
                aFields,
                aBody);
}

std::unique_ptr<CallerCall>
OrderSoakFixture::SendTry(const Host& aHost,
                          const std::string& aTarget,
                          const std::string& aFields)
{
  auto& idle = idleConnections_[aHost.process_->Settings().ip_];
  while (!idle.empty()) {
    auto call = std::make_unique<CallerCall>();
    call->connection_ = std::move(idle.back());
    idle.pop_back();
    if (call->connection_->IsIdleAndOpen()) {
      ++counts_.reusedConnections_;
      httpstream::Call sentCall;
      sentCall.bytes_ = fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n{}"
                                    "Content-Length: 0\r\n\r\n",
                                    aTarget,
                                    aFields);
      call->connection_->Start(std::move(sentCall), *call);
      return call;
    }
  }
  return SendToHost(aHost, "POST", aTarget, aFields);
}

void
OrderSoakFixture::AddCaller()
{
  ++counts_.streams_;
  EventSequence sequence{ fmt::format("s{}", nextStream_++),
                          static_cast<std::uint64_t>(Draw(3, 40).count()) };
  bool isResumable = !DrawOneIn(4);
  std::string route = isResumable ? kResumableRoute : kSingleRoute;
  if (!otherServers_.empty() && DrawOneIn(8)) {
    isResumable = true;
    route = kOtherRoute;
  }
  callers_.push_back(std::make_unique<Caller>(
    Caller{ OrderStream(std::move(sequence), isResumable),
            std::move(route),
            isResumable,
            DrawOneIn(5) }));
}

void
OrderSoakFixture::Try(Caller& aCaller)
{
  Host& host = DrawEntryHost();
  const OrderStream& stream = aCaller.stream_;
  aCaller.seenBytes_ = 0;
  aCaller.progressAt_ = Clock::now();
  ++aCaller.tries_;
  aCaller.tryId_ = fmt::format("t{}", nextTry_++);
  aCaller.triedAt_ = host.process_->Settings().name_;
  aCaller.address_ = host.process_->Settings().ip_;
  const bool hasShortLimit =
    options_.shortLimitOneIn_ > 0 && DrawOneIn(options_.shortLimitOneIn_);
  const auto limitMs =
    hasShortLimit ? Draw(kMinLimitMs, kMaxLimitMs).count() : kTimeoutMs;
  std::string fields = fmt::format(
    "Attempt-Id: {}\r\nDeadline-Ms: {}\r\n", aCaller.tryId_, limitMs);
  if (options_.hasPrompts_) {
    // Streams of a tenth share the first part of their prompt.
    fields +=
      fmt::format("Model: m\r\nToken-Counts: 60,{}\r\n"
                  "Prompt-Prefix: a{}:40,{:x}:20\r\n",
                  stream.Sequence().count_,
                  std::hash<std::string>()(stream.Sequence().name_) % 10,
                  std::hash<std::string>()(stream.Sequence().name_));
    fields += DrawOneIn(5) ? "Connection: close\r\n" : "";
  }
  if (stream.LastEvent() > 0) {
    fields += fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n",
                          stream.LastEvent(),
                          aCaller.beganAs_);
    ++counts_.resumptions_;
    aCaller.isOwed_ =
      !host.startAt_ && Clock::now() - host.startedAt_ >= kInTouch &&
      IsRouted(stream.Software()) && CountReady(stream.Software()) >= 2;
    counts_.owed_ += aCaller.isOwed_ ? 1 : 0;
  }
  aCaller.call_ = SendTry(host,
                          fmt::format("/{}/{}.{}",
                                      aCaller.route_,
                                      stream.Sequence().name_,
                                      stream.Sequence().count_),
                          fields);
}

void
OrderSoakFixture::AddFault(OrderFault aFault, const std::string& aWhere)
{
  ++counts_.orderFaults_[aFault];
  violations_.push_back(fmt::format("{}: {}", aWhere, NameOf(aFault)));
}

void
OrderSoakFixture::CheckService(const Caller& aCaller, const std::string& aWhere)
{
  const bool isOther =
    aCaller.stream_.Software().starts_with(std::string(kOtherService) + "/");
  if (isOther != (aCaller.route_ == kOtherRoute)) {
    violations_.push_back(fmt::format("{}: ran at {}, its route is {}",
                                      aWhere,
                                      aCaller.stream_.Software(),
                                      aCaller.route_));
  }
}

void
OrderSoakFixture::EndTry(Caller& aCaller)
{
  const auto call = std::move(aCaller.call_);
  OrderStream& stream = aCaller.stream_;
  const std::uint64_t before = stream.LastEvent();
  const std::string where = fmt::format("stream {} (try {} at {}, after {})",
                                        stream.Sequence().name_,
                                        aCaller.tryId_,
                                        aCaller.triedAt_,
                                        before);
  const bool isComplete = call->outcome_ == httpstream::CallOutcome::Complete;
  const bool isStream = call->status_ == kOk;
  if (options_.keepsConnections_ && call->connection_->IsReusable()) {
    idleConnections_[aCaller.address_].push_back(call->connection_);
  }
  if (isStream) {
    if (const auto fault = stream.Add(call->body_)) {
      AddFault(*fault, where);
      aCaller.hasEnded_ = true;
      return;
    }
    if (isComplete && !stream.IsWhole() && options_.truncateOneIn_ > 0 &&
        !MayAskForRest(stream.Software())) {
      ++counts_.undecidable_;
    } else if (isComplete && !stream.IsWhole()) {
      AddFault(OrderFault::EndsEarly,
               fmt::format("{}, ends with \"{}\"",
                           where,
                           call->body_.substr(
                             call->body_.size() -
                             std::min(call->body_.size(), kQuotedBytes))));
    }
  }
  const bool hasAdvanced = stream.LastEvent() > before;
  if (before == 0 && hasAdvanced) {
    CheckService(aCaller, where);
    ++counts_.begun_;
    aCaller.beganAs_ = aCaller.tryId_;
  } else if (before > 0 && (hasAdvanced || (isStream && isComplete))) {
    ++counts_.goneOn_;
    counts_.owedGoneOn_ += aCaller.isOwed_ ? 1 : 0;
  }
  counts_.whole_ += stream.IsWhole() ? 1 : 0;
  aCaller.isOwed_ = false;
  const bool mayTryAgain = stream.LastEvent() == 0 || aCaller.isResumable_;
  aCaller.hasEnded_ = (isStream && isComplete) || stream.IsWhole() ||
                      !mayTryAgain || aCaller.tries_ == kMaxTries;
  aCaller.nextTryAt_ =
    Clock::now() + (DrawOneIn(2) ? Draw(0, 30) : Draw(30, 700));
}

bool
OrderSoakFixture::GivesUp(Caller& aCaller) const
{
  if (aCaller.call_->body_.size() != aCaller.seenBytes_) {
    aCaller.seenBytes_ = aCaller.call_->body_.size();
    aCaller.progressAt_ = Clock::now();
  }
  return options_.hasPrompts_ && !aCaller.isSlow_ &&
         Clock::now() - aCaller.progressAt_ > kCallerPatience;
}

void
OrderSoakFixture::Step()
{
  RunStep();
  for (const auto* servers : { &servers_, &otherServers_ }) {
    for (const auto& server : *servers) {
      if (server->process_) {
        (void)server->process_->CheckRunning();
      }
    }
  }
  for (const auto& caller : callers_) {
    if (caller->call_ && caller->call_->HasEnded()) {
      EndTry(*caller);
    } else if (caller->call_ && GivesUp(*caller)) {
      ++counts_.givenUp_;
      caller->call_->connection_->Cancel();
      EndTry(*caller);
    } else if (!caller->call_ && !caller->hasEnded_ &&
               Clock::now() >= caller->nextTryAt_) {
      Try(*caller);
    } else if (caller->call_ && caller->isSlow_) {
      caller->call_->connection_->SetPaused(!DrawOneIn(8));
    }
  }
  std::erase_if(callers_,
                [](const auto& aCaller) { return aCaller->hasEnded_; });
  if (callers_.size() < kCallers) {
    AddCaller();
  }
  StepJobs();
}

void
OrderSoakFixture::CheckShares()
{
  const double begun =
    static_cast<double>(counts_.begun_) / std::max(counts_.streams_, 1);
  const double goneOn =
    static_cast<double>(counts_.owedGoneOn_) / std::max(counts_.owed_, 1);
  if (counts_.owed_ >= kMinResumptions && goneOn < begun / 2) {
    violations_.push_back(
      fmt::format("{} of {} resumed streams went on, but {} of {} new ones "
                  "began",
                  counts_.owedGoneOn_,
                  counts_.owed_,
                  counts_.begun_,
                  counts_.streams_));
  }
}

void
OrderSoakFixture::ReserveNetwork()
{
  constexpr boost::asio::ip::port_type kReservedPort = 9001;
  network_ =
    fmt::format("127.{}.{}", Draw(20, 219).count(), Draw(1, 250).count());
  INFO("another run uses " << network_);
  REQUIRE_NOTHROW(reservation_.emplace(
    context_,
    boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(network_ + ".1"), kReservedPort),
    false));
}

void
OrderSoakFixture::Run(std::uint64_t aSeed,
                      std::chrono::seconds aTime,
                      const RunOptions& aOptions)
{
  random_.seed(aSeed);
  options_ = aOptions;
  ChooseFaults();
  ReserveNetwork();
  routed_ = { kService };
  if (options_.movesRoute_) {
    routed_.emplace_back(kSecondService);
  }
  WriteConfiguration();
  for (std::size_t server = 0; server < kServers; ++server) {
    const bool isSecond = options_.movesRoute_ && server % 2 == 1;
    AddServer(isSecond ? kSecondService : kService, VersionName(version_));
  }
  StartHosts(kEntryHosts, options_.workers_, {});
  const auto startedAt = Clock::now();
  while (Clock::now() < startedAt + aTime) {
    Step();
    if (Clock::now() > startedAt + kCalmTime &&
        DrawOneIn(options_.stepsPerFault_)) {
      InjectFault();
    }
  }
  if (options_.readsJobsAgain_) {
    ReadJobsAgain();
  }
  CheckShares();
  CheckProcesses();
}

} // namespace pumiceturn::adapter
