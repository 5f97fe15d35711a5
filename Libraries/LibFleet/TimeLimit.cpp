#include "LibFleet/TimeLimit.h"

#include <chrono>

namespace pumiceturn::fleet {

namespace {

constexpr std::chrono::milliseconds kClockStep{ 1 };

/// Clocks that are being set right run at most 500 parts per million too fast
/// or too slow, so that two of them drift apart by one part in a thousand.
constexpr int kPartsPerDrift = 1000;

} // namespace

bool
MayHavePassed(base::Duration aLimit, base::Duration aSince)
{
  return aSince >= aLimit - kClockStep - aLimit / kPartsPerDrift;
}

} // namespace pumiceturn::fleet
