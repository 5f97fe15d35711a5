#pragma once

#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::wire {

/// The calls that wait for a reply from a peer. Each ends exactly once: by its
/// reply, the loss of its peer, or its deadline. Thread-safe; callbacks run on
/// the thread that ends the call, without a lock held.
class PendingCalls
{
public:
  /// The reply, or why none will come: Disconnected or TimedOut.
  using Answer = std::variant<Message, ResultCode>;
  using Callback = std::function<void(Answer)>;

  /// @param aFirstId Random at each process start. A reply to a call of the
  /// process before a restart reaches the new one by the same name; with ids
  /// from a fresh range it finds no call, and answers none with another's
  /// content.
  explicit PendingCalls(std::uint64_t aFirstId);

  /// @param aPeer     Who will reply.
  /// @param aDeadline When Expire() gives the call up.
  /// @return the call's id, for the request message.
  std::uint64_t Add(std::string_view aPeer,
                    base::Instant aDeadline,
                    Callback aCallback);

  /// Ends a call with its reply.
  /// @return false for a call that has ended: the reply came late or twice.
  bool Complete(std::uint64_t aId, Message aReply);

  /// Ends a call with a failure, when its request could not be sent.
  /// @return false for a call that has ended.
  bool Fail(std::uint64_t aId, ResultCode aCode);

  /// Ends a peer's calls as Disconnected. Whether they took effect there is
  /// unknown.
  /// @return how many.
  std::size_t FailPeer(std::string_view aPeer);

  /// Ends calls as TimedOut whose deadline has come.
  /// @return how many.
  std::size_t Expire(base::Instant aNow);

  /// @return the earliest deadline, nothing without calls.
  [[nodiscard]] std::optional<base::Instant> NextDeadline() const;

  [[nodiscard]] std::size_t Count() const;

private:
  struct Call
  {
    std::string peer_;
    base::Instant deadline_;
    Callback callback_;
  };

  std::optional<Callback> Take(std::uint64_t aId);
  Callback TakeLocked(std::unordered_map<std::uint64_t, Call>::iterator aCall);

  mutable std::mutex mutex_;
  std::uint64_t nextId_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::set<std::pair<base::Instant, std::uint64_t>> byDeadline_;
  std::set<std::pair<std::string, std::uint64_t>> byPeer_;
};

} // namespace pumiceturn::wire
