#pragma once

#include "LibBase/Time.h"
#include "LibRouting/EndpointChooser.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>

namespace pumiceturn::entry {

/// An online request as checked and named by the entry.
struct OnlineDescription
{
  wire::RecordRequest record_; ///< As it goes to the owner; holds the payload.
  base::Instant deadline_;
  bool streamed_ = true;          ///< The caller wants chunks.
  std::uint32_t maxAttempts_ = 2; ///< Runs that may have reached an endpoint.
  base::Duration backoff_{ std::chrono::milliseconds{ 20 } };
  std::uint64_t fingerprint_ = 0;
  std::uint64_t prefix_ = 0;
  bool quarantined_ = false;
  /// Random. Its upper bits number the attempts, so that two entries which run
  /// the same request never use the same run id; the rest is jitter.
  std::uint64_t random_ = 0;
};

/// Send to the owner of the request's partition.
struct SendToOwner
{
  wire::Message message_;
};

struct SendToEndpoint
{
  std::string endpoint_;
  wire::Message message_;
};

/// Choose an endpoint; answered by OnEndpoint() or OnNoEndpoint().
struct ChooseEndpoint
{
  bool isRetry_ = false; ///< Takes one from the retry budget.
};

/// A run no longer counts as in flight at its endpoint.
struct RunLeft
{
  std::string endpoint_;
  routing::RunEnd end_ = routing::RunEnd::GivenUp;
};

/// The content crashed endpoints often enough to be refused everywhere.
struct BlameContent
{};

/// The record is durable and an endpoint has begun to answer.
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

/// The durable result.
struct EmitFinished
{
  wire::ItemResult result_;
  bool duplicate_ = false;
  bool streamedWhole_ = false; ///< The caller has the text already.
  bool replacesChunks_ = false;
  std::string endpoint_;
};

/// The call ends without a durable result.
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
                                  RunLeft,
                                  BlameContent,
                                  EmitAccepted,
                                  EmitChunk,
                                  EmitFinished,
                                  EmitFailed>;

} // namespace pumiceturn::entry
