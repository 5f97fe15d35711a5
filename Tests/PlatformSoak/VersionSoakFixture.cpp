#include "Tests/PlatformSoak/VersionSoakFixture.h"

#include "Tests/Platform/TestRoute.h"
#include "Tests/PlatformSoak/EventText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

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
VersionName(int aVersion)
{
  return fmt::format("v{}", aVersion);
}

} // namespace

VersionSoakFixture::VersionSoakFixture()
  : FleetSoakFixture("version")
{
}

VersionSoakFixture::~VersionSoakFixture()
{
  for (const auto& stream : streams_) {
    if (stream->call_) {
      stream->call_->connection_->Cancel();
    }
  }
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
VersionSoakFixture::StartFleet()
{
  WriteConfiguration();
  for (std::size_t server = 0; server < kServers; ++server) {
    AddServer(VersionName(version_));
  }
  StartHosts(kEntryHosts, kWorkers, {});
}

int
VersionSoakFixture::CountServers(const std::string& aVersion) const
{
  return static_cast<int>(
    std::count_if(servers_.begin(), servers_.end(), [&](const Server& aServer) {
      return aServer.standin_->Version() == aVersion;
    }));
}

void
VersionSoakFixture::Try(Stream& aStream)
{
  Host& host = DrawEntryHost();
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
VersionSoakFixture::Step()
{
  RunStep();
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
      KillHost(host, down + Draw(0, 300));
    }
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
      DisturbStore({ 300, 2, 3000 });
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
  CheckProcesses();
}

} // namespace pumiceturn::adapter
