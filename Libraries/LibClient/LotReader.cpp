#include "LibClient/LotReader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace pumiceturn::client {

namespace {

std::string
TakeText(const nlohmann::json& aValue, std::string_view aKey)
{
  if (!aValue.is_string()) {
    throw std::invalid_argument(fmt::format("'{}' must be a text", aKey));
  }
  return aValue.get<std::string>();
}

/// @throws std::exception with the reason when the line is no valid item.
caller::JobItem
ParseLine(std::string_view aLine, std::size_t aNumber)
{
  const nlohmann::json line = nlohmann::json::parse(aLine);
  if (!line.is_object()) {
    throw std::invalid_argument("expects an object with name and prompt");
  }
  caller::JobItem item;
  item.set_name(std::to_string(aNumber));
  bool hasPrompt = false;
  for (const auto& [key, value] : line.items()) {
    if (key == "name") {
      item.set_name(TakeText(value, key));
    } else if (key == "prompt") {
      item.set_prompt(TakeText(value, key));
      hasPrompt = true;
    } else {
      throw std::invalid_argument(fmt::format("unknown key '{}'", key));
    }
  }
  if (!hasPrompt) {
    throw std::invalid_argument("'prompt' is missing");
  }
  return item;
}

} // namespace

Lot
ReadLot(std::string_view aText)
{
  Lot lot;
  std::size_t number = 0;
  while (!aText.empty()) {
    ++number;
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string_view line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    try {
      lot.items_.push_back(ParseLine(line, number));
    } catch (const std::exception& exception) {
      lot.brokenLines_.push_back({ number, exception.what() });
    }
  }
  return lot;
}

} // namespace pumiceturn::client
