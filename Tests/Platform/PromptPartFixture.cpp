#include "Tests/Platform/PromptPartFixture.h"

#include "LibHttpStream/Status.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

namespace {

constexpr int kSlots = 8;
constexpr milliseconds kEventInterval{ 50 };
constexpr milliseconds kRestartTime{ 2500 };

} // namespace

void
PromptPartFixture::StartFleet(std::size_t aHosts, std::size_t aEndpoints)
{
  WriteConfiguration(1);
  for (std::size_t endpoint = 0; endpoint < aEndpoints; ++endpoint) {
    AddCrashingServer();
  }
  for (std::size_t host = 0; host < aHosts; ++host) {
    StartReadyHost(fmt::format("entry-{}", host + 1));
  }
}

TestHost&
PromptPartFixture::StartReadyHost(const std::string& aName)
{
  TestHost& host = StartHost(aName, batch::BatchPreference::Fallback);
  RunUntil([&] {
    return SendToAndWait(Loopback(host.statusPort_), "GET", "/api/ready")
             ->status_ == 200;
  });
  return host;
}

void
PromptPartFixture::AddCrashingServer()
{
  const std::string name = fmt::format("i-{}", ++startedServers_);
  ServerStandin& server = AddServer(name);
  server.SetEventInterval(kEventInterval);
  SetCrashTrigger(server, name);
  server.SetStart(static_cast<std::int64_t>(startedServers_));
  nlohmann::json registration =
    nlohmann::json::parse(server.Registration("service", "ready"));
  registration["slots"] = kSlots;
  store_.Put("servers/" + name, registration.dump());
}

void
PromptPartFixture::SetCrashTrigger(ServerStandin& aServer,
                                   const std::string& aName)
{
  if (areServersRepaired_) {
    aServer.SetCrashTrigger({ "none" }, [] {});
    return;
  }
  aServer.SetCrashTrigger(
    { traffic_.badPart_, traffic_.crashDelay_, traffic_.eventsBeforeCrash_ },
    [this, aName] { OnCrash(aName); });
}

void
PromptPartFixture::RepairServers()
{
  areServersRepaired_ = true;
  for (const auto& server : servers_) {
    SetCrashTrigger(*server, {});
  }
}

void
PromptPartFixture::OnCrash(const std::string& aServer)
{
  crashedAt_.push_back(Clock::now());
  auto timer =
    std::make_shared<boost::asio::steady_timer>(context_, kRestartTime);
  timer->async_wait(
    [this, timer, aServer](const boost::system::error_code& aError) {
      if (!aError) {
        store_.Remove("servers/" + aServer);
        AddCrashingServer();
      }
    });
}

PromptPartFixture::Call&
PromptPartFixture::SendPrompt(std::size_t aHost, const std::string& aParts)
{
  auto call = std::make_unique<Call>();
  const std::string id = fmt::format("r{}", ++sent_);
  call->host_ = aHost;
  call->sentAt_ = Clock::now();
  call->call_ = Send(hosts_.at(aHost)->callerPort_,
                     "POST",
                     "/resumable/1",
                     fmt::format("Attempt-Id: {}\r\nDeadline-Ms: 5000\r\n"
                                 "Prompt-Prefix: {},own-{}:250\r\n",
                                 id,
                                 aParts,
                                 id),
                     "prompt of " + id);
  calls_.push_back(std::move(call));
  return *calls_.back();
}

void
PromptPartFixture::RepeatFailed()
{
  constexpr unsigned kBadGateway = httpstream::kStatusBadGateway;
  for (std::size_t index = 0; index < calls_.size(); ++index) {
    Call& call = *calls_[index];
    const bool hasFailed = !call.isSound_ && call.call_->HasEnded() &&
                           call.call_->status_ == kBadGateway;
    if (!hasFailed || std::exchange(call.isRepeat_, true)) {
      continue;
    }
    SendPrompt((call.host_ + 1) % hosts_.size(),
               fmt::format("shared:200,{}:60", traffic_.badPart_))
      .isRepeat_ = true;
  }
}

void
PromptPartFixture::Run(const Traffic& aTraffic, milliseconds aTime)
{
  traffic_ = aTraffic;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    SetCrashTrigger(*servers_[index], fmt::format("i-{}", index + 1));
  }
  const auto end = Clock::now() + aTime;
  auto badAt = Clock::now() + traffic_.badInterval_;
  auto soundAt = Clock::now();
  std::size_t turn = 0;
  while (Clock::now() < end) {
    context_.run_one_for(milliseconds(5));
    context_.restart();
    RepeatFailed();
    if (Clock::now() >= badAt) {
      badAt += traffic_.badInterval_;
      SendPrompt(++turn % hosts_.size(),
                 fmt::format("shared:200,{}:60", traffic_.badPart_));
    }
    if (Clock::now() >= soundAt) {
      soundAt += traffic_.soundInterval_;
      SendPrompt(++turn % hosts_.size(), "shared:200,common:60").isSound_ =
        true;
    }
  }
}

void
PromptPartFixture::Settle()
{
  RunUntil([this] {
    return std::all_of(calls_.begin(), calls_.end(), [](const auto& aCall) {
      return aCall->call_->HasEnded();
    });
  });
}

std::size_t
PromptPartFixture::SendsSince(const std::string& aPart,
                              Clock::time_point aSince) const
{
  std::size_t sends = 0;
  for (const auto& server : servers_) {
    for (std::size_t index = 0; index < server->Requests().size(); ++index) {
      const bool hasPart =
        httpstream::ValueOf(server->Requests()[index], "Prompt-Prefix")
          .find(aPart + ":") != std::string_view::npos;
      sends += hasPart && server->ArrivalTimes()[index] > aSince ? 1 : 0;
    }
  }
  return sends;
}

std::size_t
PromptPartFixture::LateSends(const std::string& aPart) const
{
  return crashedAt_.size() < kMaxCrashes
           ? 0
           : SendsSince(aPart, crashedAt_[kMaxCrashes - 1] + kContactTime);
}

std::size_t
PromptPartFixture::Sends(const std::string& aPart) const
{
  return SendsSince(aPart, {});
}

const CallerCall&
PromptPartFixture::SendBadAndWait(std::size_t aHost)
{
  const Call& call =
    SendPrompt(aHost, fmt::format("shared:200,{}:60", traffic_.badPart_));
  RunUntil([&call] { return call.call_->HasEnded(); });
  return *call.call_;
}

double
PromptPartFixture::ServedShare(Clock::time_point aSince) const
{
  double all = 0;
  double served = 0;
  for (const auto& call : calls_) {
    if (!call->isSound_ || call->sentAt_ < aSince) {
      continue;
    }
    ++all;
    served += call->call_->body_ == WholeStream() ? 1 : 0;
  }
  return all > 0 ? served / all : 0;
}

} // namespace pumiceturn::adapter
