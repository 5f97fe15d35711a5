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
{
  /// The message sent to the owner; contains the payload.
  wire::RecordRequest record_;
  base::Instant deadline_;
  bool isStreaming_ =
    true; ///< Whether the text is sent to the caller in chunks.
  /// Maximum number of runs, not counting refused ones.
  std::uint32_t maxAttempts_ = 2;
  base::Duration backoff_{ std::chrono::milliseconds{ 20 } };
  std::uint64_t fingerprint_ = 0;
  std::uint64_t prefix_ = 0;
  bool quarantined_ = false;
  /// Random bits. Some of the upper 32 are part of the run IDs, so that two
  /// entries don't use the same ID for runs of one request; all bits seed the
  /// jitter.
  std::uint64_t random_ = 0;
};

/// Sends a message to the owner of the request's partition. The executor then
/// calls OnOwnerSent() or OnOwnerUnreachable().
struct SendToOwner
{
  wire::Message message_;
};

struct SendToEndpoint
{
  std::string endpoint_;
  wire::Message message_;
};

/// Requests an endpoint. The executor then calls OnEndpoint() or
/// OnNoEndpoint().
struct ChooseEndpoint
{
  /// Consumes one retry of the budget if an endpoint is available.
  bool isRetry_ = false;
};

/// Tells the router that a run at this endpoint ended.
struct ReportRunEnd
{
  std::string endpoint_;
  routing::RunOutcome outcome_ = routing::RunOutcome::Abandoned;
};

/// Quarantines the request's content, which has crashed two endpoints.
struct QuarantineContent
{};

/// Tells the caller that its request is durable. Sent before the first chunk or
/// the result, or when the request turns out to be a duplicate.
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
  /// The result's text differs from the chunks sent and replaces them.
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
                                  ReportRunEnd,
                                  QuarantineContent,
                                  EmitAccepted,
                                  EmitChunk,
                                  EmitFinished,
                                  EmitFailed>;

} // namespace pumiceturn::entry
