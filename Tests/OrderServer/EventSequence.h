#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// The events that an order server sends for a request. Their text differs
/// between requests, runs, services and versions, so that the reader of a
/// stream knows where each event comes from.
struct EventSequence
{
  std::string name_; ///< From the request's path.
  std::uint64_t count_ = 0;
};

/// The run of a request that sends an event.
struct EventRun
{
  std::string software_; ///< Service and version of the server.
  std::string name_;     ///< Differs from those of all other runs.
  /// The event after which the run was asked to go on; 0: from the beginning.
  std::uint64_t afterEvent_ = 0;

  bool operator==(const EventRun&) const = default;
};

/// @param aTarget Path that ends with "/NAME.COUNT".
[[nodiscard]] EventSequence
ParseEventSequence(std::string_view aTarget);

/// @return the data of an event.
[[nodiscard]] std::string
DataOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       const EventRun& aRun);

/// @return the run that an event's data names; empty if it names none.
[[nodiscard]] std::optional<EventRun>
RunIn(std::string_view aData);

/// @return an event as it is sent.
[[nodiscard]] std::string
TextOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       const EventRun& aRun);

} // namespace pumiceturn::adapter
