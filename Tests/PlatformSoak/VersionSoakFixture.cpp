#include "Tests/PlatformSoak/VersionSoakFixture.h"

#include "Tests/Platform/TestRoute.h"
#include "Tests/PlatformSoak/Environment.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 5 };
constexpr std::size_t kEntryHosts = 6;
constexpr std::size_t kWorkers = 3;
constexpr std::size_t kServers = 9;
constexpr std::size_t kMaxStreams = 120;
constexpr int kMaxTries = 5;
constexpr unsigned kOk = 200;
constexpr int kStreamTimeoutMs = 3000;

/// Time without faults at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 3 };

/// Uptime from which a host is expected to know what the others know.
constexpr std::chrono::seconds kInTouch{ 3 };

constexpr int kMeanStepsPerFault = 200;
constexpr int kMinResumptions = 12;

std::string
FormatAddress(const boost::asio::ip::tcp::endpoint& aAddress)
{
  return fmt::format("{}:{}", aAddress.address().to_string(), aAddress.port());
}

/// @return the complete events at the beginning of a body.
std::string
CompleteEvents(const std::string& aBody)
{
  const std::size_t end = aBody.rfind("\n\n");
  return end == std::string::npos ? std::string() : aBody.substr(0, end + 2);
}

std::size_t
CountEvents(const std::string& aEvents)
{
  std::size_t count = 0;
  for (std::size_t at = aEvents.find("id: "); at != std::string::npos;
       at = aEvents.find("id: ", at + 1)) {
    ++count;
  }
  return count;
}

std::string
VersionName(int aVersion)
{
  return fmt::format("v{}", aVersion);
}

} // namespace

VersionSoakFixture::VersionSoakFixture()
  : folder_(std::filesystem::temp_directory_path() /
            fmt::format("pumiceturn-version-soak-{}", ::getpid()))
  , store_(context_)
{
  std::filesystem::create_directories(folder_);
  store_.EnableLeaseExpiry();
}

VersionSoakFixture::~VersionSoakFixture()
{
  for (const auto& stream : streams_) {
    if (stream->call_) {
      stream->call_->connection_->Cancel();
    }
  }
  hosts_.clear();
  // The logs of a run with violations are kept.
  if (violations_.empty() && ReadNumber("PUMICETURN_SOAK_KEEP_LOGS", 0) == 0) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

milliseconds
VersionSoakFixture::Draw(int aMinMs, int aMaxMs)
{
  return milliseconds(
    std::uniform_int_distribution<int>(aMinMs, aMaxMs)(random_));
}

void
VersionSoakFixture::RunAfter(milliseconds aTime, std::function<void()> aAction)
{
  scheduled_.push_back({ Clock::now() + aTime, std::move(aAction) });
}

void
VersionSoakFixture::WriteConfiguration()
{
  json route = MakeTestRoute("look-up", "stream");
  route["resumable"] = true;
  route["timeoutMs"] = kStreamTimeoutMs;
  store_.Put(
    "op/config",
    json{ { "version", 1 },
          { "routes", { std::move(route) } },
          { "services", { { { "name", "service" }, { "maxConns", 500 } } } } }
      .dump());
}

void
VersionSoakFixture::AddServer(const std::string& aVersion)
{
  Server server{ fmt::format("i-{}", nextServer_++), nullptr };
  server.standin_ = std::make_unique<ServerStandin>(context_, server.id_);
  server.standin_->SetVersion(aVersion);
  json registration =
    json::parse(server.standin_->Registration("service", "ready"));
  registration["slots"] = 32;
  store_.Put("servers/" + server.id_, registration.dump());
  servers_.push_back(std::move(server));
}

void
VersionSoakFixture::EndServer(std::size_t aIndex)
{
  servers_[aIndex].standin_->Crash();
  endedServers_.push_back(std::move(servers_[aIndex]));
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(aIndex));
}

void
VersionSoakFixture::StartHost(Host& aHost)
{
  aHost.startAt_.reset();
  aHost.startedAt_ = Clock::now();
  aHost.process_->Start();
}

void
VersionSoakFixture::StartFleet()
{
  WriteConfiguration();
  for (std::size_t server = 0; server < kServers; ++server) {
    AddServer(VersionName(version_));
  }
  const std::string network =
    fmt::format("127.{}.{}", Draw(20, 219).count(), Draw(1, 250).count());
  for (std::size_t index = 0; index < kEntryHosts + kWorkers; ++index) {
    auto host = std::make_unique<Host>();
    host->storePort_ = store_.OpenPort();
    host->storeProxy_ =
      std::make_unique<FaultProxy>(context_, Loopback(host->storePort_));
    GatewayProcess::HostSettings settings;
    settings.isEntry_ = index < kEntryHosts;
    settings.name_ =
      fmt::format("{}-{}", settings.isEntry_ ? "entry" : "worker", index);
    settings.ip_ = fmt::format("{}.{}", network, index + 10);
    settings.store_ = FormatAddress(host->storeProxy_->Address());
    host->process_ = std::make_unique<GatewayProcess>(settings, folder_);
    StartHost(*host);
    hosts_.push_back(std::move(host));
  }
}

