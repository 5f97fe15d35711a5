#pragma once

#include "LibJobs/Job.h"
#include "LibJobs/Records.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pumiceturn::jobs {

/// First number of the attempts that the owner makes itself. An entry makes far
/// fewer attempts, so the numbers do not collide.
constexpr std::uint16_t kFirstOwnerAttempt = 1000;

/// Maximum attempts of an item whose kind sets no limit.
constexpr std::uint32_t kDefaultMaxAttempts = 3;

/// How to handle a submitted request or frame.
enum class AcceptAction : std::uint8_t
{
  Append,    ///< Append the records, then call OnAcceptAppended().
  Wait,      ///< Retry when the pending append of this job has completed.
  Received,  ///< The frame's items are already in the log.
  Running,   ///< Accepted earlier; no result yet.
  Finished,  ///< Accepted earlier; a result exists.
  Duplicate, ///< The batch job was accepted earlier.
  Conflict,  ///< The key was used with different content.
  Invalid, ///< Frames out of order, or a number of items that differs from the
           ///< announced one.
};

struct AcceptDecision
{
  AcceptAction action_ = AcceptAction::Append;
  std::vector<Record> records_;
};

/// How to handle a result or the end of a run.
enum class EndAction : std::uint8_t
{
  Append, ///< Append the record, and answer the sender once it is durable.
  Wait, ///< Retry when the pending append of this item's result or of its job's
        ///< cancellation has completed.
  Discard, ///< The item has ended, the job does not exist or is not accepted,
           ///< or the failed attempt is not the current one.
  Requeue, ///< The item is waiting again.
  Reject,  ///< Another sender runs the item.
};

struct EndDecision
{
  EndAction action_ = EndAction::Discard;
  std::optional<ItemEnded> record_;
};

/// How to handle a cancellation.
enum class CancelAction : std::uint8_t
{
  Append,         ///< Append the record.
  Wait,           ///< Retry when the pending appends of the job have completed.
  NotCancellable, ///< There is no such job, or it is closed.
};

struct CancelDecision
{
  CancelAction action_ = CancelAction::NotCancellable;
  std::optional<Record> record_;
};

/// An item taken from its job to be dispatched.
struct DispatchedItem
{
  base::RunId run_;
  ItemLocation location_;
  /// Whether ItemStarted must be durable before the run starts.
  bool recordStart_ = false;
};

/// Effects of an applied record.
struct RecordEffects
{
  struct End
  {
    base::RunId run_;
    bool first_ = false; ///< Whether this is the item's first result.
  };

  std::optional<base::JobId> accepted_;
  /// Online requests that were not run. They were removed, and their keys may
  /// be used again.
  std::vector<base::JobId> withdrawn_;
  std::optional<base::JobId> cancelled_;
  std::vector<End> ended_;
  std::vector<base::JobId> finished_;
};

/// The jobs of one partition: a state machine over the partition's log, which
/// also decides which records are appended.
///
/// Durable state changes only in Apply(), which is called with each record in
/// log order, live and during replay. A new owner that replays the log thus
/// gives every caller the same answers as the previous owner. Pending appends
/// are marked in memory. A record whose append failed may still be in the log:
/// the caller appends the same result or cancellation again; after a failed
/// acceptance the table refuses different content for the key.
///
/// Not thread-safe, no I/O.
class JobTable
{
public:
  /// Applies a durable record.
  /// @param aSequence Sequence number of the record, or a lower bound.
  RecordEffects Apply(const Record& aRecord,
                      joblog::LogPosition aPosition,
                      std::uint64_t aSequence);

  /// Decides on an online request. After Append, the job is pending until
  /// OnAcceptAppended() is called.
  /// @param aMaxAttempts 0 for kDefaultMaxAttempts.
  AcceptDecision DecideOnline(const wire::RecordRequest& aRequest,
                              std::uint32_t aMaxAttempts,
                              std::int64_t aNowUnixMs);

  /// Decides on a frame of a batch job, as DecideOnline() does.
  AcceptDecision DecideFrame(const wire::SubmitFrame& aFrame,
                             std::int64_t aNowUnixMs);

  /// To be called when the records of an Append decision are durable and
  /// applied, or their append has failed.
  void OnAcceptAppended(const base::JobId& aJob, bool aIsDurable);

  /// @return whether an acceptance is being appended.
  [[nodiscard]] bool IsAccepting(const base::JobId& aJob) const;

  /// Decides on an online result reported by an entry.
  /// @param aIsRunner Whether that entry currently runs the request.
  EndDecision DecideResult(const base::RunId& aRun,
                           const wire::ItemResult& aResult,
                           bool aIsRunner);

  /// Decides on the end of a run at an agent.
  EndDecision DecideRunEnd(const wire::RunEnded& aEnded);

  /// Decides on the end of an item that no agent or entry reported, such as
  /// quarantined content or an unknown outcome.
  EndDecision DecideItemEnd(const base::RunId& aRun,
                            const wire::ItemResult& aResult);

  /// Decides on a cancellation. After Wait, results or an earlier
  /// cancellation are being appended: call this again when they are durable. No
  /// item starts in the meantime.
  CancelDecision DecideCancel(const base::JobId& aJob, std::int64_t aNowUnixMs);

  /// Marks the next waiting item of a job as running.
  /// @return the item; nothing when none waits.
  std::optional<DispatchedItem> TakeItem(const base::JobId& aJob);

