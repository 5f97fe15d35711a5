#pragma once

#include "LibBase/Log.h"
#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the gate hears of time and engine, and what it wants done. All plain
/// data, so that a test can play both sides.
namespace pumiceturn::dispatch {

/// The time of an input, on both clocks.
struct Moment
{
  base::Instant now_;
  base::WallTime wall_;
};

/// Names one stream of a run. A run that was preempted and resumed has several,
/// and what a former one still says is told apart by the generation.
struct StreamId
{
  wire::RunId run_;
  std::uint32_t generation_ = 0;

  bool operator==(const StreamId&) const = default;
};

/// A part of the answer; its sequence number is its place, from 1.
struct AnswerPart
{
  std::string text_;
  std::uint32_t tokens_ = 0;
};

/// How a stream ended, as the engine client knows it.
enum class StreamResult : std::uint8_t
{
  Finished,  ///< The answer is whole.
  Cancelled, ///< Ended by CancelStream.
  NotSent,   ///< No connection: certainly not run.
  Rejected,  ///< Refused before sending, for what the request holds.
  Broken,    ///< The connection broke after sending.
  Failed,    ///< An error answer, or silence for too long.
};

struct StreamEnd
{
  StreamResult result_ = StreamResult::Finished;
  wire::Ran ran_ = wire::Ran::Ran;
  wire::ResultCode code_ = wire::ResultCode::Ok;
  std::string detail_;
};

/// Sums of the gate's state, for heartbeats, metrics and the decision log.
struct GateLoad
{
  std::uint32_t onlineRunning_ = 0;
  std::uint32_t batchRunning_ = 0;
  std::uint32_t yielding_ = 0; ///< Cancelled at the engine, not yet ended.
  std::uint32_t onlineWaiting_ = 0;
  std::uint32_t batchWaiting_ = 0;
  std::uint32_t limit_ = 0;
  std::uint32_t headroom_ = 0;
  std::uint32_t creditsOutstanding_ = 0;
  std::uint32_t unrecorded_ = 0;
  std::uint32_t expectedWaitMs_ = 0;
  bool draining_ = false;
  bool engineDown_ = false;
};

/// Sends a run to the engine, or resumes it there.
struct StartStream
{
  StreamId stream_;
  std::string kind_;
  std::string payload_;
  std::uint64_t prefix_ = 0;
  std::uint32_t maxTokens_ = 0;
  std::uint32_t resumeTokens_ = 0; ///< Tokens the run already has.
  base::Duration timeLeft_{};      ///< Until the deadline; zero without one.
};

/// Ends a stream at the engine. Its end is reported as any other.
struct CancelStream
{
  StreamId stream_;
};

struct SendMessage
{
  std::string peer_;
  wire::Message message_;
};

/// Sends a heartbeat to every peer now.
struct SpreadHeartbeat
{};

/// Tells the quarantine what ran when the engine crashed.
struct RecordCrash
{
  std::vector<std::uint64_t> fingerprints_;
};

/// Asks whether the engine answers; Gate::OnEngineUp() if it does.
struct ProbeEngine
{};

/// One line of the decision log.
struct LogDecision
{
  const base::Event* event_ = nullptr;
  wire::RunId run_;
  std::string peer_;
  wire::ResultCode code_ = wire::ResultCode::Ok;
  base::Duration weighedWait_{}; ///< Expected wait, or laxity of a victim.
  GateLoad load_;
};

using Action = std::variant<StartStream,
                            CancelStream,
                            SendMessage,
                            SpreadHeartbeat,
                            RecordCrash,
                            ProbeEngine,
                            LogDecision>;
using Actions = std::vector<Action>;

} // namespace pumiceturn::dispatch