int
VersionSoakFixture::CountServers(const std::string& aVersion) const
{
  return static_cast<int>(
    std::count_if(servers_.begin(), servers_.end(), [&](const Server& aServer) {
      return aServer.standin_->Version() == aVersion;
    }));
}

std::string
VersionSoakFixture::VersionOf(const std::string& aEvents)
{
  const std::size_t end = aEvents.find('\n', aEvents.find("data: "));
  const std::size_t at = aEvents.rfind('@', end);
  return at == std::string::npos ? std::string(ServerStandin::kDefaultVersion)
                                 : aEvents.substr(at + 1, end - at - 1);
}

void
VersionSoakFixture::Try(Stream& aStream)
{
  Host& host = *hosts_[static_cast<std::size_t>(
                         Draw(1, static_cast<int>(kEntryHosts)).count()) -
                       1];
  ++aStream.tries_;
  aStream.tryId_ = fmt::format("t{}", nextTry_++);
  std::string fields = fmt::format(
    "Attempt-Id: {}\r\nDeadline-Ms: {}\r\n", aStream.tryId_, kStreamTimeoutMs);
  const std::size_t events = CountEvents(aStream.events_);
  if (events > 0) {
    fields += fmt::format(
      "Last-Event-Id: {}\r\nResumes: {}\r\n", events, aStream.beganAs_);
    ++counts_.resumptions_;
    aStream.isOwed_ = !host.startAt_ &&
                      Clock::now() - host.startedAt_ >= kInTouch &&
                      CountServers(VersionOf(aStream.events_)) >= 2;
    counts_.owed_ += aStream.isOwed_ ? 1 : 0;
  }
  aStream.call_ =
    SendTo({ boost::asio::ip::make_address(host.process_->Settings().ip_),
             GatewayProcess::kCallerPort },
           "POST",
           fmt::format("/look-up/pause-{}", Draw(50, 700).count()),
           fields,
           {});
}

void
VersionSoakFixture::EndTry(Stream& aStream)
{
  const bool isFirst = aStream.events_.empty();
  const std::string events = aStream.call_->status_ == kOk
                               ? CompleteEvents(aStream.call_->body_)
                               : std::string();
  const bool isComplete =
    aStream.call_->outcome_ == httpstream::CallOutcome::Complete &&
    aStream.call_->status_ == kOk;
  aStream.call_.reset();
  if (!events.empty() && isFirst) {
    aStream.beganAs_ = aStream.tryId_;
    ++counts_.begun_;
  } else if (!isFirst && (!events.empty() || isComplete)) {
    ++counts_.goneOn_;
    counts_.owedGoneOn_ += aStream.isOwed_ ? 1 : 0;
  }
  aStream.isOwed_ = false;
  aStream.events_ += events;
  aStream.nextTryAt_ =
    Clock::now() + (DrawOneIn(2) ? Draw(0, 30) : Draw(30, 700));
  if (isComplete || aStream.tries_ == kMaxTries) {
    EndStream(aStream);
  }
}

void
VersionSoakFixture::EndStream(Stream& aStream)
{
  aStream.tries_ = kMaxTries;
  const std::string& events = aStream.events_;
  if (events.empty()) {
    return;
  }
  const std::string version = VersionOf(events);
  std::string whole;
  for (std::uint64_t id = 1; id <= ServerStandin::kEventCount; ++id) {
    whole += fmt::format(
      "id: {}\ndata: {}\n\n", id, ServerStandin::EventData(id, version));
  }
  counts_.whole_ += events == whole ? 1 : 0;
  if (!whole.starts_with(events)) {
    ++counts_.joined_;
    violations_.push_back(fmt::format("stream {} holds other events than those "
                                      "of {}: {}",
                                      aStream.beganAs_,
                                      version,
                                      json(events).dump()));
  }
}

void
VersionSoakFixture::RunScheduled()
{
  for (ScheduledAction& action : std::exchange(scheduled_, {})) {
    if (action.at_ <= Clock::now()) {
      action.action_();
    } else {
      scheduled_.push_back(std::move(action));
    }
  }
}

void
VersionSoakFixture::Step()
{
  context_.run_for(kStep);
  context_.restart();
  RunScheduled();
  for (const auto& host : hosts_) {
    const bool isRunning = host->process_->CheckRunning();
    if (!isRunning && host->startAt_ && Clock::now() >= *host->startAt_) {
      ++counts_.restarts_;
      StartHost(*host);
    }
  }
  for (const auto& stream : streams_) {
    if (stream->call_ && stream->call_->HasEnded()) {
      EndTry(*stream);
    } else if (!stream->call_ && stream->tries_ < kMaxTries &&
               Clock::now() >= stream->nextTryAt_) {
      Try(*stream);
    }
  }
  std::erase_if(streams_, [](const auto& aStream) {
    return !aStream->call_ && aStream->tries_ == kMaxTries;
  });
  if (streams_.size() < kMaxStreams) {
    ++counts_.streams_;
    streams_.push_back(std::make_unique<Stream>());
  }
}

