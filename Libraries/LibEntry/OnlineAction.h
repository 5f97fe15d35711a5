#pragma once

#include "LibBase/Time.h"
#include "LibRouting/EndpointChooser.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>

namespace pumiceturn::entry {

/// An online request after its checks, with its derived key, IDs and limits.
struct OnlineDescription
/// Sent to the owner; contains the payload.
{
  wire::RecordRequest record_;
  base::Instant deadline_;
  bool streamed_ = true; ///< Whether the caller wants chunks.
  /// Maximum number of runs that may have begun.
  std::uint32_t maxAttempts_ = 2;
  base::Duration backoff_{ std::chrono::milliseconds{ 20 } };
  std::uint64_t fingerprint_ = 0;
  std::uint64_t prefix_ = 0;
  bool quarantined_ = false;
  /// Random bits. The upper half is part of the run IDs, so that two entries
  /// never use the same ID for runs of one request; all bits seed the jitter.
  std::uint64_t random_ = 0;
};

/// Sends a message to the owner of the request's partition. Answered by
/// OnOwnerSent() or OnOwnerUnreachable().
struct SendToOwner
{
  wire::Message message_;
};

struct SendToEndpoint
{
  std::string endpoint_;
  wire::Message message_;
};

/// Requests an endpoint. Answered by OnEndpoint() or OnNoEndpoint().
struct ChooseEndpoint
/// Consumes one retry of the budget.
{
  bool isRetry_ = false;
};

/// A run is no longer in flight at its endpoint.
struct RunReleased
{
  std::string endpoint_;
  routing::RunOutcome outcome_ = routing::RunOutcome::Abandoned;
};

/// Quarantines the request's content, which has crashed several endpoints.
struct QuarantineContent
{};

/// The record is durable and the first text has arrived.
struct EmitAccepted
{
  bool duplicate_ = false;
};

struct EmitChunk
{
  std::uint64_t sequence_ = 0;
  std::string text_;
  std::uint32_t tokens_ = 0;
};

/// The request finished with a durable result.
struct EmitFinished
{
  wire::ItemResult result_;
  bool duplicate_ = false;
  bool isTextStreamed_ = false; ///< The chunks sent contain the whole text.
  bool replacesChunks_ = false;
  std::string endpoint_;
};

/// The call failed without a durable result.
struct EmitFailed
{
  base::ResultCode code_ = base::ResultCode::Internal;
  base::Ran ran_ = base::Ran::Unspecified;
  std::uint32_t retryAfterMs_ = 0;
  std::string detail_;
};

using OnlineAction = std::variant<SendToOwner,
                                  SendToEndpoint,
                                  ChooseEndpoint,
                                  RunReleased,
                                  QuarantineContent,
                                  EmitAccepted,
                                  EmitChunk,
                                  EmitFinished,
                                  EmitFailed>;

} // namespace pumiceturn::entry
