#include "LibWire/PendingCalls.h"

namespace pumiceturn::wire {

PendingCalls::PendingCalls(std::uint64_t aFirstId)
  : nextId_(aFirstId)
{
}

std::uint64_t
PendingCalls::Add(std::string_view aPeer,
                  base::Instant aDeadline,
                  Callback aCallback)
{
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = nextId_++;
  calls_.emplace(id,
                 Call{ std::string(aPeer), aDeadline, std::move(aCallback) });
  byDeadline_.emplace(aDeadline, id);
  byPeer_.emplace(aPeer, id);
  return id;
}

bool
PendingCalls::Complete(std::uint64_t aId, Message aReply)
{
  const std::optional<Callback> callback = Take(aId);
  if (!callback) {
    return false;
  }
  (*callback)(std::move(aReply));
  return true;
}

bool
PendingCalls::Fail(std::uint64_t aId, ResultCode aCode)
{
  const std::optional<Callback> callback = Take(aId);
  if (!callback) {
    return false;
  }
  (*callback)(aCode);
  return true;
}

std::size_t
PendingCalls::FailPeer(std::string_view aPeer)
{
  std::vector<Callback> ended;
  {
    const std::lock_guard lock(mutex_);
    auto next = byPeer_.lower_bound({ std::string(aPeer), 0 });
    while (next != byPeer_.end() && next->first == aPeer) {
      const std::uint64_t id = next->second;
      ++next;
      ended.push_back(TakeLocked(calls_.find(id)));
    }
  }
  for (const Callback& callback : ended) {
    callback(ResultCode::Disconnected);
  }
  return ended.size();
}

std::size_t
PendingCalls::Expire(base::Instant aNow)
{
  std::vector<Callback> ended;
  {
    const std::lock_guard lock(mutex_);
    while (!byDeadline_.empty() && byDeadline_.begin()->first <= aNow) {
      ended.push_back(TakeLocked(calls_.find(byDeadline_.begin()->second)));
    }
  }
  for (const Callback& callback : ended) {
    callback(ResultCode::TimedOut);
  }
  return ended.size();
}

std::optional<base::Instant>
PendingCalls::NextDeadline() const
{
  const std::lock_guard lock(mutex_);
  if (byDeadline_.empty()) {
    return std::nullopt;
  }
  return byDeadline_.begin()->first;
}

std::size_t
PendingCalls::Count() const
{
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

std::optional<PendingCalls::Callback>
PendingCalls::Take(std::uint64_t aId)
{
  const std::lock_guard lock(mutex_);
  const auto call = calls_.find(aId);
  if (call == calls_.end()) {
    return std::nullopt;
  }
  return TakeLocked(call);
}

PendingCalls::Callback
PendingCalls::TakeLocked(
  std::unordered_map<std::uint64_t, Call>::iterator aCall)
{
  byDeadline_.erase({ aCall->second.deadline_, aCall->first });
  byPeer_.erase({ aCall->second.peer_, aCall->first });
  Callback callback = std::move(aCall->second.callback_);
  calls_.erase(aCall);
  return callback;
}

} // namespace pumiceturn::wire
