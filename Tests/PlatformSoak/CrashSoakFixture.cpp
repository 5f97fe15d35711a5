#include "Tests/PlatformSoak/CrashSoakFixture.h"

#include "LibHttpStream/Status.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEntryHosts = 4;
constexpr std::size_t kWorkers = 2;
constexpr int kServers = 14;
constexpr int kSlots = 8;

/// Time without disturbances at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 2 };

/// Time until a host knows what others observed, and twice that.
constexpr std::chrono::seconds kContactTime{ 3 };

/// Crashes after which requests with a part count as known.
constexpr std::size_t kKnownCrashes = 5;
constexpr int kMaxLateSends = 3;

/// Least share of the sound requests that are served at the first try, with
/// that many of them.
constexpr double kMinServedShare = 0.5;
constexpr int kMinSound = 20;

/// Ends the ids of the parts that crash servers.
constexpr std::string_view kBadSuffix = "-bad";

constexpr int kMeanStepsPerBad = 12;
constexpr int kMeanStepsPerSound = 5;
constexpr int kMeanStepsPerOwnCrash = 600;
constexpr int kMeanStepsPerDisturbance = 150;

std::string
SharedPart()
{
  return "shared";
}

} // namespace

void
CrashSoakFixture::WriteConfiguration()
{
  json route = MakeTestRoute("resumable", "stream");
  route["resumable"] = true;
  route["timeoutMs"] = Draw(6000, 20000).count();
  ++counts_.configurations_;
  store_.Put(
    "op/config",
    json{ { "version", ++configuration_ },
          { "routes", json::array({ std::move(route) }) },
          { "services", { { { "name", "service" }, { "maxConns", 500 } } } } }
      .dump());
}

void
CrashSoakFixture::AddServer(const std::string& aVersion)
{
  Server server{ fmt::format("i-{}", ++nextServer_), nullptr };
  server.standin_ = std::make_unique<ServerStandin>(context_, server.id_);
  server.standin_->SetVersion(aVersion);
  server.standin_->SetEventInterval(Draw(30, 90));
  server.standin_->SetStart(nextServer_);
  json registration =
    json::parse(server.standin_->Registration("service", "ready"));
  registration["slots"] = kSlots;
  store_.Put("servers/" + server.id_, registration.dump());
  servers_.push_back(std::move(server));
  SetTrigger(servers_.back());
}

void
CrashSoakFixture::SetTrigger(Server& aServer)
{
  const CrashTrigger trigger{ std::string(kBadSuffix),
                              Draw(50, 200),
                              static_cast<std::uint64_t>(Draw(0, 2).count()) };
  aServer.standin_->SetCrashTrigger(trigger,
                                    [this, id = aServer.id_] { OnCrash(id); });
}

std::size_t
CrashSoakFixture::PartOf(const httpstream::Request& aRequest) const
{
  const std::string_view prompt =
    httpstream::ValueOf(aRequest, "Prompt-Prefix");
  const auto found =
    std::find_if(parts_.begin(), parts_.end(), [prompt](const Part& aPart) {
      return prompt.find(aPart.id_ + ":") != std::string_view::npos;
    });
  return found == parts_.end()
           ? kSound
           : static_cast<std::size_t>(found - parts_.begin());
}

void
CrashSoakFixture::OnCrash(const std::string& aServer)
{
  ++counts_.crashesByParts_;
  const auto server =
    std::find_if(servers_.begin(), servers_.end(), [&](const Server& aOther) {
      return aOther.id_ == aServer;
    });
  // The first such request is the one that it crashed under.
  for (const httpstream::Request& request : server->standin_->Requests()) {
    if (const std::size_t part = PartOf(request); part != kSound) {
      parts_[part].crashedAt_.push_back(Clock::now());
      break;
    }
  }
  RunAfter(Draw(2000, 5000), [this, aServer] {
    Remove(aServer);
    AddServer(fmt::format("v{}", version_));
  });
}

void
CrashSoakFixture::Remove(const std::string& aServer)
{
  store_.Remove("servers/" + aServer);
}

void
CrashSoakFixture::EndOneServer()
{
  Server& server = servers_[static_cast<std::size_t>(
    Draw(0, static_cast<int>(servers_.size()) - 1).count())];
  if (server.standin_->HasCrashed() || server.isDraining_) {
    return;
  }
  ++counts_.ownCrashes_;
  server.standin_->End();
  RunAfter(Draw(2000, 5000), [this, id = server.id_] {
    Remove(id);
    AddServer(fmt::format("v{}", version_));
  });
}

