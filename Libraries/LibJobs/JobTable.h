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

/// Attempts of an online request that its owner runs itself are numbered from
/// here, so that they are never taken for the entry's.
constexpr std::uint16_t kFirstOwnerAttempt = 1000;

/// Attempts of an item where its kind names no limit.
constexpr std::uint32_t kDefaultMaxAttempts = 3;

/// What came of a request to accept something.
enum class Acceptance : std::uint8_t
{
  Append,    ///< Append the records, then settle.
  Wait,      ///< Another append for this job is on its way: ask again then.
  Received,  ///< The frame's items are in the log already.
  Running,   ///< Accepted before, no result yet.
  Finished,  ///< Accepted before, with its result.
  Duplicate, ///< The lot was accepted before.
  Conflict,  ///< The key was used with other content.
  Invalid,   ///< Frames out of order, or more items than announced.
};

struct AcceptDecision
{
  Acceptance answer_ = Acceptance::Append;
  std::vector<Record> records_;
};

/// What to do with a result or the end of a run.
enum class EndAction : std::uint8_t
{
  Record,  ///< Append the record; the sender is answered when it is durable.
  Wait,    ///< A result of this item is on its way into the log.
  Forget,  ///< A result is final already, or the job is gone or cancelled.
  Requeue, ///< The item waits again.
  Refuse,  ///< Not taken: somebody else runs it.
};

struct EndDecision
{
  EndAction action_ = EndAction::Forget;
  std::optional<ItemEnded> record_;
};

/// What to do with a cancellation.
enum class CancelAction : std::uint8_t
{
  Append, ///< Append the record.
  Wait,   ///< Other records of the job are on their way: ask again then.
  Over,   ///< There is no such job, or it is over.
};

struct CancelDecision
{
  CancelAction action_ = CancelAction::Over;
  std::optional<Record> record_;
};

/// An item taken for dispatch.
struct Dispatch
{
  base::RunId run_;
  ItemPlace place_;
  /// Append ItemStarted and wait until it is durable before the run starts.
  bool recordStart_ = false;
};

/// What a record changed.
struct Applied
{
  struct End
  {
    base::RunId run_;
    bool first_ = false; ///< False: another result was recorded before.
  };

  std::optional<base::JobId> accepted_;
  std::vector<base::JobId> withdrawn_;
  std::optional<base::JobId> cancelled_;
  std::vector<End> ended_;
  std::vector<base::JobId> finished_;
};

/// The jobs of one partition: a fold over the partition's log, and the
/// decisions that lead to new records.
///
/// Durable facts change in Apply() alone, which is called with each record in
/// log order, live and in a replay alike. So a new owner that replays the log
/// gives every caller the answers that the former owner gave. What is only on
/// its way into the log is marked in memory, and a record whose append failed
/// may still be in the log: the caller appends the same record again (results,
/// cancellations) or the table refuses other content for the key until then
/// (acceptances).
///
/// Not thread-safe, no I/O.
class JobTable
{
public:
  /// @param aSequence Of the record, or a lower bound.
  Applied Apply(const Record& aRecord,
                joblog::LogPosition aPosition,
                std::uint64_t aSequence);

  /// Decides on an online request. With Append, the request is marked until
  /// SettleAccept().
  AcceptDecision AcceptOnline(const wire::RecordRequest& aRequest,
                              std::uint32_t aMaxAttempts,
                              std::int64_t aNowUnixMs);

  /// Decides on a frame of a lot; as AcceptOnline().
  AcceptDecision AcceptFrame(const wire::SubmitFrame& aFrame,
                             std::int64_t aNowUnixMs);

  /// Tells how the append of an acceptance ended, after Apply().
  void SettleAccept(const base::JobId& aJob, bool aIsDurable);

  /// @return whether an acceptance is on its way into the log.
  [[nodiscard]] bool IsAccepting(const base::JobId& aJob) const;

  /// Decides on an online result reported by an entry.
  /// @param aIsRunner Whether that entry runs the request now.
  EndDecision DecideResult(const base::RunId& aRun,
                           const wire::ItemResult& aResult,
                           bool aIsRunner);

  /// Decides on the end of a run at an agent.
  EndDecision DecideRunEnd(const wire::RunEnded& aEnded);

