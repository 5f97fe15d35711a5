#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::dispatch {

/// How many requests the engine runs at once without making one wait, found by
/// feedback on first-token time: an engine that is given more than it runs
/// queues the rest, and their first token comes late. The engine's own report
/// of its load lags by seconds, so it is not used. Not thread-safe.
class ConcurrencyLimit
{
public:
  struct Options
  {
    std::uint32_t most_ = 16; ///< Declared; the limit starts here.
    std::uint32_t least_ = 1;
    base::Duration firstTokenTarget_{ std::chrono::milliseconds{ 700 } };
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// Changes the bounds; the limit found is kept within them.
  void SetOptions(Options aOptions);

  /// @param aDelay   From the request to its first token.
  /// @param aAtStart Requests at the engine when it was sent, itself included.
  void OnFirstToken(base::Duration aDelay, std::uint32_t aAtStart);

  [[nodiscard]] std::uint32_t Current() const { return limit_; }

private:
  void CloseWindow();

  Options options_;
  std::uint32_t limit_;
  std::uint32_t samples_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t mostSeen_ = 0;
  base::Duration usual_{}; ///< Slowly following shortest first-token time.
};

} // namespace pumiceturn::dispatch
