#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// The part of a streamed answer that was sent to the caller. A rerun after a
/// lost endpoint starts its text from the beginning; the caller must receive
/// neither repeated text nor a mixture of two answers.
class StreamedText
{
public:
  /// Starts comparing a new attempt's text from the beginning.
  void BeginAttempt();

  /// @param aAttemptText The attempt's contiguous text so far.
  /// @return the text to send now; empty while the attempt has produced no more
  /// than was sent, or if its text differs.
  std::string Advance(std::string_view aAttemptText);

  [[nodiscard]] bool IsEmpty() const { return sent_.empty(); }
  [[nodiscard]] bool IsEqual(std::string_view aText) const
  {
    return sent_ == aText;
  }

private:
  std::string sent_;
  std::size_t compared_ = 0;
  bool diverged_ = false;
};

} // namespace pumiceturn::entry
