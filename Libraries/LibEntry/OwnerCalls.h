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

/// Questions to the owner of a job's partition, with one reply each:
/// SubmitFrame, GetJob, ReadResults, CancelJob. All may be repeated, so one
/// that finds no owner, the wrong owner, or one that is lost before it answers
/// is sent again until its deadline. Thread-safe; calls back without its lock.
class OwnerCalls : public std::enable_shared_from_this<OwnerCalls>
{
public:
  using Reply = base::Outcome<wire::Message>;
  using Done = std::function<void(Reply aReply)>;

  static constexpr base::Duration kTick{ std::chrono::milliseconds{ 100 } };
  /// A reply that is not there after this time is asked for again.
  static constexpr base::Duration kReplyPatience{ std::chrono::seconds{ 2 } };

  explicit OwnerCalls(node::Context aContext);

  /// Begins to look after deadlines; once, after construction.
  void Start();

  /// Sends a question.
  /// @param aQuestion Its call number is set here.
  /// @param aDone Called once, with the reply, which may be a refusal, or with
  /// TimedOut.
  template<typename Question>
  void Ask(const wire::JobId& aJob,
           Question aQuestion,
           base::Duration aPatience,
           Done aDone);

  void OnMessage(const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// Ends all questions, and each one asked from now on, as Draining.
  void Stop();

  [[nodiscard]] std::size_t Count() const;

private:
  struct Pending
  {
    wire::JobId job_;
    wire::Message question_;
    base::Instant deadline_;
    base::Instant sendAt_;
    std::uint32_t sends_ = 0;
    std::string owner_;
    Done done_;
  };

  void Add(std::uint64_t aCall, Pending aPending);
  void Send(Pending& aPending, base::Instant aNow);
  void Tick();
  std::uint64_t NextCall();

  node::Context context_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  std::uint64_t nextCall_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  bool stopped_ = false;
};

template<typename Question>
void
OwnerCalls::Ask(const wire::JobId& aJob,
                Question aQuestion,
                base::Duration aPatience,
                Done aDone)
{
  const std::uint64_t call = NextCall();
  aQuestion.call_ = call;
  Pending pending;
  pending.job_ = aJob;
  pending.question_ = std::move(aQuestion);
  pending.deadline_ = base::MonotonicNow() + aPatience;
  pending.done_ = std::move(aDone);
  Add(call, std::move(pending));
}

} // namespace pumiceturn::entry
