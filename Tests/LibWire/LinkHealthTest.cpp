#include "LibWire/LinkHealth.h"

#include <catch2/catch.hpp>

namespace pumiceturn::wire {

namespace {

using namespace std::chrono_literals;

class LinkHealthFixture
{
protected:
  /// Looks at the link every quarter of a second, as the link thread does.
  LinkNeed RunUntil(base::Duration aTime)
  {
    LinkNeed need = LinkNeed::Nothing;
    while (now_ < base::Instant{} + aTime) {
      now_ += 250ms;
      need = health_.Check(now_);
      if (need == LinkNeed::Replacement) {
        return need;
      }
      heartbeats_ += need == LinkNeed::Heartbeat ? 1U : 0U;
    }
    return need;
  }

  base::Instant now_{};
  unsigned int heartbeats_ = 0;
  LinkHealth health_{ { 1s, 2 }, now_, 0.25 };
};

} // namespace

TEST_CASE_METHOD(LinkHealthFixture, "LinkHealth_PeerHeard_BeatsOnceAnInterval")
{
  for (int second = 1; second <= 60; ++second) {
    health_.OnHeard(now_);
    REQUIRE(RunUntil(second * 1s) != LinkNeed::Replacement);
  }
  CHECK(heartbeats_ == 60);
}

TEST_CASE_METHOD(LinkHealthFixture,
                 "LinkHealth_TwoHeartbeatsMissed_NeedsReplacement")
{
  REQUIRE(RunUntil(2s) != LinkNeed::Replacement);
  CHECK(RunUntil(60s) == LinkNeed::Replacement);
  CHECK(now_ == base::Instant{} + 2500ms);
}

// A user's answer stops in mid-sentence although the connection is open. The
// path towards the peer has been lost: its heartbeats still come, ours are not
// acknowledged. Only the missing acknowledgements show it at this end.
TEST_CASE_METHOD(LinkHealthFixture,
                 "LinkHealth_HeardButNotAcknowledged_NeedsReplacement")
{
  health_.OnSent(now_);
  health_.OnSent(now_ + 1s);
  health_.OnAcknowledged(now_ + 1s);
  LinkNeed need = LinkNeed::Nothing;
  while (need != LinkNeed::Replacement && now_ < base::Instant{} + 60s) {
    health_.OnHeard(now_);
    now_ += 250ms;
    need = health_.Check(now_);
  }
  CHECK(need == LinkNeed::Replacement);
  CHECK(now_ == base::Instant{} + 3500ms);
}

// All links of a host are replaced at the same moment and every running answer
// is attached again, though no link was at fault. The process was paused (a
// stopped virtual machine); on waking it saw ten silent seconds of its own
// making, while the peers' heartbeats lay unread in its sockets.
TEST_CASE_METHOD(LinkHealthFixture, "LinkHealth_OwnPause_IsNoSilence")
{
  health_.OnSent(now_);
  REQUIRE(RunUntil(1s) != LinkNeed::Replacement);
  now_ += 10s;
  CHECK(health_.Check(now_) == LinkNeed::Heartbeat);
  CHECK(RunUntil(12s) != LinkNeed::Replacement);
  CHECK(RunUntil(60s) == LinkNeed::Replacement);
  CHECK(now_ == base::Instant{} + 12500ms);
}

TEST_CASE("ReconnectSchedule_PeerUnreachable_StartsAtOnceThenBacksOff")
{
  constexpr base::Instant kNow{};
  ReconnectSchedule schedule{ { 50ms, 2s, 1s } };
  CHECK(schedule.Next(kNow, 1.0) == 0ms);
  CHECK(schedule.Next(kNow, 1.0) == 50ms);
  CHECK(schedule.Next(kNow, 0.0) == 50ms);
  CHECK(schedule.Next(kNow, 1.0) == 200ms);
  for (int attempt = 0; attempt < 100; ++attempt) {
    schedule.Next(kNow, 0.5);
  }
  CHECK(schedule.Next(kNow, 1.0) == 2s);
  CHECK(schedule.Next(kNow, 0.0) == 1s);
}

// Two hosts were given one name. Each one's connection displaces the other's,
// each dials again at once, and both spend a core on it. Only a link that
// stayed up for a while may be dialed again without a pause.
TEST_CASE("ReconnectSchedule_LinkUpForAMoment_DoesNotStartAtOnce")
{
  base::Instant now{};
  ReconnectSchedule schedule{ { 50ms, 2s, 1s } };
  CHECK(schedule.Next(now, 1.0) == 0ms);
  schedule.OnUp(now);
  now += 1ms;
  CHECK(schedule.Next(now, 1.0) == 50ms);
  schedule.OnUp(now);
  now += 1ms;
  CHECK(schedule.Next(now, 1.0) == 100ms);
  schedule.OnUp(now);
  now += 1s;
  CHECK(schedule.Next(now, 1.0) == 0ms);
}

} // namespace pumiceturn::wire
