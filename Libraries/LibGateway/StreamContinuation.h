#pragma once

#include "LibFleet/Declarations.h"
#include "LibFleet/EventNumbering.h"
#include "LibFleet/EventSplitter.h"
#include "LibFleet/StreamOrigin.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// The events of a stream that its caller has, and where the rest may come
/// from: only from endpoints of the service and the software version that began
/// it, as what two versions write doesn't fit together.
class StreamContinuation
{
public:
  /// @param aLastEvent Id of the last event that the caller has; 0: none.
  explicit StreamContinuation(std::uint64_t aLastEvent)
    : lastEvent_(aLastEvent)
    , hasBegun_(aLastEvent > 0)
  {
  }

  /// Sets where the stream began that the caller resumes.
  void SetOrigin(fleet::StreamOrigin aOrigin) { origin_ = std::move(aOrigin); }

  /// @return where the stream began; empty before its first event, and if that
  ///         isn't known.
  [[nodiscard]] const std::optional<fleet::StreamOrigin>& Origin() const
  {
    return origin_;
  }

  /// @return whether the caller has events that the rest must fit to.
  [[nodiscard]] bool HasBegun() const { return hasBegun_; }

  /// @return whether another attempt may go on: not after an event without a
  ///         number, as the rest can't be asked for.
  [[nodiscard]] bool CanGoOn() const { return !endsUnnumbered_; }

  [[nodiscard]] std::uint64_t LastEvent() const { return lastEvent_; }

  /// Starts to read the response of an endpoint.
  void BeginAttempt(const fleet::EndpointRecord& aEndpoint);

  /// Handles the head of the response.
  /// @param aResponderId Id of the endpoint that responds; empty if not given.
  /// @return whether the caller may get events of this response: not if another
  ///         endpoint responds than the one chosen, whose version isn't known.
  [[nodiscard]] bool OnHead(std::string_view aResponderId);

  /// Adds bytes of the response.
  /// @return the complete events among them that the caller doesn't have.
  [[nodiscard]] std::string TakeEvents(std::string_view aBytes);

  /// @return whether the response so far ends within an event.
  [[nodiscard]] bool HasPartialEvent() const
  {
    return splitter_.Remainder() > 0;
  }

  /// @return whether the response has begun an event that is larger than any
  ///         may be.
  [[nodiscard]] bool IsEventTooLarge() const
  {
    return splitter_.IsEventTooLarge();
  }

  /// @return the numbers of the events that the current attempt brought.
  [[nodiscard]] const fleet::EventNumbering::Counts& EventCounts() const
  {
    return numbering_.GetCounts();
  }

  /// @return the last event that the caller had before the current attempt.
  [[nodiscard]] std::uint64_t LastEventBeforeAttempt() const
  {
    return lastEventBeforeAttempt_;
  }

  /// @return whether the current attempt brought an event with another number
  ///         than the next one. It isn't passed on, nor what follows.
  [[nodiscard]] bool HasEventElsewhere() const { return hasEventElsewhere_; }

  /// @return whether the current attempt brought events that the caller had
  /// not.
  [[nodiscard]] bool HasAdvanced() const
  {
    return lastEvent_ > lastEventBeforeAttempt_;
  }

private:
  /// Adds an event to those that the caller gets.
  void Take(const fleet::StreamEvent& aEvent,
            fleet::EventPlace aPlace,
            std::string& aEvents);

  std::uint64_t lastEvent_;
  bool hasBegun_;
  bool endsUnnumbered_ = false; ///< The last event has no number.
  bool hasEventElsewhere_ = false;
  std::string leadingComments_; ///< Before the first event.
  std::uint64_t lastEventBeforeAttempt_ = 0;
  std::optional<fleet::StreamOrigin> origin_;
  fleet::EventSplitter splitter_;
  fleet::EventNumbering numbering_;
  std::string endpointId_; ///< Of the current attempt.
  /// Of the current attempt; empty if another endpoint responds.
  std::optional<fleet::StreamOrigin> attemptOrigin_;
};

} // namespace pumiceturn::gateway
