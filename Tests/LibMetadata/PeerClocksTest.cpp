#include "LibMetadata/PeerClocks.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

/// A peer whose clock shows another time and whose messages take 1 ms.
class PeerClocksFixture
{
protected:
  static constexpr base::Duration kWay = 1ms;

  void Hear(int aMessages, base::Duration aWaited = 0ms)
  {
    for (int message = 0; message < aMessages; ++message) {
      clocks_.RecordMessage(
        "peer", incarnation_, PeerTime(now_ - kWay - aWaited), now_);
      now_ += 100ms;
    }
  }

  /// @return a moment of this host on the peer's clock.
  [[nodiscard]] base::BootInstant PeerTime(base::BootInstant aMoment) const
  {
    return aMoment - ahead_;
  }

  [[nodiscard]] std::optional<base::Duration> ErrorAt(
    base::BootInstant aMoment) const
  {
    const auto local = clocks_.ToLocal("peer", PeerTime(aMoment));
    return local ? std::optional(*local - aMoment) : std::nullopt;
  }

  base::Duration ahead_ = 10min;
  std::uint64_t incarnation_ = 1;
  base::BootInstant now_{ 24h };
  PeerClocks clocks_;
};

TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_MessagesInTime_ErrsByTheWay")
{
  Hear(5);
  CHECK(ErrorAt(now_ - 1s) == kWay);
}

// A host that was frozen reads what waited in its socket, and takes its copy of
// the declarations for fresh.
TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_MessagesWaited_ErrsNoMore")
{
  Hear(5);
  now_ += 8s;
  Hear(20, 8s);
  CHECK(ErrorAt(now_ - 9s) == kWay);
}

// A host that starts reads only messages that have waited.
TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_FewMessages_TellNothing")
{
  Hear(4, 5s);
  CHECK_FALSE(ErrorAt(now_));
}

TEST_CASE_METHOD(PeerClocksFixture,
                 "PeerClocks_PeerStartsOnOtherMachine_Adapts")
{
  Hear(10);
  ahead_ = -3h;
  incarnation_ = 2;
  Hear(1);
  CHECK_FALSE(ErrorAt(now_));
  Hear(4);
  CHECK(ErrorAt(now_ - 1s) == kWay);
}

TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_ClocksDrift_Follows")
{
  Hear(200);
  ahead_ += 20ms;
  Hear(250);
  CHECK(ErrorAt(now_ - 1s) == kWay);
}

} // namespace pumiceturn::metadata
