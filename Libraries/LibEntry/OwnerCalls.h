#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace pumiceturn::entry {

/// Request-reply calls to the owner of a job's partition: SubmitFrame, GetJob,
/// ReadResults and CancelJob. All of them are idempotent: a request is sent
/// again until its deadline if no owner is known, the receiver isn't the owner,
/// or the owner is lost before it replies. Thread-safe; callbacks run without
/// the lock.
class OwnerCalls : public std::enable_shared_from_this<OwnerCalls>
{
public:
  using ReplyOrFailure = base::Outcome<wire::Message>;
  using Callback = std::function<void(ReplyOrFailure aReply)>;

  /// Interval at which resends and deadlines are checked.
  static constexpr base::Duration kTimerInterval{ std::chrono::milliseconds{
    100 } };
  /// Time after which a request without a reply is sent again.
  static constexpr base::Duration kReplyTimeout{ std::chrono::seconds{ 2 } };

  explicit OwnerCalls(node::Context aContext);

  /// Starts the timer for resends and deadlines. Must be called once, after
  /// construction.
  void Start();

  /// Sends a request to the owner.
  /// @param aRequest Its call number is set here.
  /// @param aTimeout Total time for the call, including resends.
  /// @param aCallback Called once, with the owner's reply, which may contain an
  /// error code, or with the failure TimedOut or Draining.
  template<typename Request>
  void Call(const wire::JobId& aJob,
            Request aRequest,
            base::Duration aTimeout,
            Callback aCallback);

  void OnMessage(const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// Fails all pending and all further calls with Draining.
  void Stop();

  [[nodiscard]] std::size_t Count() const;

private:
  struct Pending
  {
    wire::JobId job_;
    wire::Message request_;
    base::Instant deadline_;
    base::Instant sendAt_;
    std::uint32_t sends_ = 0;
    std::string owner_;
    Callback callback_;
  };

  void Add(std::uint64_t aCall, Pending aPending);
  void Send(Pending& aPending, base::Instant aNow);
  void OnTimer();
  std::uint64_t NextCall();

  node::Context context_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  std::uint64_t nextCall_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  bool stopped_ = false;
};

template<typename Request>
void
OwnerCalls::Call(const wire::JobId& aJob,
                 Request aRequest,
                 base::Duration aTimeout,
                 Callback aCallback)
{
  const std::uint64_t call = NextCall();
  aRequest.call_ = call;
  Pending pending;
  pending.job_ = aJob;
  pending.request_ = std::move(aRequest);
  pending.deadline_ = base::MonotonicNow() + aTimeout;
  pending.callback_ = std::move(aCallback);
  Add(call, std::move(pending));
}

} // namespace pumiceturn::entry
