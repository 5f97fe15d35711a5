#pragma once

#include "LibBase/Time.h"
#include "LibEndpoint/EngineMessages.h"
#include "LibEndpoint/EventStreamParser.h"

#include <functional>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Parses the response of one streamed completion. Not thread-safe.
class CompletionStream
{
public:
  using OnToken = std::function<TokenDecision(std::string_view)>;
  using ShouldStop = std::function<bool()>;

  CompletionStream(const OnToken& aOnToken, const ShouldStop& aShouldStop)
    : onToken_(aOnToken)
    , shouldStop_(aShouldStop)
  {
  }

  /// @return the JSON body of the request.
  /// @throws nlohmann::json::exception if the prompt is not valid UTF-8.
  static std::string MakeBody(const CompletionRequest& aRequest);

  /// Handles the status line of the response.
  /// @return false to abort the exchange.
  bool OnStatus(int aStatus, base::Instant aNow);

  /// Handles the next part of the response body.
  /// @return false to abort the exchange.
  bool OnBody(std::string_view aChunk, base::Instant aNow);

  /// @return whether the engine sent the end marker.
  [[nodiscard]] bool IsDone() const { return done_; }

  /// @return whether the receiver or a cancellation stopped the stream.
  [[nodiscard]] bool IsStopped() const { return stopped_; }

  /// @return when data was last received.
  [[nodiscard]] base::Instant LastReceived() const { return lastReceived_; }

  /// @return the result according to the response alone; connection errors are
  /// not included.
  [[nodiscard]] CompletionEnd End() const;

private:
  bool OnData(std::string_view aData);

  const OnToken& onToken_;
  const ShouldStop& shouldStop_;
  EventStreamParser parser_;
  CompletionEnd end_;
  std::string errorBody_;
  base::Instant lastReceived_;
  bool malformed_ = false;
  bool stopped_ = false;
  bool done_ = false;
};

} // namespace pumiceturn::endpoint
