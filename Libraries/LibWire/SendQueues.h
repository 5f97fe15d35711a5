#pragma once

#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::wire {

/// What any thread may ask of a link without going to the link thread: a queue
/// of messages for each peer that is up, bounded in bytes, and when the peer
/// was last heard. A message counts against the bound until the peer has
/// acknowledged it, so a peer that takes nothing in is refused further messages
/// in place of filling this process's memory. Thread-safe.
class SendQueues
{
public:
  /// Messages taken from a queue, to be sent together.
  struct Batch
  {
    std::vector<Message> messages_;
    std::size_t bytes_ = 0;
    std::uint64_t epoch_ = 0; ///< For Release().
  };

  /// @param aMaxBytes For each peer.
  /// @param aWake     Called without a lock held when a queue has become worth
  /// a look by the link thread.
  SendQueues(std::size_t aMaxBytes, std::function<void()> aWake);

  /// Queues a message.
  /// @return Disconnected for a peer that is not up, BudgetExhausted for a full
  /// queue.
  ResultCode Push(std::string_view aPeer, Message aMessage);

  /// Marks a peer as up, with an empty queue.
  void Open(const std::string& aPeer);

  /// Marks a peer as down. What is queued is dropped: whoever sent it learns of
  /// the loss and sends again on the next connection what still matters.
  void Close(const std::string& aPeer);

  /// @return peers with messages queued since the last call.
  std::vector<std::string> TakeReady();

  /// Takes the next messages, one at least if there is any.
  Batch Take(std::string_view aPeer, std::size_t aMaxBytes);

  /// The peer acknowledged a batch. One from before the last Open() is ignored.
  void Release(std::string_view aPeer,
               std::uint64_t aEpoch,
               std::size_t aBytes);

  void RecordHeard(const std::string& aPeer, base::Instant aNow);

  [[nodiscard]] bool IsUp(std::string_view aPeer) const;

  /// @return Duration::max() if never heard.
  [[nodiscard]] base::Duration SinceHeard(std::string_view aPeer,
                                          base::Instant aNow) const;

  [[nodiscard]] std::vector<std::string> UpPeers() const;

private:
  struct Entry
  {
    bool up_ = false;
    bool ready_ = false; ///< Listed in ready_ of the table.
    bool heard_ = false;
    base::Instant lastHeard_;
    std::uint64_t epoch_ = 0;
    std::size_t bytes_ = 0; ///< Queued and unacknowledged.
    std::deque<Message> queue_;
  };

  const std::size_t maxBytes_;
  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::vector<std::string> ready_;
};

} // namespace pumiceturn::wire
