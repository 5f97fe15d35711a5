#include "LibMetadata/PeerClocks.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

/// A peer whose clock differs and whose messages take 1 ms.
class PeerClocksFixture
{
protected:
  static constexpr base::Duration kLatency = 1ms;

  void ReceiveMessages(int aMessages, base::Duration aDelay = 0ms)
  {
    for (int message = 0; message < aMessages; ++message) {
      clocks_.RecordMessage(
        "peer", incarnation_, PeerTime(now_ - kLatency - aDelay), now_);
      now_ += 100ms;
    }
  }

  /// @return a time of this host on the peer's clock.
  [[nodiscard]] base::BootInstant PeerTime(base::BootInstant aMoment) const
  {
    return aMoment - peerBehindBy_;
  }

  [[nodiscard]] std::optional<base::Duration> ErrorAt(
    base::BootInstant aMoment) const
  {
    const auto local = clocks_.ToLocal("peer", PeerTime(aMoment));
    return local ? std::optional(*local - aMoment) : std::nullopt;
  }

  base::Duration peerBehindBy_ = 10min;
  std::uint64_t incarnation_ = 1;
  base::BootInstant now_{ 24h };
  PeerClocks clocks_;
};

TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_MessagesPrompt_ErrorIsLatency")
{
  ReceiveMessages(5);
  CHECK(ErrorAt(now_ - 1s) == kLatency);
}

// Guards against taking delayed messages for recent ones after a host was
// suspended.
TEST_CASE_METHOD(PeerClocksFixture,
                 "PeerClocks_MessagesDelayed_ErrorStaysLatency")
{
  ReceiveMessages(5);
  now_ += 8s;
  ReceiveMessages(20, 8s);
  CHECK(ErrorAt(now_ - 9s) == kLatency);
}

// Guards against using a clock difference taken only from delayed messages
// after a start.
TEST_CASE_METHOD(PeerClocksFixture, "PeerClocks_FewMessages_NoResult")
{
  ReceiveMessages(4, 5s);
  CHECK_FALSE(ErrorAt(now_));
}

TEST_CASE_METHOD(PeerClocksFixture,
                 "PeerClocks_PeerStartsOnOtherMachine_Adapts")
{
  ReceiveMessages(10);
  peerBehindBy_ = -3h;
  incarnation_ = 2;
  ReceiveMessages(1);
  CHECK_FALSE(ErrorAt(now_));
  ReceiveMessages(4);
  CHECK(ErrorAt(now_ - 1s) == kLatency);
}

TEST_CASE_METHOD(PeerClocksFixture,
                 "PeerClocks_ClocksDrift_DifferenceIsUpdated")
{
  ReceiveMessages(200);
  peerBehindBy_ += 20ms;
  ReceiveMessages(250);
  CHECK(ErrorAt(now_ - 1s) == kLatency);
}

} // namespace pumiceturn::metadata