void
VersionSoakFixture::KillHosts(int aOneIn, bool aWithWorkers)
{
  const milliseconds down = Draw(0, 1500);
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    Host& host = *hosts_[index];
    const bool isKind = index < kEntryHosts || aWithWorkers;
    if (isKind && !host.startAt_ && DrawOneIn(aOneIn)) {
      host.process_->Signal(SIGCONT);
      host.process_->ExpectEnd();
      host.process_->Signal(SIGKILL);
      host.startAt_ = Clock::now() + down + Draw(0, 300);
    }
  }
}

void
VersionSoakFixture::SuspendHosts()
{
  for (const auto& host : hosts_) {
    if (DrawOneIn(3)) {
      host->process_->Signal(SIGSTOP);
      RunAfter(Draw(100, 1500),
               [&host = *host] { host.process_->Signal(SIGCONT); });
    }
  }
}

void
VersionSoakFixture::DisturbStore()
{
  const int kind = static_cast<int>(Draw(0, 2).count());
  for (const auto& host : hosts_) {
    FaultProxy& proxy = *host->storeProxy_;
    if (kind == 0) {
      proxy.SetJitter(Draw(0, 300), static_cast<std::uint32_t>(random_()));
    } else if (kind == 1 && DrawOneIn(2)) {
      proxy.SetBlocked(DrawOneIn(2), true);
    } else if (kind == 2 && DrawOneIn(2)) {
      store_.SetPortBehaviour(host->storePort_, StoreBehaviour::Refusing);
    }
    RunAfter(Draw(500, 3000), [this, &host = *host] {
      host.storeProxy_->SetJitter(milliseconds(0), 0);
      host.storeProxy_->SetBlocked(false, false);
      store_.SetPortBehaviour(host.storePort_, StoreBehaviour::Serving);
    });
  }
}

void
VersionSoakFixture::CrashServers()
{
  // Their registrations stay for a while.
  for (std::size_t count = 0; count < 3 && servers_.size() > 3; ++count) {
    const auto index = static_cast<std::size_t>(
      Draw(0, static_cast<int>(servers_.size()) - 1).count());
    const std::string id = servers_[index].id_;
    const std::string version = servers_[index].standin_->Version();
    EndServer(index);
    RunAfter(Draw(200, 2000), [this, id, version] {
      store_.Remove("servers/" + id);
      AddServer(version);
    });
  }
}

void
VersionSoakFixture::BeginRelease()
{
  ++counts_.releases_;
  const std::string version = VersionName(++version_);
  const milliseconds gap = Draw(20, 400);
  // Some releases replace a part of the servers, so that versions stay side by
  // side.
  const int replaced = static_cast<int>(Draw(3, kServers).count());
  for (int index = 0; index < replaced; ++index) {
    RunAfter(gap * index, [this, version] {
      AddServer(version);
      if (servers_.size() > kServers) {
        const std::string id = servers_.front().id_;
        store_.Put(
          "servers/" + id,
          servers_.front().standin_->Registration("service", "draining"));
        RunAfter(milliseconds(1500), [this, id] {
          for (std::size_t at = 0; at < servers_.size(); ++at) {
            if (servers_[at].id_ == id) {
              store_.Remove("servers/" + id);
              EndServer(at);
              return;
            }
          }
        });
      }
    });
  }
}

void
VersionSoakFixture::InjectFault()
{
  ++counts_.faults_;
  switch (Draw(0, 8).count()) {
    case 0:
    case 1:
      BeginRelease();
      break;
    case 2:
      BeginRelease();
      KillHosts(2, false);
      break;
    case 3:
      CrashServers();
      KillHosts(3, false);
      break;
    case 4:
      KillHosts(2, true);
      break;
    case 5:
      KillHosts(1, DrawOneIn(2));
      break;
    case 6:
      SuspendHosts();
      break;
    case 7:
      DisturbStore();
      break;
    default:
      CrashServers();
      break;
  }
}

void
VersionSoakFixture::CheckShares()
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
VersionSoakFixture::Run(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  random_.seed(aSeed);
  StartFleet();
  const auto startedAt = Clock::now();
  while (Clock::now() < startedAt + aTime) {
    Step();
    if (Clock::now() > startedAt + kCalmTime && DrawOneIn(kMeanStepsPerFault)) {
      InjectFault();
    }
  }
  for (const auto& stream : streams_) {
    EndStream(*stream);
  }
  CheckShares();
  for (const auto& host : hosts_) {
    if (host->process_->CrashCount() > 0) {
      violations_.push_back(host->process_->Settings().name_ +
                            ": ended unexpectedly");
    }
  }
}

} // namespace pumiceturn::adapter
