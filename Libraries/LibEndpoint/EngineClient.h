#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibEndpoint/EngineMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Speaks to one model engine: streamed completions in the published form of
/// POST /v1/completions with server-sent events, cancel, load, cache events
/// and orders. Calls block. A stream holds its caller's thread until it ends.
/// Thread-safe.
class EngineClient
{
public:
  struct Options
  {
    std::string address_; ///< IP:port.
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
    base::Duration controlTimeout_{ std::chrono::seconds{ 2 } };
    /// A stream that says nothing for so long is given up. It covers the wait
    /// in the engine's queue and the prefill.
    base::Duration silenceLimit_{ std::chrono::seconds{ 30 } };
  };

  using OnToken = std::function<TokenDecision(std::string_view)>;
  using ShouldStop = std::function<bool()>;

  /// @return OutOfRange for a malformed address. Does not connect yet.
  static base::Result<std::unique_ptr<EngineClient>> Make(Options aOptions);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Runs one stream to its end.
  /// @param aOnToken    Receives each token's text, in order, on this thread.
  /// @param aShouldStop Asked before anything is sent and whenever something
  ///                    arrives. To end a stream that is silent, call Cancel()
  ///                    from another thread.
  CompletionEnd StreamCompletion(const CompletionRequest& aRequest,
                                 const OnToken& aOnToken,
                                 const ShouldStop& aShouldStop);

  /// Ends a stream that this client runs, at the engine too; it then ends as
  /// Cancelled, also if the engine does not answer. Calling it for a stream
  /// that is not running here asks the engine only.
  /// @return an error if the engine did not confirm; the closed connection then
  /// ends the stream there.
  base::Result<void> Cancel(const std::string& aId);

  /// @return NoEndpoint, TimedOut or EndpointFailed otherwise.
  base::Result<EngineLoad> ReadLoad();

  /// @param aAfter Sequence number read last; 0 for all that is kept.
  base::Result<CacheEventPage> ReadCacheEvents(std::uint64_t aAfter);

  /// @return StaleFence if the engine checks fencing numbers and has seen a
  /// higher one; OutcomeUnknown if the answer was lost.
  base::Result<void> SendOrder(const EngineOrder& aOrder);

  [[nodiscard]] bool IsHealthy();

private:
  struct State;
  explicit EngineClient(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::endpoint
