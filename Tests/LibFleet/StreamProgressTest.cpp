#include "LibFleet/StreamProgress.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class StreamProgressFixture
{
protected:
  bool Read(bool aHasAdvanced, base::Duration aLater)
  {
    now_ += aLater;
    return progress_.RecordRead(aHasAdvanced, now_);
  }

  StreamProgress progress_{ 3s };
  base::Instant now_{ base::Duration{ 1h } };
};

// Guards against an endpoint whose bytes come one by one and never make an
// event.
TEST_CASE_METHOD(StreamProgressFixture,
                 "StreamProgress_BytesWithoutEvent_AreTooLongInTime")
{
  CHECK_FALSE(Read(true, 0s));
  base::Duration passed{ 0 };
  bool isTooLong = false;
  while (!isTooLong && passed < 10s) {
    isTooLong = Read(false, 100ms);
    passed += 100ms;
  }
  CHECK(isTooLong);
  CHECK(passed <= 4s);
}

// Guards against ending a stream of a sound endpoint that was silent inside an
// event or between two.
TEST_CASE_METHOD(StreamProgressFixture,
                 "StreamProgress_SilenceThenGoesOn_IsNotTooLong")
{
  CHECK_FALSE(Read(true, 0s));
  CHECK_FALSE(Read(false, 30s));
  CHECK_FALSE(Read(false, 30s));
  CHECK_FALSE(Read(true, 1ms));
}

TEST_CASE_METHOD(StreamProgressFixture,
                 "StreamProgress_EventsComeInParts_IsNotTooLong")
{
  for (int event = 0; event < 1000; ++event) {
    CHECK_FALSE(Read(false, 200ms));
    CHECK_FALSE(Read(false, 200ms));
    CHECK_FALSE(Read(true, 200ms));
  }
}

TEST_CASE_METHOD(StreamProgressFixture,
                 "StreamProgress_ManyReadsAtOnce_AreNotTooLong")
{
  for (std::uint32_t read = 0; read < 10 * StreamProgress::kMinReads; ++read) {
    CHECK_FALSE(Read(false, 1ms));
  }
}

} // namespace pumiceturn::fleet
