#include "LibFleet/CountPublisher.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class CountPublisherFixture
{
protected:
  static base::Instant At(int aMilliseconds)
  {
    return base::Instant{ std::chrono::hours{ 1 } } +
           milliseconds(aMilliseconds);
  }

  static PeerCount Online(const std::string& aEndpoint, std::uint32_t aRuns)
  {
    return { aEndpoint, { aRuns, 0 }, false };
  }

  std::optional<CountUpdate> Next(std::vector<PeerCount> aCounts, int aNow)
  {
    return publisher_.Next(aCounts, At(aNow));
  }

  CountPublisher publisher_;
};

// A burst comes: two hosts send a request each to the last free place of an
// engine, as they hear of each other's runs only ten times a second, and one
// of the two callers waits for half a second.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_RunStarts_IsToldAtTheNextLook")
{
  const auto first = Next({ Online("a", 1), Online("b", 2) }, 0);
  REQUIRE(first);
  CHECK(first->isWhole_);
  CHECK_FALSE(Next({ Online("a", 1), Online("b", 2) }, 10));
  const auto change = Next({ Online("a", 1), Online("b", 3) }, 20);
  REQUIRE(change);
  CHECK_FALSE(change->isWhole_);
  CHECK(change->counts_ == std::vector{ Online("b", 3) });
}

// The last run at an endpoint ends, and peers go on avoiding it.
TEST_CASE_METHOD(CountPublisherFixture, "CountPublisher_LastRunEnds_ZeroIsTold")
{
  CHECK(Next({ Online("a", 1) }, 0));
  const auto change = Next({}, 10);
  REQUIRE(change);
  CHECK(change->counts_ == std::vector{ Online("a", 0) });
  CHECK_FALSE(Next({}, 20));
}

// A datagram with a change is lost: peers would believe the old count for good.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_NothingChanges_AllAreToldAgain")
{
  CHECK(Next({ Online("a", 1) }, 0));
  const auto again = Next({ Online("a", 1) }, 100);
  REQUIRE(again);
  CHECK(again->isWhole_);
  CHECK(again->counts_ == std::vector{ Online("a", 1) });
}

// A fleet grows, and each host spends its processor on hearing the others.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_ManyPeers_AreToldLessOften")
{
  CHECK(CountPublisher::Interval(1) == milliseconds(10));
  CHECK(CountPublisher::Interval(8) == milliseconds(20));
  CHECK(CountPublisher::Interval(40) == milliseconds(100));
  CHECK(CountPublisher::Interval(400) == milliseconds(100));
}

} // namespace pumiceturn::fleet
