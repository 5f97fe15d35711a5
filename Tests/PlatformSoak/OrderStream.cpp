#include "Tests/PlatformSoak/OrderStream.h"

#include "LibBase/Numbers.h"

#include <algorithm>

namespace pumiceturn::adapter {

namespace {

/// @return the value of a field; empty if the event hasn't got it.
std::string_view
FieldOf(std::string_view aEvent, std::string_view aName)
{
  const std::size_t at = aEvent.find(aName);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = aEvent.substr(at + aName.size());
  return rest.substr(0, rest.find('\n'));
}

/// Checks that an event may follow those of a run.
std::optional<OrderFault>
CheckRun(const EventRun& aBefore,
         std::uint64_t aLastEvent,
         const EventRun& aRun,
         bool aIsResumable)
{
  const bool isFirst = aLastEvent == 0;
  if (!isFirst && aRun.software_ != aBefore.software_) {
    return OrderFault::OtherSoftware;
  }
  const bool hasChanged = isFirst || aRun != aBefore;
  const bool mayChange = isFirst || aIsResumable;
  return !hasChanged || (mayChange && aRun.afterEvent_ == aLastEvent)
           ? std::nullopt
           : std::optional(OrderFault::OtherRun);
}

} // namespace

std::string_view
NameOf(OrderFault aFault)
{
  switch (aFault) {
    case OrderFault::Missing:
      return "an event is missing";
    case OrderFault::Back:
      return "a number came twice or went back";
    case OrderFault::OtherSoftware:
      return "events of two services or versions";
    case OrderFault::OtherRun:
      return "events of two runs";
    case OrderFault::OtherText:
      return "an event of another request";
    case OrderFault::EndsEarly:
      break;
  }
  return "it ends too early";
}

std::optional<OrderFault>
OrderStream::AddEvent(std::string_view aEvent)
{
  const std::string_view data = FieldOf(aEvent, "data: ");
  if (data.empty()) {
    return std::nullopt;
  }
  const auto number =
    base::ParseNumber<std::uint64_t>(FieldOf(aEvent, "id: ")).value_or(0);
  if (number != last_ + 1) {
    return number > last_ ? OrderFault::Missing : OrderFault::Back;
  }
  const auto run = RunIn(data);
  if (!run || data != DataOf(sequence_, number, *run)) {
    return OrderFault::OtherText;
  }
  if (const auto fault = CheckRun(run_, last_, *run, isResumable_)) {
    return fault;
  }
  run_ = *run;
  last_ = number;
  return std::nullopt;
}

std::optional<OrderFault>
OrderStream::Add(std::string_view aBody)
{
  for (std::size_t end = aBody.find("\n\n"); end != std::string_view::npos;
       end = aBody.find("\n\n")) {
    if (const auto fault = AddEvent(aBody.substr(0, end + 1))) {
      return fault;
    }
    aBody.remove_prefix(end + 2);
  }
  return std::nullopt;
}

std::optional<OrderFault>
CheckOutput(const EventSequence& aSequence, std::string_view aOutput)
{
  EventRun before;
  for (std::uint64_t number = 1; number <= aSequence.count_; ++number) {
    if (aOutput.empty()) {
      return OrderFault::EndsEarly;
    }
    const std::string_view data = aOutput.substr(0, aOutput.find('\n'));
    const auto run = RunIn(data);
    if (!run || data != DataOf(aSequence, number, *run)) {
      return OrderFault::OtherText;
    }
    if (const auto fault = CheckRun(before, number - 1, *run, true)) {
      return fault;
    }
    before = *run;
    aOutput.remove_prefix(std::min(data.size() + 1, aOutput.size()));
  }
  return aOutput.empty() ? std::nullopt : std::optional(OrderFault::OtherText);
}

} // namespace pumiceturn::adapter
