#pragma once

#include "LibJobLog/LogPosition.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <vector>

namespace pumiceturn::jobs {

/// Where one item's payload lies in the log.
struct ItemPlace
{
  joblog::LogPosition record_; ///< An ItemsAccepted record.
  std::uint32_t index_ = 0;    ///< Index within that record.

  bool operator==(const ItemPlace&) const = default;
};

/// How a result is read back.
enum class ResultSource : std::uint8_t
{
  Recorded,  ///< From an ItemsEnded record.
  Cancelled, ///< The job was cancelled first; no record of its own.
};

struct ResultPlace
{
  joblog::LogPosition record_;
  std::uint32_t index_ = 0; ///< Index within the ItemsEnded record.
  std::uint32_t item_ = 0;

  bool operator==(const ResultPlace&) const = default;
};

/// What the owner knows of one item. Waiting items are the bulk of a keeper's
/// memory, so this stays at eight bytes and payloads stay in the log.
struct Item
{
  enum class State : std::uint8_t
  {
    Waiting,
    Running,   ///< Dispatched, or run by an entry.
    Uncertain, ///< Non-idempotent and started by a former owner.
    Ending,    ///< A result is on its way into the log.
    Ended,     ///< The recorded result is final.
    Cancelled,
  };

  State state_ = State::Waiting;
  std::uint8_t failures_ = 0;       ///< Attempts that count against the limit.
  std::uint8_t recordedStarts_ = 0; ///< ItemStarted records in the log.
  std::uint16_t attempt_ = 0;       ///< Number of the last dispatch.
  std::uint16_t lastRecordedStart_ = 0; ///< Its attempt number.
};
static_assert(sizeof(Item) <= 8);

/// A run of items whose payloads lie in one ItemsAccepted record.
struct Frame
{
  std::uint32_t firstItem_ = 0;       ///< First item that this frame brought.
  std::uint32_t recordFirstItem_ = 0; ///< First item in the record.
  joblog::LogPosition record_;
};

/// A lot, or an online request as a job of one item.
struct Job
{
  enum class Phase : std::uint8_t
  {
    Opening, ///< Items arrive; nothing is accepted yet.
    Accepted,
    Finished,
    Cancelled,
  };

  wire::JobDescription description_;
  Phase phase_ = Phase::Opening;
  /// A cancellation was asked for. It waits for the results on their way, and
  /// no other result is let in before it.
  bool cancelling_ = false;
  bool cancelAppended_ = false; ///< Its record is on its way.
  std::uint64_t firstSequence_ = 0;
  std::int64_t lastRecordUnixMs_ = 0; ///< When it was opened, then finished.
  std::vector<Frame> frames_;
  std::vector<Item> items_;
  std::vector<ResultPlace> results_; ///< In the order recorded.
  std::vector<std::uint32_t> requeued_;
  std::uint32_t nextItem_ = 0; ///< Where the search for a waiting item goes on.
  /// Where it began. Past the last item it goes on at the first, up to here.
  std::uint32_t searchStart_ = 0;
  bool isSearchWrapped_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t ending_ = 0; ///< Of those running, with a result on its way.
  std::uint32_t succeeded_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t cancelled_ = 0;
  /// Results from here on have no record of their own: the job was cancelled.
  std::uint32_t firstCancelledResult_ = 0;

  [[nodiscard]] std::uint32_t ReceivedItems() const
  {
    return static_cast<std::uint32_t>(items_.size());
  }
  [[nodiscard]] bool IsAccepted() const { return phase_ != Phase::Opening; }
  [[nodiscard]] bool IsOver() const
  {
    return phase_ == Phase::Finished || phase_ == Phase::Cancelled;
  }
  [[nodiscard]] std::uint32_t Waiting() const;
  [[nodiscard]] ItemPlace PlaceOf(std::uint32_t aItem) const;
  [[nodiscard]] ResultSource SourceOf(std::uint32_t aPosition) const;
  /// @return when its results stop being readable.
  [[nodiscard]] std::int64_t ExpiresUnixMs() const;
};

/// A finished online request. A keeper holds each one for its whole retention
/// time, so no more is kept than callers who come back need.
struct FinishedRequest
{
  ResultPlace result_;
  std::uint64_t digest_ = 0;
  std::uint64_t partner_ = 0; ///< Hash of its name.
  std::uint64_t firstSequence_ = 0;
  std::int64_t endedUnixMs_ = 0;
  std::uint32_t retentionS_ = 0;
  bool succeeded_ = false;

  [[nodiscard]] std::int64_t ExpiresUnixMs() const;
};

} // namespace pumiceturn::jobs
