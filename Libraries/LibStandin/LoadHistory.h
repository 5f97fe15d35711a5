#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <deque>

namespace pumiceturn::standin {

struct LoadSample
{
  std::uint64_t running_ = 0;
  std::uint64_t waiting_ = 0;
};

/// Remembers the load for a while, to report it with a lag. Not thread-safe.
class LoadHistory
{
public:
  static constexpr base::Duration kKept{ std::chrono::seconds{ 60 } };

  void Record(LoadSample aSample, base::Instant aNow)
  {
    samples_.push_back({ aNow, aSample });
    while (samples_.size() > 1 && samples_[1].time_ + kKept < aNow) {
      samples_.pop_front();
    }
  }

  /// @return the load as it was at a time.
  [[nodiscard]] LoadSample At(base::Instant aTime) const
  {
    LoadSample result;
    for (const Timed& timed : samples_) {
      if (timed.time_ > aTime) {
        break;
      }
      result = timed.sample_;
    }
    return result;
  }

private:
  struct Timed
  {
    base::Instant time_;
    LoadSample sample_;
  };

  std::deque<Timed> samples_;
};

} // namespace pumiceturn::standin
