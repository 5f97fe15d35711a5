#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace pumiceturn::metadata {

/// Whether the store answers this host, and since when again. Not thread-safe.
class StoreHealth
{
public:
  /// Records the end of a call, and logs when the store is lost or regained.
  void NoteCall(bool aIsAnswered, base::Instant aNow);

  [[nodiscard]] bool IsLost() const { return lost_; }

  /// @return when the store last answered again after it had been lost; now,
  /// while it is lost.
  [[nodiscard]] std::optional<base::Instant> ReturnedAt(
    base::Instant aNow) const;

private:
  bool lost_ = false;
  std::optional<base::Instant> returnedAt_;
};

} // namespace pumiceturn::metadata
