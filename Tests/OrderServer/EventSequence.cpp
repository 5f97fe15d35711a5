#include "Tests/OrderServer/EventSequence.h"

#include "LibBase/Ids.h"
#include "LibBase/Numbers.h"

#include <fmt/format.h>

namespace pumiceturn::adapter {

namespace {

/// Upper bound of the text that is added to an event, so that sizes differ.
constexpr std::uint64_t kMaxPadding = 300;

} // namespace

EventSequence
ParseEventSequence(std::string_view aTarget)
{
  const std::string_view last = aTarget.substr(aTarget.rfind('/') + 1);
  const std::size_t point = last.find('.');
  if (point == std::string_view::npos) {
    return { std::string(last), 0 };
  }
  return {
    std::string(last.substr(0, point)),
    base::ParseNumber<std::uint64_t>(last.substr(point + 1)).value_or(0)
  };
}

std::string
DataOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       std::string_view aVersion)
{
  const std::uint64_t padding =
    base::HashBytes(aSequence.name_, aNumber) % kMaxPadding;
  return fmt::format("{}/{}@{} {}",
                     aSequence.name_,
                     aNumber,
                     aVersion,
                     std::string(padding, '.'));
}

std::string
TextOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       std::string_view aVersion)
{
  return fmt::format(
    "id: {}\ndata: {}\n\n", aNumber, DataOf(aSequence, aNumber, aVersion));
}

} // namespace pumiceturn::adapter
