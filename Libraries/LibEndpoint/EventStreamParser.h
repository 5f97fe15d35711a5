#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// Splits a text/event-stream body, which arrives in arbitrary pieces, into the
/// data of its events. Comments and other fields are skipped.
class EventStreamParser
{
public:
  /// Longest line taken; a longer one makes the stream malformed.
  static constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } << 20U;

  /// Takes the next piece.
  /// @param aOnData Receives the data of each line that is now whole; false
  /// ends the parse.
  /// @return false if a line is too long or aOnData ended it.
  bool Push(std::string_view aPiece,
            const std::function<bool(std::string_view)>& aOnData);

private:
  std::string rest_;
};

} // namespace pumiceturn::endpoint
