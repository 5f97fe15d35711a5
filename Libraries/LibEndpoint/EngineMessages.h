#pragma once

#include "LibBase/ResultCode.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages to and from a model engine, as plain data.
namespace pumiceturn::endpoint {

struct CompletionRequest
{
  /// Identifies the stream in Cancel(); unique among running streams.
  std::string id_;
  std::string model_;
  std::string prompt_;
  std::uint32_t maxTokens_ = 0;
  /// Tokens already received; the stream continues after them.
  std::uint32_t resumeTokens_ = 0;
};

/// Whether the receiver of a token wants more.
enum class TokenDecision : std::uint8_t
{
  Continue,
  Stop, ///< Ends the stream as cancelled.
};

/// How a stream ended, and whether the request reached the engine. Failures are
/// returned in this value and not as base::Failure, which has no ran_.
/// Values of code_, with ran_ in brackets:
///
/// - Ok (Ran): the engine completed the response.
/// - Cancelled (Unknown, or NotRun if nothing was sent): cancelled by Cancel(),
///   by the receiver or by the engine.
/// - InvalidRequest (NotRun): the prompt is not UTF-8 or the id is in use.
/// - NoEndpoint (NotRun): no connection was made, so nothing was sent.
/// - EndpointCrashed (Unknown): the connection broke after sending.
/// - TimedOut (Unknown): nothing was received for longer than the idle timeout.
/// - EndpointFailed (Unknown): HTTP error or malformed response.
struct CompletionEnd
{
  base::ResultCode code_ = base::ResultCode::Ok;
  base::Ran ran_ = base::Ran::Ran;
  /// Received in this stream, excluding resumeTokens_.
  std::uint32_t tokens_ = 0;
  /// Prompt tokens served from the engine's prefix cache.
  std::uint32_t cachedPromptTokens_ = 0;
  int httpStatus_ = 0;       ///< 0 if no response was received.
  std::string finishReason_; ///< As reported by the engine.
  std::string detail_;
};

/// The engine's own load report. It lags; see ageMs_.
struct EngineLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t maxRunning_ = 0;
  std::uint64_t ageMs_ = 0; ///< Age of the figures when the engine sent them.
};

enum class CacheChange : std::uint8_t
{
  Stored,
  Evicted,
};

/// A block of prompt text was stored in the prefix cache or evicted from it.
struct CacheEvent
{
  std::uint64_t sequence_ = 0;
  CacheChange change_ = CacheChange::Stored;
  /// base::HashBytes() of the first prefixBytes_ bytes of the prompt.
  std::uint64_t prefixHash_ = 0;
  std::uint32_t prefixBytes_ = 0; ///< Length of the hashed part of the prompt.
};

/// Cache events read in one call.
struct CacheEventPage
{
  /// Ordered by sequence number.
  std::vector<CacheEvent> events_;
  std::uint64_t lastSequence_ = 0; ///< Value of aAfter for the next call.
  bool hasGap_ = false; ///< Events were lost, or the engine restarted.
};

/// Kind of a command that changes what an engine serves.
enum class CommandType : std::uint8_t
{
  LoadModel,
  LoadAdapter,
  SetRole, ///< Sets the role of the engine to name_; not sent at present.
};

struct EngineCommand
{
  CommandType type_ = CommandType::LoadModel;
  std::string name_;        ///< Model, adapter or role.
  std::string version_;     ///< Empty for a role.
  std::uint64_t fence_ = 0; ///< Fencing number; engines may ignore it.
};

} // namespace pumiceturn::endpoint
