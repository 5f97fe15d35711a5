#pragma once

#include "Tests/OrderServer/EventSequence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// What is wrong with a stream or an output.
enum class OrderFault : std::uint8_t
{
  Missing,       ///< A number was left out.
  Back,          ///< A number came twice, or went back.
  OtherSoftware, ///< Events of two services or software versions.
  OtherRun,      ///< Events of a run that wasn't asked to go on there.
  OtherText,     ///< Not an event of this request.
  EndsEarly,     ///< It looks complete and lacks its last events.
};

[[nodiscard]] std::string_view
NameOf(OrderFault aFault);

/// The events that a caller has of a stream, over all its tries.
class OrderStream
{
public:
  /// @param aIsResumable Whether a new run may go on after an event.
  OrderStream(EventSequence aSequence, bool aIsResumable)
    : sequence_(std::move(aSequence))
    , isResumable_(aIsResumable)
  {
  }

  /// Adds the complete events of a body, which goes on after those before.
  /// @return the first thing that is wrong with them.
  [[nodiscard]] std::optional<OrderFault> Add(std::string_view aBody);

  [[nodiscard]] std::uint64_t LastEvent() const { return last_; }
  /// @return the service and version that began the stream.
  [[nodiscard]] const std::string& Software() const { return run_.software_; }
  [[nodiscard]] const EventSequence& Sequence() const { return sequence_; }
  [[nodiscard]] bool IsWhole() const { return last_ == sequence_.count_; }

private:
  [[nodiscard]] std::optional<OrderFault> AddEvent(std::string_view aEvent);

  EventSequence sequence_;
  bool isResumable_;
  std::uint64_t last_ = 0;
  EventRun run_; ///< Of the last event.
};

/// @return what is wrong with an item's output; empty if it is whole.
[[nodiscard]] std::optional<OrderFault>
CheckOutput(const EventSequence& aSequence, std::string_view aOutput);

} // namespace pumiceturn::adapter
