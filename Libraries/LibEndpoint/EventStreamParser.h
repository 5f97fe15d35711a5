#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Incremental parser of a text/event-stream body. Reports the data lines;
/// skips comments and other fields.
class EventStreamParser
{
public:
  /// A stream with a longer line is malformed.
  static constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } << 20U;

  /// Parses the next chunk of the body.
  /// @param aOnData Called with the data of each complete line; returns false
  /// to stop parsing.
  /// @return false if a line is too long or aOnData returned false.
  bool Push(std::string_view aChunk,
            const std::function<bool(std::string_view)>& aOnData);

private:
  std::string buffer_;
};

} // namespace pumiceturn::endpoint
