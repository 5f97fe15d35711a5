#include "LibFleet/WindowCounter.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

TEST_CASE("WindowCounter_SliceLeavesWindow_IsNotCounted")
{
  WindowCounter counter;
  counter.AdvanceTo(100);
  counter.Add(3);
  counter.AdvanceTo(119);
  counter.Add(4);
  counter.AdvanceTo(120);
  CHECK(counter.Sum() == 7);
  CHECK(counter.At(100) == 3);
  counter.AdvanceTo(121);
  CHECK(counter.Sum() == 4);
  CHECK(counter.At(100) == 0);
}

TEST_CASE("WindowCounter_LongUnused_IsEmpty")
{
  WindowCounter counter;
  counter.AdvanceTo(100);
  counter.Add(3);
  counter.AdvanceTo(1000000);
  CHECK(counter.Sum() == 0);
}

// Guards against requests that are counted in a slice that took the place of
// one that left the window.
TEST_CASE("WindowCounter_AddOutsideWindow_IsIgnored")
{
  WindowCounter counter;
  counter.AdvanceTo(100);
  counter.AddAt(79, 5);
  counter.AddAt(101, 5);
  CHECK(counter.Sum() == 0);
  counter.AddAt(80, 5);
  CHECK(counter.Sum() == 5);
}

TEST_CASE("WindowCounter_EarlierSlice_CurrentOneStays")
{
  WindowCounter counter;
  counter.AdvanceTo(100);
  counter.AdvanceTo(90);
  CHECK(counter.CurrentSlice() == 100);
}

} // namespace pumiceturn::fleet
