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
  Waiting,  ///< In a queue; batch may have been preempted before.
  Held,     ///< Suspect; waits until no other suspect is at the engine.
  Running,  ///< At the engine.
  Yielding, ///< Preempted: cancelled at the engine, its end not yet reported.
  Stopping, ///< Cancelled for good, its end not yet reported.
  Broken,   ///< Its connection broke; crash or not is being found out.
  Finished, ///< The result is kept until it is recorded.
};

/// One attempt at one item, as the gate knows it.
struct Run
{
  static constexpr std::size_t kNotAtEngine = static_cast<std::size_t>(-1);

  wire::StartRun order_;
  std::string peer_;    ///< Who is told of it.
  std::string starter_; ///< Who has its chunks, where chunks are wanted.
  RunPhase phase_ = RunPhase::Waiting;
  std::uint32_t generation_ = 0;
  std::uint32_t preemptions_ = 0;
  std::uint32_t tokens_ = 0;
  bool mayHaveRun_ = false; ///< A byte of it may have reached the engine.
  bool isSuspect_ = false;

  base::Instant arrived_;
  base::Instant deadline_ = base::Instant::max(); ///< Online.
  base::Instant due_ = base::Instant::max();      ///< Batch.
  base::Instant started_;                         ///< Of the present stream.
  base::Instant lastToken_;
  base::Instant preempted_;
  bool hasFirstToken_ = false; ///< Of the present stream.

  std::vector<AnswerPart> parts_; ///< Where chunks are wanted.
  std::string text_;              ///< Where they are not.
  std::size_t answerBytes_ = 0;
  wire::ResultCode stopCode_ = wire::ResultCode::Cancelled;
  wire::RunEnded end_;

  std::size_t engineIndex_ = kNotAtEngine;
  std::uint64_t onlineTicket_ = 0;
  std::pair<base::Instant, std::uint64_t> batchTicket_;
  std::optional<std::multimap<base::Instant, Run*>::iterator> deadlineEntry_;
  std::optional<std::multimap<base::Instant, Run*>::iterator> offerEntry_;
  base::Instant finished_;
  std::uint32_t offers_ = 0;

  [[nodiscard]] bool IsOnline() const { return order_.online_; }
  [[nodiscard]] bool IsAtEngine() const { return engineIndex_ != kNotAtEngine; }
  [[nodiscard]] StreamId Stream() const
  {
    return StreamId{ order_.run_, generation_ };
  }
};

} // namespace pumiceturn::dispatch
