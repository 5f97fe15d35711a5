#pragma once

#include "LibJobLog/LogPosition.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <vector>

namespace pumiceturn::jobs {

/// Location of an item's payload in the log.
struct ItemLocation
{
  joblog::LogPosition record_; ///< An ItemsAccepted record.
  std::uint32_t index_ = 0;    ///< Index within that record.

  bool operator==(const ItemLocation&) const = default;
};

/// Where a result is read from.
enum class ResultSource : std::uint8_t
{
  Recorded,  ///< An ItemsEnded record.
  Cancelled, ///< No record; the item was cancelled with its job.
};

/// Location of a result in the log. Of a cancelled item only item_ is set.
struct ResultLocation
{
  joblog::LogPosition record_;
  std::uint32_t index_ = 0; ///< Index within the ItemsEnded record.
  std::uint32_t item_ = 0;

  bool operator==(const ResultLocation&) const = default;
};

/// State of an item. Waiting items take most of a keeper's memory, so this is
/// limited to eight bytes and payloads are kept only in the log.
struct Item
{
  enum class State : std::uint8_t
  {
    Waiting,
    Running,   ///< Dispatched to an agent, or run by an entry.
    Uncertain, ///< Non-idempotent, and started by a previous owner.
    Recording, ///< A result is being appended to the log.
    Ended,     ///< A result is recorded.
    Cancelled,
  };

  State state_ = State::Waiting;
  /// Attempts and recorded starts that count towards the limit.
  std::uint8_t countedAttempts_ = 0;
  std::uint8_t recordedStarts_ = 0;     ///< ItemStarted records in the log.
  std::uint16_t attempt_ = 0;           ///< Number of the last attempt.
  std::uint16_t lastRecordedStart_ = 0; ///< Attempt of the last ItemStarted.
};
static_assert(sizeof(Item) <= 8);

/// Consecutive items whose payloads are in one ItemsAccepted record.
struct ItemRange
{
  std::uint32_t firstItem_ = 0; ///< First item that this record added.
  /// First item in the record. Lower than firstItem_ if the record repeats
  /// items received before.
  std::uint32_t recordFirstItem_ = 0;
  joblog::LogPosition record_;
};

/// A batch job, or an online request as a job of one item.
struct Job
{
  enum class Phase : std::uint8_t
  {
    Opening, ///< Items are being received; the job is not accepted yet.
    Running, ///< Accepted, and not closed.
    Finished,
    Cancelled,
  };

  wire::JobDescription description_;
  Phase phase_ = Phase::Opening;
  /// Whether a cancellation was requested. It is appended once all pending
  /// results are recorded; meanwhile no further result is recorded.
  bool cancelling_ = false;
  /// Whether its JobCancelled record is being appended.
  bool cancelAppendInFlight_ = false;
  /// Sequence number of the record that opened the job.
  std::uint64_t firstSequence_ = 0;
  /// Time of the last record that opened, accepted or closed the job.
  std::int64_t lastPhaseChangeUnixMs_ = 0;
  std::vector<ItemRange> itemRanges_;
  std::vector<Item> items_;
  std::vector<ResultLocation> results_; ///< In log order.
  /// Items returned to the queue. May contain items that have ended since.
  std::vector<std::uint32_t> requeued_;
  std::uint32_t nextItem_ = 0; ///< Next item to examine for dispatch.
  /// Item where the search for waiting items started. After the last item it
  /// wraps around to the first and stops here.
  std::uint32_t searchStart_ = 0;
  bool isSearchWrapped_ = false;
  /// Number of items in state Running, Uncertain or Recording.
  std::uint32_t inProgress_ = 0;
  /// Part of inProgress_: items in state Recording.
  std::uint32_t recording_ = 0;
  std::uint32_t succeeded_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t cancelled_ = 0;
  /// Index in results_ of the first result of a cancelled item. From here on,
  /// results have no record.
  std::uint32_t firstCancelledResult_ = 0;

  [[nodiscard]] std::uint32_t ReceivedItems() const
  {
    return static_cast<std::uint32_t>(items_.size());
  }
  [[nodiscard]] bool IsAccepted() const { return phase_ != Phase::Opening; }
  [[nodiscard]] bool IsClosed() const
  {
    return phase_ == Phase::Finished || phase_ == Phase::Cancelled;
  }
  [[nodiscard]] std::uint32_t Waiting() const;
  /// @return the location of an item's payload.
  [[nodiscard]] ItemLocation LocateItem(std::uint32_t aItem) const;
  [[nodiscard]] ResultSource SourceOf(std::uint32_t aResultIndex) const;
  /// @return when the results expire.
  [[nodiscard]] std::int64_t ExpiresUnixMs() const;
};

/// A finished online request. Each one is kept in memory for its retention
/// time, so this holds only what is needed to answer a repeated request.
struct FinishedRequest
{
  ResultLocation result_;
  std::uint64_t digest_ = 0;
  std::uint64_t partner_ = 0; ///< Hash of the partner's name.
  std::uint64_t firstSequence_ = 0;
  std::int64_t endedUnixMs_ = 0;
  std::uint32_t retentionS_ = 0;
  bool succeeded_ = false;

  [[nodiscard]] std::int64_t ExpiresUnixMs() const;
};

} // namespace pumiceturn::jobs
