#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pumiceturn::fleet {

/// Counts requests in a sliding window, by slices of equal length. A slice is
/// named by its number since the clock's epoch. Not thread-safe.
class WindowCounter
{
public:
  static constexpr std::size_t kSlicesPerWindow = 20;

  /// Slices that are kept: those of the window and the current one.
  static constexpr std::size_t kSlices = kSlicesPerWindow + 1;

  /// @return the number of the slice that a time lies in.
  [[nodiscard]] static std::int64_t SliceAt(base::Instant aTime,
                                            base::Duration aWindow)
  {
    return aTime.time_since_epoch() / SliceLength(aWindow);
  }

  [[nodiscard]] static base::Duration SliceLength(base::Duration aWindow)
  {
    return aWindow / kSlicesPerWindow;
  }

  /// Makes a slice the current one, and drops those that left the window.
  void AdvanceTo(std::int64_t aSlice);

  /// Counts requests in the current slice; fewer than zero to take some back.
  void Add(std::int64_t aRequests) { AddAt(slice_, aRequests); }

  /// Counts requests in a slice, unless it left the window.
  void AddAt(std::int64_t aSlice, std::int64_t aRequests);

  /// @return the requests in a slice; 0 if it isn't kept.
  [[nodiscard]] std::int64_t At(std::int64_t aSlice) const;

  /// @return the requests in all slices that are kept.
  [[nodiscard]] std::int64_t Sum() const { return sum_; }

  /// @return the requests in all slices that are still kept when a slice is the
  ///         current one.
  [[nodiscard]] std::int64_t SumAt(std::int64_t aSlice) const
  {
    WindowCounter later = *this;
    later.AdvanceTo(aSlice);
    return later.Sum();
  }

  [[nodiscard]] std::int64_t CurrentSlice() const { return slice_; }

  /// @return the oldest slice that is kept.
  [[nodiscard]] std::int64_t OldestSlice() const
  {
    return slice_ - static_cast<std::int64_t>(kSlicesPerWindow);
  }

private:
  [[nodiscard]] bool IsKept(std::int64_t aSlice) const;
  [[nodiscard]] static std::size_t IndexOf(std::int64_t aSlice);

  std::array<std::int32_t, kSlices> requests_{};
  std::int64_t sum_ = 0;
  std::int64_t slice_ = 0; ///< Current slice.
};

} // namespace pumiceturn::fleet
