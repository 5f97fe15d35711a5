#include "LibFleet/EventSplitter.h"

#include "LibBase/Numbers.h"

#include <utility>

namespace pumiceturn::fleet {

namespace {

constexpr std::string_view kLineEnds = "\r\n";

/// One line of an event.
struct Field
{
  std::string_view name_; ///< Empty: a comment.
  std::string_view value_;
};

Field
ParseField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return { aLine, {} };
  }
  std::string_view value = aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return { aLine.substr(0, colon), value };
}

/// @return the number; 0 if the text is none.
std::uint64_t
ParseId(std::string_view aText)
{
  const std::size_t end = aText.find_last_not_of(" \t");
  return base::ParseNumber<std::uint64_t>(aText.substr(0, end + 1)).value_or(0);
}

} // namespace

std::optional<std::string_view>
EventSplitter::NextLine()
{
  const std::size_t end = buffer_.find_first_of(kLineEnds, searchOffset_);
  if (end == std::string::npos) {
    searchOffset_ = buffer_.size();
    return std::nullopt;
  }
  const std::string_view line =
    std::string_view(buffer_).substr(lineOffset_, end - lineOffset_);
  lineOffset_ = end + 1;
  const bool isCarriageReturn = buffer_[end] == '\r';
  if (isCarriageReturn && lineOffset_ < buffer_.size()) {
    lineOffset_ += buffer_[lineOffset_] == '\n' ? 1 : 0;
  } else {
    mayEndWithLineFeed_ = isCarriageReturn;
  }
  searchOffset_ = lineOffset_;
  return line;
}

StreamEvent
EventSplitter::TakeEvent()
{
  StreamEvent event;
  event.raw_ =
    std::string_view(buffer_).substr(readOffset_, lineOffset_ - readOffset_);
  readOffset_ = lineOffset_;
  std::string_view rest = event.raw_;
  if (std::exchange(isAtStart_, false) && rest.starts_with(kByteOrderMark)) {
    rest.remove_prefix(kByteOrderMark.size());
  }
  while (!rest.empty()) {
    const std::size_t end = rest.find_first_of(kLineEnds);
    const Field field = ParseField(rest.substr(0, end));
    rest.remove_prefix(end + 1);
    if (field.name_ == "id") {
      event.id_ = ParseId(field.value_);
    } else if (field.name_ == "data" && !event.hasData_) {
      event.data_ = field.value_;
      event.hasData_ = true;
    } else if (field.name_ == "data") {
      if (event.data_.data() != data_.data()) {
        data_ = event.data_;
      }
      data_.append("\n").append(field.value_);
      event.data_ = data_;
    }
  }
  return event;
}

std::optional<StreamEvent>
EventSplitter::Next()
{
  if (mayEndWithLineFeed_ && lineOffset_ < buffer_.size()) {
    mayEndWithLineFeed_ = false;
    if (buffer_[lineOffset_] == '\n') {
      const bool wasReturned = readOffset_ == lineOffset_;
      searchOffset_ = ++lineOffset_;
      if (wasReturned) {
        return TakeEvent();
      }
    }
  }
  while (const auto line = NextLine()) {
    if (line->empty()) {
      return TakeEvent();
    }
  }
  Compact();
  return std::nullopt;
}

void
EventSplitter::Compact()
{
  buffer_.erase(0, readOffset_);
  lineOffset_ -= readOffset_;
  searchOffset_ -= readOffset_;
  readOffset_ = 0;
}

void
EventSplitter::Clear()
{
  *this = {};
}

} // namespace pumiceturn::fleet
