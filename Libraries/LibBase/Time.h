#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace pumiceturn::base {

using Duration = std::chrono::microseconds;

/// Monotonic time of this process. Decision code receives it as an argument.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Names the clock that goes on while the machine is suspended.
struct BootClock;

/// For the age of what other hosts are told.
using BootInstant = std::chrono::time_point<BootClock, Duration>;

/// Wall-clock time, for due times, retention and records.
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

/// @return now, for the I/O layer only.
inline Instant
MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

/// @return now, for the I/O layer only.
inline WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

/// @return now, for the I/O layer only.
inline BootInstant
BootNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootInstant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) +
    std::chrono::nanoseconds(time.tv_nsec)));
}

inline std::int64_t
ToUnixMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

inline WallTime
FromUnixMs(std::int64_t aUnixMs)
{
  return WallTime{ std::chrono::milliseconds{ aUnixMs } };
}

inline std::int64_t
ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace pumiceturn::base
