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
  Missing,      ///< A number was left out.
  Back,         ///< A number came twice, or went back.
  OtherVersion, ///< Events of two software versions.
  OtherText,    ///< Not an event of this request.
  EndsEarly,    ///< It looks complete and lacks its last events.
};

[[nodiscard]] std::string_view
NameOf(OrderFault aFault);

/// The events that a caller has of a stream, over all its tries.
class OrderStream
{
public:
  explicit OrderStream(EventSequence aSequence)
    : sequence_(std::move(aSequence))
  {
  }

  /// Adds the complete events of a body, which goes on after those before.
  /// @return the first thing that is wrong with them.
  [[nodiscard]] std::optional<OrderFault> Add(std::string_view aBody);

  [[nodiscard]] std::uint64_t LastEvent() const { return last_; }
  [[nodiscard]] const std::string& Version() const { return version_; }
  [[nodiscard]] const EventSequence& Sequence() const { return sequence_; }
  [[nodiscard]] bool IsWhole() const { return last_ == sequence_.count_; }

private:
  [[nodiscard]] std::optional<OrderFault> AddEvent(std::string_view aEvent);

  EventSequence sequence_;
  std::uint64_t last_ = 0;
  std::string version_; ///< Of the first event.
};

/// @return what is wrong with an item's output; empty if it is whole.
[[nodiscard]] std::optional<OrderFault>
CheckOutput(const EventSequence& aSequence, std::string_view aOutput);

} // namespace pumiceturn::adapter
