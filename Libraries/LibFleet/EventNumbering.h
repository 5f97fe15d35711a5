#pragma once

#include "LibFleet/EventSplitter.h"

#include <cstdint>

namespace pumiceturn::fleet {

/// What an event of a response is to the stream that the response belongs to.
enum class EventPlace : std::uint8_t
{
  Next,       ///< The event after the last one.
  Unnumbered, ///< An event without a valid number.
  NoEvent,    ///< A comment, or fields without data.
  Elsewhere,  ///< Its number is another than the next one.
};

/// Follows the numbers of the events in one response. They count up by one from
/// the event after which the response was asked to go on. An event with another
/// number shows that the response isn't the rest of the stream. Performs no
/// I/O. Not thread-safe.
class EventNumbering
{
public:
  struct Counts
  {
    std::uint64_t first_ = 0; ///< Number of the first event; 0: none.
    std::uint64_t last_ = 0;  ///< Number of the last event; 0: none.
    std::uint64_t events_ = 0;
    std::uint64_t skipped_ = 0;    ///< Numbers that were left out.
    std::uint64_t repeated_ = 0;   ///< Events whose number had come before.
    std::uint64_t unnumbered_ = 0; ///< Events without a valid number.

    [[nodiscard]] bool IsRegular() const
    {
      return skipped_ == 0 && repeated_ == 0 && unnumbered_ == 0;
    }
  };

  /// Begins with another response.
  /// @param aLastEvent The event after which it is to go on; 0: the beginning.
  void Begin(std::uint64_t aLastEvent);

  /// Records the next event of the response.
  [[nodiscard]] EventPlace Record(const StreamEvent& aEvent);

  [[nodiscard]] const Counts& GetCounts() const { return counts_; }

private:
  std::uint64_t lastNumber_ = 0; ///< The highest so far.
  Counts counts_;
};

} // namespace pumiceturn::fleet
