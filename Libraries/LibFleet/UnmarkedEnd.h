#pragma once

#include <cstdint>
#include <string_view>

namespace pumiceturn::fleet {

/// What a check of an endpoint found after the connection of a response ended.
enum class EndpointCheck : std::uint8_t
{
  Refused,      ///< Nothing listens at its address.
  Unreachable,  ///< No connection was made in time.
  Closed,       ///< The connection was accepted and then closed or reset.
  Silent,       ///< A question got no answer in time.
  Open,         ///< Nothing was asked, and the connection stayed open.
  Unnamed,      ///< An answer doesn't show which process sent it.
  SameProcess,  ///< The process that sent the response shows that it runs.
  OtherProcess, ///< Another process shows that it runs at the address.
};

/// @return a check's name, for logs and metrics.
[[nodiscard]] std::string_view
NameOf(EndpointCheck aCheck);

/// Whether it is known which process of the endpoint sent a response.
enum class Sender : std::uint8_t
{
  Known,
  Unknown,
};

/// What is known of a response whose end nothing but the end of its connection
/// marks.
enum class UnmarkedEnd : std::uint8_t
{
  Whole,
  BrokenOff, ///< The process that sent it has ended.
  /// Nothing shows whether that process lives on.
  Unconfirmed,
};

/// The kernel ends the connections of a killed process in order, too, so a
/// response is whole only if its process shows that it lives on: what says
/// nothing proves nothing.
[[nodiscard]] UnmarkedEnd
Judge(EndpointCheck aCheck, Sender aSender);

} // namespace pumiceturn::fleet
