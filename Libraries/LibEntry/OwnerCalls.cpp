#include "LibEntry/OwnerCalls.h"

#include "LibRouting/Backoff.h"

#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::entry {

using base::ResultCode;

namespace {

constexpr routing::Backoff kResend{ std::chrono::milliseconds{ 100 },
                                    std::chrono::seconds{ 1 } };

/// Fields that all replies of an owner have in common.
struct ReplyHead
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::string ownerHint_;
};

std::optional<ReplyHead>
ReadHead(const wire::Message& aMessage)
{
  return std::visit(
    [](const auto& aContent) -> std::optional<ReplyHead> {
      using Content = std::decay_t<decltype(aContent)>;
      if constexpr (std::is_same_v<Content, wire::SubmitReply> ||
                    std::is_same_v<Content, wire::JobStatusReply> ||
                    std::is_same_v<Content, wire::ResultsPage>) {
        return ReplyHead{ aContent.call_, aContent.code_, aContent.ownerHint_ };
      } else {
        return std::nullopt;
      }
    },
    aMessage);
}

OwnerCalls::ReplyOrFailure
MakeStopped()
{
  return base::Failure{ ResultCode::Draining, "this entry is draining" };
}

bool
IsOwnerUnavailable(ResultCode aCode)
{
  return aCode == ResultCode::NotOwner || aCode == ResultCode::StaleEpoch ||
         aCode == ResultCode::Recovering || aCode == ResultCode::Draining ||
         aCode == ResultCode::Disconnected || aCode == ResultCode::TimedOut;
}

} // namespace

OwnerCalls::OwnerCalls(node::Context aContext)
  : context_(aContext)
  , random_(std::random_device{}())
  , nextCall_(random_())
{
}

void
OwnerCalls::Start()
{
  context_.pool_.PostEvery(kTimerInterval, [self = weak_from_this()] {
    if (const auto calls = self.lock()) {
      calls->OnTimer();
    }
  });
}

std::uint64_t
OwnerCalls::NextCall()
{
  const std::lock_guard lock(mutex_);
  return nextCall_++;
}

void
OwnerCalls::Add(std::uint64_t aCall, Pending aPending)
{
  {
    const std::lock_guard lock(mutex_);
    if (!stopped_) {
      Pending& pending =
        pending_.emplace(aCall, std::move(aPending)).first->second;
      Send(pending, base::MonotonicNow());
      return;
    }
  }
  aPending.callback_(MakeStopped());
}

void
OwnerCalls::Stop()
{
  std::unordered_map<std::uint64_t, Pending> pending;
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    pending.swap(pending_);
  }
  for (const auto& [call, pendingCall] : pending) {
    pendingCall.callback_(MakeStopped());
  }
}

void
OwnerCalls::Send(Pending& aPending, base::Instant aNow)
{
  const std::uint32_t count = context_.partitions_.Count();
  if (count > 0) {
    aPending.owner_ =
      context_.partitions_.OwnerOf(base::PartitionOf(aPending.job_, count));
  }
  const bool isSent =
    !aPending.owner_.empty() &&
    context_.links_.Send(aPending.owner_, aPending.request_) == ResultCode::Ok;
  aPending.sendAt_ =
    aNow + (isSent ? kReplyTimeout : kResend.Delay(aPending.sends_, random_()));
  ++aPending.sends_;
}

void
OwnerCalls::OnMessage(const wire::Message& aMessage)
{
  const auto head = ReadHead(aMessage);
  if (!head.has_value()) {
    return;
  }
  Callback callback;
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(head->call_);
    if (found == pending_.end()) {
      return;
    }
    Pending& pending = found->second;
    if (IsOwnerUnavailable(head->code_)) {
      const base::Instant now = base::MonotonicNow();
      const bool hasNewHint =
        !head->ownerHint_.empty() && head->ownerHint_ != pending.owner_;
      if (!head->ownerHint_.empty()) {
        context_.partitions_.Hint(
          base::PartitionOf(pending.job_, context_.partitions_.Count()),
          head->ownerHint_);
      }
      pending.sendAt_ = hasNewHint && pending.sends_ <= 1
                          ? now
                          : now + kResend.Delay(pending.sends_, random_());
      return;
    }
    callback = std::move(pending.callback_);
    pending_.erase(found);
  }
  callback(ReplyOrFailure{ aMessage });
}

void
OwnerCalls::OnLinkState(const std::string& aPeer, wire::LinkState /*aState*/)
{
  const std::lock_guard lock(mutex_);
  const base::Instant now = base::MonotonicNow();
  for (auto& [call, pending] : pending_) {
    if (pending.owner_ == aPeer) {
      pending.sendAt_ = now;
    }
  }
}

std::size_t
OwnerCalls::Count() const
{
  const std::lock_guard lock(mutex_);
  return pending_.size();
}

void
OwnerCalls::OnTimer()
{
  std::vector<Callback> expired;
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = base::MonotonicNow();
    for (auto item = pending_.begin(); item != pending_.end();) {
      if (item->second.deadline_ <= now) {
        expired.push_back(std::move(item->second.callback_));
        item = pending_.erase(item);
        continue;
      }
      if (item->second.sendAt_ <= now) {
        Send(item->second, now);
      }
      ++item;
    }
  }
  for (const Callback& callback : expired) {
    callback(base::Failure{ ResultCode::TimedOut,
                            "the owner of the partition did not answer" });
  }
}

} // namespace pumiceturn::entry
