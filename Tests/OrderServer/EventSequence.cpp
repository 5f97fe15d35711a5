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
       const EventRun& aRun)
{
  const std::uint64_t padding =
    base::HashBytes(aSequence.name_, aNumber) % kMaxPadding;
  return fmt::format("{}/{}@{} {}+{} {}",
                     aSequence.name_,
                     aNumber,
                     aRun.software_,
                     aRun.name_,
                     aRun.afterEvent_,
                     std::string(padding, '.'));
}

std::optional<EventRun>
RunIn(std::string_view aData)
{
  // "NAME/NUMBER@SOFTWARE RUN+AFTER PADDING"
  const std::size_t at = aData.find('@');
  const std::size_t run = aData.find(' ', at);
  const std::size_t plus = aData.find('+', run);
  const std::size_t end = aData.find(' ', plus);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const auto after =
    base::ParseNumber<std::uint64_t>(aData.substr(plus + 1, end - plus - 1));
  if (!after) {
    return std::nullopt;
  }
  return EventRun{ std::string(aData.substr(at + 1, run - at - 1)),
                   std::string(aData.substr(run + 1, plus - run - 1)),
                   *after };
}

std::string
TextOf(const EventSequence& aSequence,
       std::uint64_t aNumber,
       const EventRun& aRun)
{
  return fmt::format(
    "id: {}\ndata: {}\n\n", aNumber, DataOf(aSequence, aNumber, aRun));
}

} // namespace pumiceturn::adapter