  /// Ends an item without a run: its content is quarantined, or a
  /// non-idempotent run has an unknown end.
  EndDecision EndItem(const base::RunId& aRun, const wire::ItemResult& aResult);

  /// Decides on a cancellation. With Wait, results are on their way into the
  /// log: ask again when they have settled; meanwhile nothing starts.
  CancelDecision Cancel(const base::JobId& aJob, std::int64_t aNowUnixMs);

  /// Takes the next waiting item of a job for dispatch.
  std::optional<Dispatch> TakeItem(const base::JobId& aJob);

  /// After a takeover, lets a lot go on behind the items that the former owner
  /// may have given out: items go out in order, so those run just behind the
  /// last one that is known to have ended.
  /// @param aInFlight Most items that a former owner has out.
  /// @return waiting items behind them; 0 where the lot is too short.
  std::uint32_t SkipInFlight(const base::JobId& aJob, std::uint32_t aInFlight);

  /// Lets a running item wait again, without counting an attempt.
  /// @return false where it does not run under this attempt.
  bool Requeue(const base::RunId& aRun);

  /// Makes an online request that nobody runs any more wait for its owner.
  /// @return false where it is not running.
  bool Orphan(const base::JobId& aJob);

  /// @return whether a run may still be started.
  [[nodiscard]] bool IsRunning(const base::RunId& aRun) const;

  /// @return the job, or null; also for another partner's job.
  [[nodiscard]] const Job* Find(const base::JobId& aJob) const;
  [[nodiscard]] const Job* Find(const base::JobId& aJob,
                                std::string_view aPartner) const;

  /// @return a finished online request, or null. Find() knows it no longer.
  [[nodiscard]] const FinishedRequest* FindFinished(
    const base::JobId& aJob) const;

  /// @return whether the job's results were kept for their time and dropped.
  [[nodiscard]] bool IsExpired(const base::JobId& aJob) const;

  /// Counts and state; NotFound or Expired where there is no such job.
  [[nodiscard]] wire::JobStatusReply Status(const base::JobId& aJob,
                                            std::string_view aPartner) const;

  /// @return runs of non-idempotent items that a former owner started.
  [[nodiscard]] std::vector<base::RunId> UncertainRuns() const;

  /// Calls a function with each accepted job that is not over.
  void ForEachUnfinished(const std::function<void(const Job&)>& aVisit) const;

  /// Drops jobs whose retention time has passed, and lots that were abandoned
  /// halfway.
  /// @return how many.
  std::size_t Expire(std::int64_t aNowUnixMs);

  /// @return the lowest sequence that a kept job needs, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> FirstNeededSequence();

  [[nodiscard]] std::size_t JobCount() const
  {
    return jobs_.size() + finished_.size();
  }

private:
  struct Pending
  {
    std::uint64_t digest_ = 0;
    bool completesJob_ = false;
    bool failed_ = false; ///< The append failed; it may be in the log.
  };

  struct Applier;

  Job* FindMutable(const base::JobId& aJob);
  Item* FindItem(const base::RunId& aRun);
  std::optional<Acceptance> AnswerFromPending(const base::JobId& aJob,
                                              std::uint64_t aDigest) const;
  std::optional<Acceptance> AnswerFromFinished(const base::JobId& aJob,
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
  void Remember(const base::JobId& aExpired);
  void DropAt(const base::JobId& aJob, std::optional<std::int64_t> aUnixMs);
  [[nodiscard]] std::optional<std::int64_t> DropTimeOf(
    const base::JobId& aJob) const;
  [[nodiscard]] std::optional<std::uint64_t> FirstSequenceOf(
    const base::JobId& aJob) const;
  void Shrink(const base::JobId& aJob, bool aIsOk);
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
  std::unordered_map<base::JobId, Pending> pending_;
  /// When jobs that are over, and lots not accepted yet, are dropped; earliest
  /// first. An entry that its job no longer agrees with is void.
  std::priority_queue<DropTime, std::vector<DropTime>, std::greater<>>
    dropTimes_;
  /// In log order; void as above.
  std::deque<FirstSequence> firstSequences_;
  /// Jobs dropped lately, so that their callers hear Expired. Best effort: a
  /// new owner says NotFound.
  std::unordered_set<base::JobId> expired_;
  std::deque<base::JobId> expiredOrder_;
};

} // namespace pumiceturn::jobs
