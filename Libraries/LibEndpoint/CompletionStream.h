#pragma once

#include "LibBase/Time.h"
#include "LibEndpoint/EngineMessages.h"
#include "LibEndpoint/EventStreamParser.h"

#include <functional>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Reads the answer of one streamed completion. One thread uses it.
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

  /// @return the body of the request.
  static std::string MakeBody(const CompletionRequest& aRequest);

  /// Takes the answer's head. @return false to end the exchange.
  bool OnHead(int aStatus, base::Instant aNow);

  /// Takes the next piece of the body. @return false to end the exchange.
  bool OnBody(std::string_view aPiece, base::Instant aNow);

  /// @return whether the engine said that the stream is over.
  [[nodiscard]] bool IsDone() const { return done_; }
  [[nodiscard]] bool IsStopped() const { return stopped_; }
  [[nodiscard]] base::Instant LastHeard() const { return lastHeard_; }

  /// @return the end as far as the answer alone tells it.
  [[nodiscard]] CompletionEnd End() const;

private:
  bool OnData(std::string_view aData);

  const OnToken& onToken_;
  const ShouldStop& shouldStop_;
  EventStreamParser parser_;
  CompletionEnd end_;
  std::string errorBody_;
  base::Instant lastHeard_;
  bool malformed_ = false;
  bool stopped_ = false;
  bool done_ = false;
};

} // namespace pumiceturn::endpoint