void
CrashSoakFixture::Release()
{
  ++counts_.releases_;
  const std::string version = fmt::format("v{}", ++version_);
  int replaced = 0;
  for (Server& server : servers_) {
    if (server.standin_->HasCrashed() || server.isDraining_ ||
        replaced == kServers / 3) {
      continue;
    }
    ++replaced;
    server.isDraining_ = true;
    store_.Put("servers/" + server.id_,
               server.standin_->Registration("service", "draining"));
    RunAfter(std::chrono::seconds(2), [this, id = server.id_] { Remove(id); });
  }
  for (; replaced > 0; --replaced) {
    AddServer(version);
  }
}

void
CrashSoakFixture::Disturb(Host& aHost)
{
  switch (Draw(0, 2).count()) {
    case 0:
      KillHost(aHost, Draw(0, 1500));
      break;
    case 1:
      aHost.process_->ExpectEnd();
      aHost.process_->Signal(SIGTERM);
      RunAfter(std::chrono::seconds(4), [this, &aHost] {
        if (!aHost.startAt_) {
          KillHost(aHost, milliseconds(0));
        }
      });
      disturbedUntil_[&aHost] = Clock::now() + std::chrono::seconds(6);
      return;
    default:
      aHost.process_->Signal(SIGSTOP);
      RunAfter(Draw(100, 1500), [&aHost] { aHost.process_->Signal(SIGCONT); });
  }
  disturbedUntil_[&aHost] = Clock::now() + std::chrono::seconds(3);
}

void
CrashSoakFixture::DisturbSomething()
{
  constexpr StoreDisturbance kStoreDisturbance{ 300, 2, 2000 };
  switch (Draw(0, 5).count()) {
    case 0:
      WriteConfiguration();
      break;
    case 1:
      Release();
      break;
    case 2:
      DisturbStore(kStoreDisturbance);
      break;
    case 3:
      // One after the other, or all.
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        RunAfter(milliseconds(700) * host, [this, host] {
          if (!hosts_[host]->startAt_) {
            KillHost(*hosts_[host], milliseconds(100));
            disturbedUntil_[hosts_[host].get()] =
              Clock::now() + std::chrono::seconds(1);
          }
        });
      }
      break;
    default:
      if (Host& host = DrawEntryHost(); !host.startAt_) {
        Disturb(host);
      }
  }
}

bool
CrashSoakFixture::IsInTouch(const Host& aHost) const
{
  const auto found = disturbedUntil_.find(&aHost);
  const auto since = found != disturbedUntil_.end()
                       ? std::max(found->second, aHost.startedAt_)
                       : aHost.startedAt_;
  return Clock::now() - since > kContactTime;
}

void
CrashSoakFixture::Send(Host& aHost, std::size_t aPart)
{
  SentRequest request;
  const std::string id = fmt::format("r{}", requests_.size() + 1);
  const std::string second = aPart == kSound
                               ? fmt::format("common-{}", Draw(0, 40).count())
                               : parts_[aPart].id_;
  request.host_ = &aHost;
  request.sentAt_ = Clock::now();
  request.part_ = aPart;
  request.wasInTouch_ = IsInTouch(aHost);
  request.call_ =
    SendTo({ boost::asio::ip::make_address(aHost.process_->Settings().ip_),
             GatewayProcess::kCallerPort },
           "POST",
           "/resumable/1",
           fmt::format("Attempt-Id: {}\r\nDeadline-Ms: 5000\r\n"
                       "Prompt-Prefix: {}:200,{}:60,own-{}:250\r\n",
                       id,
                       SharedPart(),
                       second,
                       id),
           "prompt of " + id);
  requestsById_[id] = requests_.size();
  requests_.push_back(std::move(request));
  ++(aPart == kSound ? counts_.soundSent_ : counts_.badSent_);
}

void
CrashSoakFixture::SendRequests()
{
  if (DrawOneIn(kMeanStepsPerSound)) {
    Send(DrawEntryHost(), kSound);
  }
  if (!DrawOneIn(kMeanStepsPerBad)) {
    return;
  }
  const auto part = static_cast<std::size_t>(
    Draw(0, static_cast<int>(parts_.size()) - 1).count());
  if (Clock::now() >= parts_[part].from_) {
    Send(DrawEntryHost(), part);
  }
}

