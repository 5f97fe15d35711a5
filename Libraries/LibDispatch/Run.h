#pragma once

#include "LibDispatch/Action.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::dispatch {

enum class RunPhase : std::uint8_t
{
  Waiting,    ///< Queued, initially or after a preemption.
  Held,       ///< Suspect; queued until no other suspect is at the engine.
  Running,    ///< At the engine.
  Preempting, ///< Cancelled for preemption; its end is not reported yet.
  Stopping,   ///< Cancelled for good; its end is not reported yet.
  Broken,     ///< Its connection broke; the crash check is in progress.
  Finished,   ///< The result is kept until it is recorded.
};

/// The scheduler's state of one attempt at one item.
struct Run
{
  static constexpr std::size_t kNotAtEngine = static_cast<std::size_t>(-1);

  wire::StartRun request_;
  std::string receiver_; ///< Receiver of the result.
  std::string starter_;  ///< Sender of the StartRun; receives chunks if wanted.
  RunPhase phase_ = RunPhase::Waiting;
  std::uint32_t generation_ = 0;
  std::uint32_t preemptions_ = 0;
  std::uint32_t tokens_ = 0;
  bool mayHaveRun_ = false; ///< The engine may have received its request.
  bool isSuspect_ = false;

  base::Instant arrivedAt_;
  base::Instant deadline_ = base::Instant::max(); ///< Online runs only.
  base::Instant due_ = base::Instant::max();      ///< Batch runs only.
  base::Instant startedAt_;                       ///< Of the current stream.
  base::Instant lastToken_;
  base::Instant preemptedAt_;
  bool hasFirstToken_ = false; ///< Of the current stream.

  std::vector<ResponseChunk> chunks_; ///< If chunks are wanted.
  std::string text_;                  ///< If chunks are not wanted.
  std::size_t responseBytes_ = 0;
  wire::ResultCode stopCode_ = wire::ResultCode::Cancelled;
  wire::RunEnded end_;

  /// Position in EndpointScheduler::atEngine_.
  std::size_t engineIndex_ = kNotAtEngine;
  std::uint64_t onlineQueueKey_ = 0; ///< Key in RunQueue.
  /// Key in RunQueue.
  std::pair<base::Instant, std::uint64_t> batchQueueKey_;
  std::optional<std::multimap<base::Instant, Run*>::iterator> deadlineEntry_;
  std::optional<std::multimap<base::Instant, Run*>::iterator> resendEntry_;
  base::Instant finishedAt_;
  std::uint32_t resendCount_ = 0;

  [[nodiscard]] bool IsOnline() const { return request_.online_; }
  [[nodiscard]] bool IsAtEngine() const { return engineIndex_ != kNotAtEngine; }
  [[nodiscard]] StreamId Stream() const
  {
    return StreamId{ request_.run_, generation_ };
  }
};

} // namespace pumiceturn::dispatch
