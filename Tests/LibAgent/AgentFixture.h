#pragma once

#include "LibAgent/AgentFunction.h"
#include "LibStandin/EngineAnswer.h"
#include "LibStandin/EngineStandin.h"
#include "LibStandin/PlainServiceStandin.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::agent {

/// The messages that a peer received, in order. Thread-safe.
class Inbox
{
public:
  void Push(wire::Message aMessage)
  {
    const std::scoped_lock lock(mutex_);
    messages_.push_back(std::move(aMessage));
    changed_.notify_all();
  }

  void MarkUp()
  {
    const std::scoped_lock lock(mutex_);
    isUp_ = true;
    changed_.notify_all();
  }

  /// @return false if the condition does not hold within a minute.
  bool WaitFor(const std::function<bool(const Inbox&)>& aCondition)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(
      lock, std::chrono::seconds{ 60 }, [&] { return aCondition(*this); });
  }

  /// The following require the lock and may be called only within WaitFor().
  template<typename Type>
  [[nodiscard]] std::vector<Type> All() const
  {
    std::vector<Type> found;
    for (const wire::Message& message : messages_) {
      if (const auto* wanted = std::get_if<Type>(&message)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }
  [[nodiscard]] bool IsUp() const { return isUp_; }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<wire::Message> messages_;
  bool isUp_ = false;
};

/// An agent function on real links, with an endpoint stand-in that the test
/// starts and a peer that sends requests.
class AgentFixture
{
public:
  static constexpr const char* kService = "origin-llm";
  static constexpr const char* kEndpoint = "dk-east-a-1";

  void Start(declarations::ServiceType aType, int aPort)
  {
    settings_.set_host(kEndpoint);
    settings_.mutable_platform()->set_key_prefix("/pumiceturn/");
    settings_.mutable_agent()->set_service(kService);
    settings_.mutable_agent()->set_endpoint(kEndpoint);
    settings_.mutable_agent()->set_engine_address("127.0.0.1:" +
                                                  std::to_string(aPort));
    Declare(aType);
    agentLinks_ =
      StartLinks(kEndpoint, [this](const auto& aPeer, auto aMessage) {
        pool_.Post([this, aPeer, message = std::move(aMessage)] {
          agent_->OnMessage(aPeer, message);
        });
      });
    auto started = base::Capture([this] {
      return AgentFunction::Start(node::Context{ settings_,
                                                 pool_,
                                                 *agentLinks_,
                                                 metrics_,
                                                 *keyValue_,
                                                 hosts_,
                                                 configuration_,
                                                 partitions_,
                                                 quarantine_ });
    });
    REQUIRE(std::holds_alternative<std::unique_ptr<AgentFunction>>(started));
    agent_ = std::get<0>(std::move(started));
    peerLinks_ = StartLinks("entry-a", [this](const auto&, auto aMessage) {
      inbox_.Push(std::move(aMessage));
    });
    peerLinks_->Connect(kEndpoint, agentLinks_->ListenAddress());
    REQUIRE(inbox_.WaitFor([](const Inbox& aInbox) { return aInbox.IsUp(); }));
    WaitUntilReady();
  }

  ~AgentFixture()
  {
    if (agent_) {
      agent_->Stop();
    }
    peerLinks_.reset();
    agentLinks_.reset();
    pool_.Stop();
  }

  wire::StartRun MakeRequest(const std::string& aKey,
                             const std::string& aPrompt)
  {
    wire::StartRun request;
    request.run_ = { base::MakeJobId("slaegtsspor", aKey), 0, 1 };
    request.service_ = kService;
    request.kind_ = "look-up";
    request.online_ = true;
    request.wantChunks_ = true;
    request.deadlineMs_ = 60000;
    request.maxTokens_ = 16;
    request.payload_ = aPrompt;
    request.fingerprint_ = base::HashBytes(aPrompt);
    return request;
  }

  void Send(wire::Message aMessage)
  {
    const base::ResultCode sent =
      peerLinks_->Send(kEndpoint, std::move(aMessage));
    CHECK(sent == base::ResultCode::Ok);
  }

  /// Waits for the end of a run.
  /// @return the RunEnded message that the peer received.
  wire::RunEnded EndOf(const wire::RunId& aRun)
  {
    wire::RunEnded found;
    const bool ended = inbox_.WaitFor([&](const Inbox& aInbox) {
      for (const auto& end : aInbox.All<wire::RunEnded>()) {
        if (end.run_ == aRun) {
          found = end;
          return true;
        }
      }
      return false;
    });
    REQUIRE(ended);
    return found;
  }

  /// @return the text of a run's chunks received so far. Ignores repeated
  /// chunks and checks that none is missing.
  std::string ChunkTextOf(const wire::RunId& aRun)
  {
    std::string text;
    inbox_.WaitFor([&](const Inbox& aInbox) {
      std::uint64_t received = 0;
      for (const auto& chunk : aInbox.All<wire::Chunk>()) {
        if (chunk.run_ != aRun || chunk.sequence_ <= received) {
          continue;
        }
        CHECK(chunk.sequence_ == received + 1);
        received = chunk.sequence_;
        text += chunk.text_;
      }
      return true;
    });
    return text;
  }

  /// Polls, because readiness has no event to wait for.
  void WaitUntilReady()
  {
    WaitUntil(
      [this] { return agent_->GetReadiness() == node::Readiness::Ready; });
  }

  static void WaitUntil(const std::function<bool()>& aCondition)
  {
    const base::Instant deadline =
      base::MonotonicNow() + std::chrono::seconds{ 60 };
    while (!aCondition() && base::MonotonicNow() < deadline) {
      std::this_thread::yield();
    }
    REQUIRE(aCondition());
  }

protected:
  std::unique_ptr<wire::LinkTable> StartLinks(
    const std::string& aHost,
    std::function<void(const std::string&, wire::Message)> aReceive)
  {
    wire::LinkTable::Options options;
    options.host_ = aHost;
    options.listenAddress_ = "127.0.0.1:0";
    wire::LinkTable::Handlers handlers;
    handlers.message_ = std::move(aReceive);
    handlers.state_ = [this, aHost](const std::string& aPeer,
                                    wire::LinkState aState) {
      if (aHost != kEndpoint) {
        if (aState == wire::LinkState::Up) {
          inbox_.MarkUp();
        }
        return;
      }
      pool_.Post([this, aPeer, aState] { agent_->OnLinkState(aPeer, aState); });
    };
    handlers.heartbeat_ = [this, aHost](const std::string& aPeer) {
      wire::Heartbeat heartbeat;
      if (aHost == kEndpoint && agent_) {
        agent_->FillHeartbeat(aPeer, heartbeat);
      }
      return heartbeat;
    };
    auto started = base::Capture(
      [&] { return wire::LinkTable::Start(options, std::move(handlers)); });
    REQUIRE(std::holds_alternative<std::unique_ptr<wire::LinkTable>>(started));
    return std::get<0>(std::move(started));
  }

  void Declare(declarations::ServiceType aType)
  {
    declarations::Configuration configuration;
    configuration.set_version(1);
    auto* service = configuration.mutable_declarations()->add_services();
    service->set_name(kService);
    service->set_type(aType);
    service->set_model("origin");
    auto* endpoint = service->add_endpoints();
    endpoint->set_name(kEndpoint);
    endpoint->set_max_running(4);
    configuration_.Install(std::move(configuration));
  }

  settings::Settings settings_;
  base::WorkerPool pool_{ 2 };
  metrics::Registry metrics_;
  std::unique_ptr<platform::KeyValueClient> keyValue_ =
    platform::KeyValueClient::Make({});
  platform::HostDirectory hosts_{ {} };
  configuration::ConfigurationCache configuration_;
  partition::PartitionTable partitions_;
  routing::QuarantineTable quarantine_;
  std::unique_ptr<wire::LinkTable> agentLinks_;
  std::unique_ptr<wire::LinkTable> peerLinks_;
  std::unique_ptr<AgentFunction> agent_;
  Inbox inbox_;
};

/// An agent with a model engine of four places.
class EngineFixture : public AgentFixture
{
public:
  EngineFixture()
  {
    standin::EngineStandin::Options options;
    options.model_.maxRunning_ = 4;
    options.model_.stepMs_ = 2.0;
    auto started =
      base::Capture([&] { return standin::EngineStandin::Start(options); });
    REQUIRE(
      std::holds_alternative<std::unique_ptr<standin::EngineStandin>>(started));
    engine_ = std::get<0>(std::move(started));
    Start(declarations::SERVICE_TYPE_MODEL, engine_->Port());
  }

  ~EngineFixture() { agent_->Stop(); }

protected:
  std::unique_ptr<standin::EngineStandin> engine_;
};

/// An agent with a plain service.
class PlainFixture : public AgentFixture
{
public:
  PlainFixture()
  {
    auto started =
      base::Capture([] { return standin::PlainServiceStandin::Start({}); });
    REQUIRE(
      std::holds_alternative<std::unique_ptr<standin::PlainServiceStandin>>(
        started));
    service_ = std::get<0>(std::move(started));
    Start(declarations::SERVICE_TYPE_PLAIN, service_->Port());
  }

  ~PlainFixture() { agent_->Stop(); }

protected:
  std::unique_ptr<standin::PlainServiceStandin> service_;
};

} // namespace pumiceturn::agent
