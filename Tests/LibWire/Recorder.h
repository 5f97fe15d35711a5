#pragma once

#include "LibBase/Result.h"
#include "LibWire/LinkTable.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::wire {

/// A process with a link table that records what its handlers hear.
class Recorder
{
public:
  /// Only so that a broken test ends; no test's verdict depends on it.
  static constexpr std::chrono::seconds kPatience{ 60 };

  explicit Recorder(LinkTable::Options aOptions)
  {
    LinkTable::Handlers handlers;
    handlers.message_ = [this](const std::string& aPeer, Message aMessage) {
      OnMessage(aPeer, std::move(aMessage));
    };
    handlers.state_ = [this](const std::string& aPeer, LinkState aState) {
      const std::lock_guard lock(mutex_);
      states_[aPeer].push_back(aState);
      changed_.notify_all();
    };
    handlers.heartbeat_ = [](const std::string&) {
      Heartbeat heartbeat;
      heartbeat.running_ = 7;
      return heartbeat;
    };
    table_ = std::get<0>(base::Capture(
      [&] { return LinkTable::Start(std::move(aOptions), handlers); }));
  }

  LinkTable& Table() { return *table_; }
  void Destroy() { table_.reset(); }

  /// Runs on the link thread for each message that is no heartbeat.
  void SetHook(std::function<void()> aHook)
  {
    const std::lock_guard lock(mutex_);
    hook_ = std::move(aHook);
  }

  template<typename Condition>
  bool WaitUntil(Condition aCondition)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, aCondition);
  }

  bool WaitForState(const std::string& aPeer, LinkState aState, long aTimes = 1)
  {
    return WaitUntil([&] {
      const auto& states = states_[aPeer];
      return std::count(states.begin(), states.end(), aState) >= aTimes;
    });
  }

  bool WaitForMessages(const std::string& aPeer, std::size_t aCount)
  {
    return WaitUntil([&] { return messages_[aPeer].size() >= aCount; });
  }

  std::vector<LinkState> States(const std::string& aPeer)
  {
    const std::lock_guard lock(mutex_);
    return states_[aPeer];
  }

  std::vector<Message> Messages(const std::string& aPeer)
  {
    const std::lock_guard lock(mutex_);
    return messages_[aPeer];
  }

  bool WaitForHeartbeat(const std::string& aPeer)
  {
    return WaitUntil([&] { return heartbeats_[aPeer].running_ == 7; });
  }

private:
  void OnMessage(const std::string& aPeer, Message aMessage)
  {
    std::function<void()> hook;
    {
      const std::lock_guard lock(mutex_);
      if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage)) {
        heartbeats_[aPeer] = *heartbeat;
      } else {
        messages_[aPeer].push_back(std::move(aMessage));
        hook = hook_;
      }
      changed_.notify_all();
    }
    if (hook) {
      hook();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::function<void()> hook_;
  std::map<std::string, std::vector<LinkState>> states_;
  std::map<std::string, std::vector<Message>> messages_;
  std::map<std::string, Heartbeat> heartbeats_;
  std::unique_ptr<LinkTable> table_;
};

/// A free port on the loopback address, and heartbeats short enough for tests
/// but long against a busy machine's pauses.
inline LinkTable::Options
MakeOptions(std::string aHost, std::string aAddress = "127.0.0.1:0")
{
  LinkTable::Options options;
  options.host_ = std::move(aHost);
  options.listenAddress_ = std::move(aAddress);
  options.heartbeatInterval_ = std::chrono::milliseconds{ 250 };
  options.connectTimeout_ = std::chrono::seconds{ 2 };
  return options;
}

/// Numbered messages of which a test can tell order, loss and doubling.
inline Message
MakeNumbered(std::uint32_t aNumber, std::size_t aBytes = 0)
{
  Chunk chunk;
  chunk.sequence_ = aNumber;
  chunk.text_.assign(aBytes, 'x');
  return chunk;
}

inline std::vector<std::uint64_t>
NumbersOf(const std::vector<Message>& aMessages)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(aMessages.size());
  for (const Message& message : aMessages) {
    numbers.push_back(std::get<Chunk>(message).sequence_);
  }
  return numbers;
}

} // namespace pumiceturn::wire
