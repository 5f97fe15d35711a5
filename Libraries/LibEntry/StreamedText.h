#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// What the caller has been sent of a streamed answer. A rerun after a lost
/// endpoint starts its text from the beginning; the caller must neither see a
/// part twice nor a mixture of two different answers.
class StreamedText
{
public:
  /// A new attempt's text will be compared from its beginning.
  void BeginAttempt();

  /// Takes the attempt's text in order so far.
  /// @return what to send now: the text beyond what was sent, or nothing while
  /// the attempt is behind or has turned out different.
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