void
CrashSoakFixture::RepeatFailed()
{
  for (std::size_t index = 0; index < requests_.size(); ++index) {
    SentRequest& request = requests_[index];
    const bool hasFailed =
      request.part_ != kSound && request.call_->HasEnded() &&
      request.call_->status_ == httpstream::kStatusBadGateway;
    if (!hasFailed || std::exchange(request.isRepeat_, true)) {
      continue;
    }
    const std::size_t part = request.part_;
    Send(DrawEntryHost(), part);
    requests_.back().isRepeat_ = true;
  }
}

void
CrashSoakFixture::CheckLateSends(std::size_t aPart)
{
  const Part& part = parts_[aPart];
  if (part.crashedAt_.size() < kKnownCrashes) {
    return;
  }
  const auto since = part.crashedAt_[kKnownCrashes - 1] + kContactTime;
  int late = 0;
  for (const Server& server : servers_) {
    const auto& requests = server.standin_->Requests();
    for (std::size_t index = 0; index < requests.size(); ++index) {
      const auto found = requestsById_.find(
        std::string(httpstream::ValueOf(requests[index], "Attempt-Id")));
      if (found == requestsById_.end()) {
        continue;
      }
      const SentRequest& request = requests_[found->second];
      late += request.part_ == aPart && request.wasInTouch_ &&
                  server.standin_->ArrivalTimes()[index] > since
                ? 1
                : 0;
    }
  }
  counts_.lateSends_ += late;
  if (late > kMaxLateSends) {
    violations_.push_back(
      fmt::format("{}: reached servers {} times though it had crashed five",
                  part.id_,
                  late));
  }
}

void
CrashSoakFixture::CheckServed()
{
  int all = 0;
  int served = 0;
  for (const SentRequest& request : requests_) {
    if (request.part_ != kSound) {
      continue;
    }
    const bool isServed = request.call_->status_ == httpstream::kStatusOk;
    counts_.soundServed_ += isServed ? 1 : 0;
    const bool isLate =
      std::any_of(parts_.begin(), parts_.end(), [&](const Part& aPart) {
        return !aPart.crashedAt_.empty() &&
               request.sentAt_ > aPart.crashedAt_.front() + 2 * kContactTime;
      });
    if (request.wasInTouch_ && isLate) {
      ++all;
      served += isServed ? 1 : 0;
    }
  }
  if (all >= kMinSound && served < kMinServedShare * all) {
    violations_.push_back(
      fmt::format("{} of {} sound requests served", served, all));
  }
}

void
CrashSoakFixture::Run(std::uint64_t aSeed, std::chrono::seconds aTime)
{
  constexpr std::chrono::seconds kSettleTime{ 8 };
  random_.seed(aSeed);
  const auto startedAt = Clock::now();
  const auto count = Draw(1, 2).count();
  for (int part = 0; part < count; ++part) {
    parts_.push_back({ fmt::format("{}{}", part, kBadSuffix),
                       startedAt + kCalmTime + Draw(0, 3000),
                       {} });
  }
  WriteConfiguration();
  for (int server = 0; server < kServers; ++server) {
    AddServer("v1");
  }
  StartHosts(kEntryHosts, kWorkers, {});
  while (Clock::now() < startedAt + aTime) {
    RunStep();
    if (Clock::now() < startedAt + kCalmTime) {
      continue;
    }
    SendRequests();
    RepeatFailed();
    if (DrawOneIn(kMeanStepsPerOwnCrash)) {
      EndOneServer();
    }
    if (DrawOneIn(kMeanStepsPerDisturbance)) {
      DisturbSomething();
    }
  }
  const auto end = Clock::now() + kSettleTime;
  const auto isPending = [](const SentRequest& aRequest) {
    return !aRequest.call_->HasEnded();
  };
  while (Clock::now() < end &&
         std::any_of(requests_.begin(), requests_.end(), isPending)) {
    RunStep();
  }
  for (std::size_t part = 0; part < parts_.size(); ++part) {
    CheckLateSends(part);
  }
  CheckServed();
  CheckProcesses();
}

} // namespace pumiceturn::adapter
