#pragma once

#include "LibBase/Result.h"
#include "LibWire/LinkTable.h"
#include "LibWire/SendQueues.h"

#include <future>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::wire {

/// Wakes the link thread from any other.
class WakeSignal
{
public:
  WakeSignal();
  ~WakeSignal();
  WakeSignal(const WakeSignal&) = delete;
  WakeSignal& operator=(const WakeSignal&) = delete;

  void Wake() const;

  /// @return the descriptor that becomes readable; -1 when none was left.
  [[nodiscard]] int Descriptor() const { return descriptor_; }

private:
  int descriptor_;
};

struct ConnectCommand
{
  std::string peer_;
  std::string address_;
};

struct DisconnectCommand
{
  std::string peer_;
};

struct HeartbeatCommand
{};

struct StopCommand
{};

using LinkCommand = std::
  variant<ConnectCommand, DisconnectCommand, HeartbeatCommand, StopCommand>;

/// What other threads ask of the link thread, in order. Thread-safe.
class LinkCommands
{
public:
  void Add(LinkCommand aCommand)
  {
    const std::lock_guard lock(mutex_);
    commands_.push_back(std::move(aCommand));
  }

  std::vector<LinkCommand> TakeAll()
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(commands_, {});
  }

private:
  std::mutex mutex_;
  std::vector<LinkCommand> commands_;
};

/// What the link thread shares with the others.
struct LinkShared
{
  LinkShared(LinkTable::Options aOptions, LinkTable::Handlers aHandlers)
    : options_(std::move(aOptions))
    , handlers_(std::move(aHandlers))
    , queues_(options_.maxQueuedBytes_, [this] { wake_.Wake(); })
  {
  }

  const LinkTable::Options options_;
  const LinkTable::Handlers handlers_;
  WakeSignal wake_;
  LinkCommands commands_;
  SendQueues queues_;
};

/// The link thread: listens, then runs until a StopCommand.
/// @param aShared  Outlives the thread.
/// @param aStarted Gets the IP:port that is listened on, or InputOutput.
void
RunLinkThread(LinkShared& aShared,
              std::promise<base::Outcome<std::string>> aStarted);

} // namespace pumiceturn::wire
