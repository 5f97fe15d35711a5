#pragma once

#include "LibBase/Strand.h"
#include "LibEntry/EntryFunction.h"

#include <Caller.grpc.pb.h>
#include <Operator.grpc.pb.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::entry {

/// A keeper or an agent with a real link and scripted replies.
class FakePeer
{
public:
  /// Handles a message; called on the peer's link thread.
  using Script = std::function<void(FakePeer& aSelf,
                                    const std::string& aFrom,
                                    const wire::Message& aMessage)>;

  FakePeer(std::string aName, Script aScript);

  void Send(const std::string& aTo, wire::Message aMessage);

  [[nodiscard]] std::string Address() const { return links_->ListenAddress(); }

  /// @return whether a matching message was received within the timeout.
  template<typename Message>
  bool WaitFor(const std::function<bool(const Message&)>& aPredicate);

  /// @return the received messages of one type.
  template<typename Message>
  std::vector<Message> Received();

private:
  void OnMessage(const std::string& aFrom, const wire::Message& aMessage);

  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<wire::Message> received_;
  Script script_;
  std::unique_ptr<wire::LinkTable> links_;
};

/// An entry with real gRPC and real links on loopback, one fake keeper that
/// owns all partitions, and two fake agents.
class FakeFleet
{
public:
  static constexpr const char* kToken = "portal-token";

  FakeFleet(FakePeer::Script aKeeper,
            FakePeer::Script aFirstAgent,
            FakePeer::Script aSecondAgent);
  ~FakeFleet();
  FakeFleet(const FakeFleet&) = delete;
  FakeFleet& operator=(const FakeFleet&) = delete;

  /// Waits until the links to the keeper and to aAgents are up.
  void WaitForLinks(const std::vector<std::string>& aAgents);

  /// @return a context with the token and a deadline of 20 s.
  static std::unique_ptr<grpc::ClientContext> MakeContext(
    const std::string& aToken = kToken);

  void KillFirstAgent() { agents_[0].reset(); }

  routing::QuarantineTable& Quarantine() { return quarantine_; }
  EntryFunction& Entry() { return *entry_; }
  FakePeer& Keeper() { return *keeper_; }
  FakePeer& Agent(std::size_t aIndex) { return *agents_.at(aIndex); }
  caller::Caller::Stub& Callers() { return *callers_; }
  operations::Operator::Stub& Operators() { return *operators_; }

private:
  void StartLinks();
  void Configure();

  std::mutex mutex_;
  std::condition_variable linked_;
  std::set<std::string> up_; ///< Peers whose link has come up.
  bool isStarted_ = false;
  settings::Settings settings_;
  std::unique_ptr<FakePeer> keeper_;
  std::vector<std::unique_ptr<FakePeer>> agents_;
  base::WorkerPool pool_{ 2 };
  base::Strand strand_{ pool_ };
  metrics::Registry metrics_;
  std::unique_ptr<platform::KeyValueClient> keyValue_;
  platform::HostDirectory hosts_{ {} };
  configuration::ConfigurationCache configuration_;
  partition::PartitionTable partitions_;
  routing::QuarantineTable quarantine_;
  std::unique_ptr<wire::LinkTable> links_;
  std::shared_ptr<std::atomic<EntryFunction*>> entryPointer_ =
    std::make_shared<std::atomic<EntryFunction*>>(nullptr);
  std::unique_ptr<EntryFunction> entry_;
  std::unique_ptr<caller::Caller::Stub> callers_;
  std::unique_ptr<operations::Operator::Stub> operators_;
};

template<typename Message>
bool
FakePeer::WaitFor(const std::function<bool(const Message&)>& aPredicate)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  std::unique_lock lock(mutex_);
  return arrived_.wait_for(lock, kTimeout, [&] {
    for (const wire::Message& message : received_) {
      const auto* match = std::get_if<Message>(&message);
      if (match != nullptr && aPredicate(*match)) {
        return true;
      }
    }
    return false;
  });
}

template<typename Message>
std::vector<Message>
FakePeer::Received()
{
  const std::lock_guard lock(mutex_);
  std::vector<Message> matches;
  for (const wire::Message& message : received_) {
    if (const auto* match = std::get_if<Message>(&message)) {
      matches.push_back(*match);
    }
  }
  return matches;
}

} // namespace pumiceturn::entry
