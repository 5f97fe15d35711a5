#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibEndpoint/EngineMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Client of one model engine: streamed completions (POST /v1/completions with
/// server-sent events), cancellation, load, cache events and commands. All
/// calls block; StreamCompletion() blocks until the stream ends. Thread-safe.
class EngineClient
{
public:
  struct Options
  {
    /// IP:port.
    std::string address_;
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
    base::Duration controlTimeout_{ std::chrono::seconds{ 2 } };
    /// A stream that receives nothing for longer is aborted. Must exceed the
    /// queueing time at the engine plus the prefill.
    base::Duration idleTimeout_{ std::chrono::seconds{ 30 } };
  };

  using OnToken = std::function<TokenDecision(std::string_view)>;
  using ShouldStop = std::function<bool()>;

  /// Creates a client without connecting.
  /// @return OutOfRange for a malformed address.
  static base::Result<std::unique_ptr<EngineClient>> Make(Options aOptions);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Runs one stream until it ends.
  /// @param aOnToken    Called with each token's text, in order, on the
  /// calling thread.
  /// @param aShouldStop Checked before the request is sent and whenever data
  /// arrives. To stop a stream that receives nothing, call Cancel() from
  /// another thread.
  CompletionEnd StreamCompletion(const CompletionRequest& aRequest,
                                 const OnToken& aOnToken,
                                 const ShouldStop& aShouldStop);

  /// Cancels a stream at the engine. A stream of this client ends as Cancelled
  /// even if the engine does not respond.
  /// @return an error if the engine did not respond properly. Unless the engine
  /// confirmed the cancellation, the connection is closed, which ends the
  /// stream there.
  base::Result<void> Cancel(const std::string& aId);

  /// @return the engine's load, or NoEndpoint, TimedOut, EndpointCrashed or
  /// EndpointFailed.
  base::Result<EngineLoad> ReadLoad();

  /// @param aAfter Sequence number of the last event read; 0 for all events
  /// that the engine keeps.
  /// @return the events after it, or an error as for ReadLoad().
  base::Result<CacheEventPage> ReadCacheEvents(std::uint64_t aAfter);

  /// @return StaleFence if the engine has seen a higher fencing number,
  /// NoEndpoint if nothing was sent, OutcomeUnknown if the response was lost,
  /// EndpointFailed for an HTTP error.
  base::Result<void> SendCommand(const EngineCommand& aCommand);

  /// @return whether the engine responds to a health check.
  [[nodiscard]] bool IsHealthy();

private:
  struct State;
  explicit EngineClient(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::endpoint
