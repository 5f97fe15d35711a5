#include "LibAccount/LogLine.h"

#include "LibBase/Numbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pumiceturn::account {

namespace {

constexpr std::string_view kDateTimeShape = "dddd-dd-ddTdd:dd:dd";
constexpr std::string_view kOffsetShape = "+dd:dd";
constexpr std::string_view kDigits = "0123456789";

bool
IsDigit(char aCharacter)
{
  return kDigits.find(aCharacter) != std::string_view::npos;
}

/// @return whether a text has the shape: 'd' stands for a digit, '+' for a
/// sign, other characters for themselves.
bool
HasShape(std::string_view aText, std::string_view aShape)
{
  return std::equal(aText.begin(),
                    aText.end(),
                    aShape.begin(),
                    aShape.end(),
                    [](char aCharacter, char aExpected) {
                      if (aExpected == 'd') {
                        return IsDigit(aCharacter);
                      }
                      return aCharacter == aExpected ||
                             (aExpected == '+' && aCharacter == '-');
                    });
}

/// @return the number at a position of a text whose shape was checked.
unsigned
NumberAt(std::string_view aText, std::size_t aStart, std::size_t aLength)
{
  return base::ParseNumber<unsigned>(aText.substr(aStart, aLength)).value_or(0);
}

/// Parses `2026-10-07T03:50:39.017+00:00`; the fraction and, if the time is in
/// UTC, the offset may be `Z`.
std::optional<std::chrono::sys_seconds>
ParseTime(std::string_view aText)
{
  using namespace std::chrono;
  const std::string_view dateTime = aText.substr(0, kDateTimeShape.size());
  if (!HasShape(dateTime, kDateTimeShape)) {
    return std::nullopt;
  }
  const year_month_day date{ year(static_cast<int>(NumberAt(aText, 0, 4))),
                             month(NumberAt(aText, 5, 2)),
                             day(NumberAt(aText, 8, 2)) };
  const hours hour{ NumberAt(aText, 11, 2) };
  const minutes minute{ NumberAt(aText, 14, 2) };
  const seconds second{ NumberAt(aText, 17, 2) };
  if (!date.ok() || hour >= days{ 1 } || minute >= hours{ 1 } ||
      second > minutes{ 1 }) {
    return std::nullopt;
  }
  std::string_view offset = aText.substr(kDateTimeShape.size());
  if (offset.starts_with('.')) {
    offset.remove_prefix(
      std::min(offset.find_first_not_of(kDigits, 1), offset.size()));
  }
  const sys_seconds local = sys_days(date) + hour + minute + second;
  if (offset == "Z") {
    return local;
  }
  if (!HasShape(offset, kOffsetShape)) {
    return std::nullopt;
  }
  const seconds ahead =
    hours{ NumberAt(offset, 1, 2) } + minutes{ NumberAt(offset, 4, 2) };
  return offset.front() == '+' ? local - ahead : local + ahead;
}

/// Removes the text up to the next space, and that space.
/// @return the removed text without the space.
std::string_view
TakeWord(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find(' '), aText.size());
  const std::string_view word = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return word;
}

/// @return the position after the closing quote of a text that begins with a
/// quote, npos if it has none.
std::size_t
EndOfQuoted(std::string_view aText)
{
  for (std::size_t at = 1; at < aText.size(); ++at) {
    if (aText[at] == '\\') {
      ++at;
    } else if (aText[at] == '"') {
      return at + 1;
    }
  }
  return std::string_view::npos;
}

/// Removes a value and the space after it; base::Log() writes values with
/// special characters as JSON strings.
std::optional<std::string>
TakeValue(std::string_view& aText)
{
  if (!aText.starts_with('"')) {
    return std::string(TakeWord(aText));
  }
  const std::size_t end = EndOfQuoted(aText);
  if (end == std::string_view::npos ||
      (end < aText.size() && aText[end] != ' ')) {
    return std::nullopt;
  }
  const auto value =
    nlohmann::json::parse(aText.substr(0, end), nullptr, false);
  if (!value.is_string()) {
    return std::nullopt;
  }
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return value.get<std::string>();
}

} // namespace

const std::string*
LogLine::Find(std::string_view aKey) const
{
  const auto found =
    std::find_if(fields_.begin(), fields_.end(), [aKey](const Field& aField) {
      return aField.key_ == aKey;
    });
  return found == fields_.end() ? nullptr : &found->value_;
}

base::Result<LogLine>
ParseLogLine(std::string_view aText)
{
  const auto time = ParseTime(TakeWord(aText));
  if (!time) {
    return base::Fail(base::ResultCode::MalformedMessage,
                      "the line doesn't begin with a time");
  }
  LogLine line;
  line.at_ = *time;
  TakeWord(aText); // The level.
  while (!aText.empty()) {
    const std::size_t separator = aText.find_first_of("= ");
    if (separator == 0 || separator == std::string_view::npos ||
        aText[separator] != '=') {
      return base::Fail(base::ResultCode::MalformedMessage,
                        "a field isn't key=value");
    }
    const std::string_view key = aText.substr(0, separator);
    aText.remove_prefix(separator + 1);
    auto value = TakeValue(aText);
    if (!value) {
      return base::Fail(base::ResultCode::MalformedMessage,
                        "the value of " + std::string(key) +
                          " isn't quoted properly");
    }
    line.fields_.push_back({ key, std::move(*value) });
  }
  const std::string* event = line.Find("event");
  const auto number =
    event ? base::ParseNumber<std::uint16_t>(*event) : std::nullopt;
  if (!number) {
    return base::Fail(base::ResultCode::MalformedMessage,
                      "the line has no event number");
  }
  line.event_ = *number;
  return line;
}

} // namespace pumiceturn::account
