#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// The events that an order server sends for a request. Their text is the same
/// in each run at one software version, and differs between requests and
/// versions, so that the reader of a stream knows where each event comes from.
struct EventSequence
{
  std::string name_; ///< From the request's path.
  std::uint64_t count_ = 0;
};

/// @param aTarget Path that ends with "/NAME.COUNT".
[[nodiscard]] EventSequence
ParseEventSequence(std::string_view aTarget);

/// @return the data of an event.
[[nodiscard]] std::string
DataOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       std::string_view aVersion);

/// @return an event as it is sent.
[[nodiscard]] std::string
TextOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       std::string_view aVersion);

} // namespace pumiceturn::adapter