  /// After a takeover, continues dispatch after the items that the previous
  /// owner may have dispatched. Items are dispatched in order, so the
  /// skipped ones directly follow the last item known to have started or ended.
  /// @param aInFlight Maximum number of items that an owner has in flight.
  /// @return the number of items after the skipped ones; 0 when there are none.
  std::uint32_t SkipInFlight(const base::JobId& aJob,
                             std::uint32_t aMaxInFlight);

  /// Returns a running item to the queue without counting a failed attempt.
  /// @return false when the item is not started under this attempt or its job
  /// is being cancelled.
  bool Requeue(const base::RunId& aRun);

  /// Puts an online request back in the queue after its runner was lost, so
  /// that the owner runs it.
  /// @return false when the request is not running.
  bool MarkOrphaned(const base::JobId& aJob);

  /// @return whether the item is running under this attempt and its job is not
  /// being cancelled.
  [[nodiscard]] bool IsRunning(const base::RunId& aRun) const;

  /// @return the job, or null. With a partner, also null for a job of another
  /// partner.
  [[nodiscard]] const Job* Find(const base::JobId& aJob) const;
  [[nodiscard]] const Job* Find(const base::JobId& aJob,
                                std::string_view aPartner) const;

  /// @return a finished online request, or null. Find() does not return these.
  [[nodiscard]] const FinishedRequest* FindFinished(
    const base::JobId& aJob) const;

  /// @return whether the job was recently dropped after its retention time.
  [[nodiscard]] bool IsExpired(const base::JobId& aJob) const;

  /// @return counts and state; NotFound or Expired when there is no such job.
  [[nodiscard]] wire::JobStatusReply Status(const base::JobId& aJob,
                                            std::string_view aPartner) const;

  /// @return runs of non-idempotent items that a previous owner started.
  [[nodiscard]] std::vector<base::RunId> UncertainRuns() const;

  /// Calls a function with each accepted job that is not closed.
  void ForEachUnfinished(const std::function<void(const Job&)>& aVisit) const;

  /// Drops jobs whose retention time has passed, and batch jobs whose
  /// submission was abandoned.
  /// @return the number of dropped jobs.
  std::size_t DropDueJobs(std::int64_t aNowUnixMs);

  /// @return the lowest sequence number that a job still needs; nothing when
  /// there are no jobs.
  [[nodiscard]] std::optional<std::uint64_t> FirstNeededSequence();

  [[nodiscard]] std::size_t JobCount() const
  {
    return jobs_.size() + finished_.size();
  }

private:
  /// An acceptance that is being appended, or whose append failed.
  struct PendingAccept

  {
    std::uint64_t digest_ = 0;
    /// Whether the records accept the job, not only a part of its items.
    bool acceptsJob_ = false;
    /// Whether the append failed. The records may still be in the log.
    bool failed_ = false;
  };

  struct Applier;

  Job* FindMutable(const base::JobId& aJob);
  Item* FindItem(const base::RunId& aRun);
  std::optional<AcceptAction> AnswerFromPending(const base::JobId& aJob,
                                                std::uint64_t aDigest) const;
  std::optional<AcceptAction> AnswerFromFinished(const base::JobId& aJob,
                                                 std::uint64_t aDigest,
                                                 std::int64_t aNowUnixMs) const;
  EndDecision RecordEnd(Job& aJob,
                        const base::RunId& aRun,
                        wire::ItemResult aResult);
  EndDecision DecideFailure(Job& aJob, const wire::RunEnded& aEnded);
  std::optional<EndAction> AnswerFromState(const base::RunId& aRun);
  static std::optional<std::uint32_t> NextWaiting(Job& aJob);
  static std::optional<std::uint32_t> SearchWaiting(Job& aJob,
                                                    std::uint32_t aEnd);
  void RememberExpired(const base::JobId& aExpired);
  void ScheduleDrop(const base::JobId& aJob,
                    std::optional<std::int64_t> aUnixMs);
  [[nodiscard]] std::optional<std::int64_t> DropTimeOf(
    const base::JobId& aJob) const;
  [[nodiscard]] std::optional<std::uint64_t> FirstSequenceOf(
    const base::JobId& aJob) const;
  void MoveToFinished(const base::JobId& aJob, bool aHasSucceeded);
  static wire::JobStatusReply StatusOf(const base::JobId& aJob,
                                       const FinishedRequest& aRequest);
  void Close(Job& aJob, Job::Phase aPhase, std::int64_t aUnixMs);
  void Erase(const base::JobId& aJob);

  struct DropTime
  {
    std::int64_t unixMs_ = 0;
    base::JobId job_;

    bool operator>(const DropTime& aOther) const
    {
      return unixMs_ > aOther.unixMs_;
    }
  };

  struct FirstSequence
  {
    std::uint64_t sequence_ = 0;
    base::JobId job_;
  };

  std::unordered_map<base::JobId, Job> jobs_;
  std::unordered_map<base::JobId, FinishedRequest> finished_;
  std::unordered_map<base::JobId, PendingAccept> pending_;
  /// When closed jobs, and batch jobs that are not accepted yet, are dropped;
  /// earliest first. An element that differs from its job's drop time is stale.
  std::priority_queue<DropTime, std::vector<DropTime>, std::greater<>>
    dropTimes_;
  /// In log order. An element that differs from its job's first sequence is
  /// stale.
  std::deque<FirstSequence> firstSequences_;
  /// Recently dropped jobs, which are answered with Expired. Best effort: a new
  /// owner answers NotFound.
  std::unordered_set<base::JobId> expired_;
  std::deque<base::JobId> expiredOrder_;
};

} // namespace pumiceturn::jobs
