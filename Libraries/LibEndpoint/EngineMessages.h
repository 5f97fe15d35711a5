#pragma once

#include "LibBase/ResultCode.h"

#include <cstdint>
#include <string>
#include <vector>

/// What is said to a model engine and heard from it, as plain data.
namespace pumiceturn::endpoint {

struct CompletionRequest
{
  std::string id_; ///< Names the stream for a cancel; unique while it runs.
  std::string model_;
  std::string prompt_;
  std::uint32_t maxTokens_ = 0;
  std::uint32_t resumeTokens_ = 0; ///< Tokens of the answer already received;
                                   ///< the stream goes on after them.
};

/// What the receiver of a token wants next.
enum class TokenDecision : std::uint8_t
{
  Continue,
  Stop, ///< End the stream as cancelled.
};

/// How a stream ended, and whether the request reached the engine. A failure is
/// part of this value, because its ran_ must never be lost on the way up.
///
/// | code_           | ran_    | when |
/// |-----------------|---------|------|
/// | Ok              | Ran     | the engine finished the answer |
/// | Cancelled       | Unknown | cancelled by Cancel(), a decision or the
/// engine; NotRun if nothing was sent | | InvalidRequest  | NotRun  | the
/// prompt is no UTF-8 text | | NoEndpoint      | NotRun  | no connection: no
/// byte left for the engine | | EndpointCrashed | Unknown | the connection
/// broke after sending | | TimedOut        | Unknown | silent for longer than
/// the silence limit | | EndpointFailed  | Unknown | an HTTP error or a
/// malformed answer |
struct CompletionEnd
{
  base::ResultCode code_ = base::ResultCode::Ok;
  base::Ran ran_ = base::Ran::Ran;
  std::uint32_t tokens_ = 0; ///< Received in this stream, without resumed ones.
  std::uint32_t cachedPromptTokens_ = 0; ///< Prompt tokens the engine took from
                                         ///< its prefix cache.
  int httpStatus_ = 0;                   ///< 0 if there was none.
  std::string finishReason_;             ///< As the engine says it.
  std::string detail_;
};

/// The engine's own report. It lags, so decisions weigh it by its age.
struct EngineLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t maxRunning_ = 0;
  std::uint64_t ageMs_ = 0; ///< How old the figures were when answered.
};

enum class CacheChange : std::uint8_t
{
  Stored,
  Evicted,
};

/// A block of prompt text came into the prefix cache or left it.
struct CacheEvent
{
  std::uint64_t sequence_ = 0;
  CacheChange change_ = CacheChange::Stored;
  std::uint64_t prefixHash_ = 0;  ///< base::HashBytes of the prompt's start.
  std::uint32_t prefixBytes_ = 0; ///< Length of that start.
};

struct CacheEventPage
{
  std::vector<CacheEvent> events_; ///< In sequence order, maybe with gaps.
  std::uint64_t lastSequence_ = 0; ///< Pass it as aAfter next time.
  bool hasGap_ = false; ///< Events were lost: what is known is an estimate.
};

enum class OrderType : std::uint8_t
{
  LoadModel,
  LoadAdapter,
  SetRole,
};

struct EngineOrder
{
  OrderType type_ = OrderType::LoadModel;
  std::string name_;    ///< Model, adapter or role.
  std::string version_; ///< Empty for a role.
  std::uint64_t fence_ = 0;
};

} // namespace pumiceturn::endpoint
