#include "Tests/PlatformSoak/OrderStream.h"

#include "LibBase/Numbers.h"

namespace pumiceturn::adapter {

namespace {

/// @return the software version that an event's data names.
std::string_view
VersionIn(std::string_view aData)
{
  const std::size_t at = aData.find('@');
  if (at == std::string_view::npos) {
    return {};
  }
  return aData.substr(at + 1, aData.find(' ', at) - at - 1);
}

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

} // namespace

std::string_view
NameOf(OrderFault aFault)
{
  switch (aFault) {
    case OrderFault::Missing:
      return "an event is missing";
    case OrderFault::Back:
      return "a number came twice or went back";
    case OrderFault::OtherVersion:
      return "events of two versions";
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
  const std::string_view version = VersionIn(data);
  if (last_ == 0) {
    version_ = version;
  }
  if (data != DataOf(sequence_, number, version)) {
    return OrderFault::OtherText;
  }
  if (version != version_) {
    return OrderFault::OtherVersion;
  }
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
  const std::string version(VersionIn(aOutput));
  std::string whole;
  for (std::uint64_t number = 1; number <= aSequence.count_; ++number) {
    whole += (number > 1 ? "\n" : "") + DataOf(aSequence, number, version);
  }
  if (aOutput == whole) {
    return std::nullopt;
  }
  return std::string_view(whole).starts_with(aOutput) ? OrderFault::EndsEarly
                                                      : OrderFault::OtherText;
}

} // namespace pumiceturn::adapter
