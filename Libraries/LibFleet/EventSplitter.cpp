#include "LibFleet/EventSplitter.h"

#include "LibBase/Numbers.h"

namespace pumiceturn::fleet {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

std::string_view
TrimValue(std::string_view aValue)
{
  if (!aValue.empty() && aValue.front() == ' ') {
    aValue.remove_prefix(1);
  }
  if (!aValue.empty() && aValue.back() == '\r') {
    aValue.remove_suffix(1);
  }
  return aValue;
}

/// @return the number; 0 if the text is none.
std::uint64_t
ParseId(std::string_view aText)
{
  const std::size_t end = aText.find_last_not_of(" \t");
  return base::ParseNumber<std::uint64_t>(aText.substr(0, end + 1)).value_or(0);
}

StreamEvent
ParseEvent(std::string_view aRaw)
{
  StreamEvent event;
  event.raw_ = aRaw;
  std::string_view rest = aRaw;
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::string_view value = TrimValue(line.substr(colon + 1));
    if (line.starts_with("id:")) {
      event.id_ = ParseId(value);
    } else if (line.starts_with("data:") && !event.hasData_) {
      event.data_ = value;
      event.hasData_ = true;
    }
  }
  return event;
}

} // namespace

std::optional<StreamEvent>
EventSplitter::Next()
{
  const std::size_t end = buffer_.find(kEventEnd, searchOffset_);
  if (end == std::string::npos) {
    buffer_.erase(0, readOffset_);
    readOffset_ = 0;
    // The last byte may be the first one of the event's end.
    searchOffset_ = buffer_.empty() ? 0 : buffer_.size() - 1;
    return std::nullopt;
  }
  const std::size_t begin = readOffset_;
  readOffset_ = end + kEventEnd.size();
  searchOffset_ = readOffset_;
  return ParseEvent(
    std::string_view(buffer_).substr(begin, readOffset_ - begin));
}

void
EventSplitter::Clear()
{
  buffer_.clear();
  readOffset_ = 0;
  searchOffset_ = 0;
}

} // namespace pumiceturn::fleet
