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

  static EndpointCounts Online(const std::string& aEndpoint,
                               std::uint32_t aAttempts)
  {
    return { aEndpoint, { aAttempts, 0 }, false };
  }

  std::optional<CountUpdate> Next(std::vector<EndpointCounts> aCounts, int aNow)
  {
    return publisher_.Next(aCounts, At(aNow));
  }

  CountPublisher publisher_;
};

// Guards against late updates, which let two hosts choose the same free slot.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_AttemptStarts_IsSentWithNextUpdate")
{
  const auto first = Next({ Online("a", 1), Online("b", 2) }, 0);
  REQUIRE(first);
  CHECK(first->isFull_);
  CHECK_FALSE(Next({ Online("a", 1), Online("b", 2) }, 10));
  const auto change = Next({ Online("a", 1), Online("b", 3) }, 20);
  REQUIRE(change);
  CHECK_FALSE(change->isFull_);
  CHECK(change->counts_ == std::vector{ Online("b", 3) });
}

// Guards against peers that keep counting an attempt at an endpoint after it
// ended.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_LastAttemptEnds_SendsZero")
{
  CHECK(Next({ Online("a", 1) }, 0));
  const auto change = Next({}, 10);
  REQUIRE(change);
  CHECK(change->counts_ == std::vector{ Online("a", 0) });
  CHECK_FALSE(Next({}, 20));
}

// Guards against peers that keep an outdated count after a lost datagram.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_NothingChanges_AllAreSentAgain")
{
  CHECK(Next({ Online("a", 1) }, 0));
  const auto again = Next({ Online("a", 1) }, 100);
  REQUIRE(again);
  CHECK(again->isFull_);
  CHECK(again->counts_ == std::vector{ Online("a", 1) });
}

// Guards against an update rate that overloads the hosts of a large fleet.
TEST_CASE_METHOD(CountPublisherFixture,
                 "CountPublisher_ManyPeers_IntervalGrows")
{
  CHECK(CountPublisher::Interval(1) == milliseconds(10));
  CHECK(CountPublisher::Interval(8) == milliseconds(20));
  CHECK(CountPublisher::Interval(40) == milliseconds(100));
  CHECK(CountPublisher::Interval(400) == milliseconds(100));
}

} // namespace pumiceturn::fleet
