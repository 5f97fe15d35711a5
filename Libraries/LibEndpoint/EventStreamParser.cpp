#include "LibEndpoint/EventStreamParser.h"

namespace pumiceturn::endpoint {

namespace {

constexpr std::string_view kDataField = "data:";

std::string_view
DataOf(std::string_view aLine)
{
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  if (!aLine.starts_with(kDataField)) {
    return {};
  }
  aLine.remove_prefix(kDataField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  return aLine;
}

} // namespace

bool
EventStreamParser::Push(std::string_view aChunk,
                        const std::function<bool(std::string_view)>& aOnData)
{
  buffer_.append(aChunk);
  std::size_t begin = 0;
  for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
       end = buffer_.find('\n', begin)) {
    const std::string_view line{ buffer_.data() + begin, end - begin };
    begin = end + 1;
    const std::string_view data = DataOf(line);
    if (!data.empty() && !aOnData(data)) {
      return false;
    }
  }
  buffer_.erase(0, begin);
  return buffer_.size() <= kMaxLineBytes;
}

} // namespace pumiceturn::endpoint
