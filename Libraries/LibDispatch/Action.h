#pragma once

#include "LibBase/Log.h"
#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Inputs and outputs of EndpointScheduler. All of them are plain data, so that
/// tests can run without an engine or a clock.
namespace pumiceturn::dispatch {

/// The time of an input on the monotonic and the wall clock.
struct Moment
{
  base::Instant now_;
  base::WallTime wall_;
};

/// Identifies one stream of a run. Each resumption of a preempted run starts a
/// new stream with the next generation, so that late events of earlier streams
/// can be ignored.
struct StreamId
{
  wire::RunId run_;
  std::uint32_t generation_ = 0;

  bool operator==(const StreamId&) const = default;
};

/// A part of a response. Its sequence number is its position, starting at 1.
struct ResponseChunk
{
  std::string text_;
  std::uint32_t tokens_ = 0;
};

/// How a stream ended, as reported by the engine client.
enum class StreamResult : std::uint8_t
{
  Finished,  ///< The response is complete.
  Cancelled, ///< Ended by CancelStream.
  NotSent,   ///< No connection was made, so the request did not run.
  Rejected,  ///< Refused before sending because the request is invalid.
  Broken,    ///< The connection broke after sending.
  Failed,    ///< The endpoint returned an error or timed out.
};

/// How a stream ended, and whether the request ran.
struct StreamEnd
{
  StreamResult result_ = StreamResult::Finished;
  wire::Ran ran_ = wire::Ran::Ran;
  wire::ResultCode code_ = wire::ResultCode::Ok;
  std::string detail_;
};

/// Summary of the scheduler's state for heartbeats, metrics and the decision
/// log.
struct SchedulerLoad
{
  std::uint32_t onlineRunning_ = 0;
  std::uint32_t batchRunning_ = 0;
  /// Streams cancelled but not yet reported as ended.
  std::uint32_t cancelling_ = 0;
  std::uint32_t onlineWaiting_ = 0;
  std::uint32_t batchWaiting_ = 0;
  /// Maximum number of concurrent requests at the engine.
  std::uint32_t places_ = 0;
  std::uint32_t headroom_ = 0;
  std::uint32_t creditsOutstanding_ = 0;
  std::uint32_t unrecordedResults_ = 0;
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
  /// Tokens received by earlier streams of the run.
  std::uint32_t resumeTokens_ = 0;
  base::Duration timeLeft_{}; ///< Until the deadline; zero if there is none.
};

/// Cancels a stream at the engine. Its end is reported by
/// EndpointScheduler::OnStreamEnded().
struct CancelStream
{
  StreamId stream_;
};

struct SendMessage
{
  std::string peer_;
  wire::Message message_;
};

/// Sends a heartbeat to every peer immediately.
struct BroadcastHeartbeat
{};

/// Reports to the quarantine which content was in flight when the engine
/// crashed.
struct RecordCrash
{
  std::vector<std::uint64_t> fingerprints_;
};

/// Checks the engine's health; EndpointScheduler::OnEngineUp() is to be called
/// if it responds.
struct ProbeEngine
{};

/// One entry of the decision log.
struct LogDecision
{
  const base::Event* event_ = nullptr;
  wire::RunId run_;
  /// Receiver of the run; for a preemption, that of the online run that caused
  /// it.
  std::string peer_;
  wire::ResultCode code_ = wire::ResultCode::Ok;
  base::Duration duration_{}; ///< Depends on the event: expected or actual
                              ///< wait, slack, run time, downtime or age.
  SchedulerLoad load_;
};

using Action = std::variant<StartStream,
                            CancelStream,
                            SendMessage,
                            BroadcastHeartbeat,
                            RecordCrash,
                            ProbeEngine,
                            LogDecision>;
using Actions = std::vector<Action>;

} // namespace pumiceturn::dispatch
