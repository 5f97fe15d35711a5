#pragma once

#include "LibBase/Time.h"
#include "LibJobs/JobTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::keeper {

/// The peer and call that a reply is sent to.
struct Requester
{
  std::string peer_;
  std::uint64_t call_ = 0;

  bool operator==(const Requester&) const = default;
};

/// The runner of an online request, and the other requesters that wait for
/// its result.
struct OnlineRun
{
  Requester runner_; ///< Empty peer: unknown, after a takeover.
  /// Whether the owner has taken the request over from a lost runner.
  bool isRunByOwner_ = false;
  std::vector<Requester> waitingRequesters_;
};

/// The message to be sent once a result is durable.
enum class ResultNotification : std::uint8_t
{
  RunRecorded,       ///< To an agent, or to the keeper that forwarded it.
  RecordResultReply, ///< To an entry.
  None,
};

/// A result that is queued for or being appended to the log.
struct PendingResult
{
  jobs::ItemEnded ended_;
  ResultNotification notification_ = ResultNotification::None;
  Requester requester_;
};

/// A message that is handled later: once a pending append has completed or the
/// partition is owned.
struct DeferredMessage
{
  std::string peer_;
  wire::Message message_;
};

/// Called under the lock when the records have been applied or the append has
/// failed.
using AppendCallback =
  std::function<void(base::ResultCode aCode,
                     std::span<const jobs::RecordEffects> aEffects)>;

/// An append to be retried.
struct RetriedAppend
{
  std::shared_ptr<std::vector<jobs::Record>> records_;
  AppendCallback callback_;
};

/// State of a partition that this host owns or recovers.
struct OwnedPartition
{
  enum class Phase : std::uint8_t
  {
    Recovering, ///< Replaying the log; callers are asked to retry.
    Settling, ///< Requests are answered. Items that the previous owner may have
              ///< started are not dispatched until the agents had time to
              ///< report them.
    Serving,  ///< All waiting items are dispatched.

  };

  Phase phase_ = Phase::Recovering;
  std::uint64_t epoch_ = 0;
  jobs::JobTable table_;
  /// Lower bound of the next record's sequence number. Records of failed
  /// appends may have numbers too, but are not counted. With a lower bound, a
  /// trim never removes too much.
  std::uint64_t nextSequence_ = 0;
  base::Instant settlingEndsAt_{};
  std::vector<PendingResult> pendingResults_;
  bool resultAppendInFlight_ = false;
  /// Results and cancellations whose append failed. They may nevertheless be in
  /// the log, so they are appended again unchanged.
  std::vector<RetriedAppend> retries_;
  std::unordered_map<base::JobId, std::vector<DeferredMessage>> deferred_;
  std::unordered_map<base::JobId, OnlineRun> online_;
  std::vector<DeferredMessage> deferredUntilOwned_;
};

} // namespace pumiceturn::keeper
