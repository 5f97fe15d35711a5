#include "LibFleet/EventNumbering.h"

#include <catch2/catch.hpp>

#include <initializer_list>

namespace pumiceturn::fleet {

class EventNumberingFixture
{
protected:
  EventNumbering::Counts CountsOf(std::uint64_t aLastEvent,
                                  std::initializer_list<std::uint64_t> aNumbers)
  {
    numbering_.Begin(aLastEvent);
    for (const std::uint64_t number : aNumbers) {
      place_ = numbering_.Record({ number, {}, true });
    }
    return numbering_.GetCounts();
  }

  EventNumbering numbering_;
  EventPlace place_ = EventPlace::Next; ///< Of the last event.
};

TEST_CASE_METHOD(EventNumberingFixture,
                 "EventNumbering_CountsUpByOne_IsRegular")
{
  const auto counts = CountsOf(7, { 8, 9, 10 });
  CHECK(counts.IsRegular());
  CHECK(counts.first_ == 8);
  CHECK(counts.last_ == 10);
  CHECK(counts.events_ == 3);
  CHECK(place_ == EventPlace::Next);
  CHECK(CountsOf(0, { 1 }).IsRegular());
  CHECK(CountsOf(3, {}).IsRegular());
}

// Guards against a gap that no log shows.
TEST_CASE_METHOD(EventNumberingFixture,
                 "EventNumbering_NumbersAreLeftOut_AreCounted")
{
  CHECK(CountsOf(0, { 1, 2, 5 }).skipped_ == 2);
  CHECK(CountsOf(7, { 9 }).skipped_ == 1);
  CHECK(place_ == EventPlace::Elsewhere);
  CHECK(CountsOf(0, { 3 }).skipped_ == 2);
}

TEST_CASE_METHOD(EventNumberingFixture,
                 "EventNumbering_NumberGoesBack_IsCounted")
{
  const auto counts = CountsOf(0, { 1, 2, 2, 1, 3 });
  CHECK(counts.repeated_ == 2);
  CHECK(counts.skipped_ == 0);
  CHECK(CountsOf(7, { 1, 2 }).repeated_ == 2);
  CHECK(place_ == EventPlace::Elsewhere);
}

TEST_CASE_METHOD(EventNumberingFixture,
                 "EventNumbering_NumberIsMissing_IsCounted")
{
  const auto counts = CountsOf(0, { 1, 0, 2 });
  CHECK(counts.unnumbered_ == 1);
  CHECK(counts.skipped_ == 0);
  CHECK(CountsOf(0, { 1, 0 }).unnumbered_ == 1);
  CHECK(place_ == EventPlace::Unnumbered);
}

TEST_CASE_METHOD(EventNumberingFixture, "EventNumbering_Comment_IsNoEvent")
{
  CHECK(CountsOf(0, { 1 }).IsRegular());
  CHECK(numbering_.Record({}) == EventPlace::NoEvent);
  CHECK(numbering_.GetCounts().events_ == 1);
  CHECK(numbering_.GetCounts().IsRegular());
}

} // namespace pumiceturn::fleet
