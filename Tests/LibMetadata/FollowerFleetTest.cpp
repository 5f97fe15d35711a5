#include "LibMetadata/FollowerSelector.h"
#include "LibMetadata/ViewTracker.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

/// A fleet of hosts on virtual time, some of which follow one prefix. The store
/// changes periodically; reports are lost at the rate lossShare_.
class FollowerFleetFixture
{
protected:
  static constexpr base::Duration kStep = 100ms;
  static constexpr base::Duration kFreshnessLifetime = 1s;
  static constexpr std::size_t kHosts = 400;
  /// Number of steps between changes in the store.
  static constexpr int kStepsPerChange = 20;

  struct Host
  {
    std::string name_;
    bool isUp_ = true;
    FollowerSelector selector_;
    ViewTracker tracker_;
  };

  FollowerFleetFixture()
  {
    for (std::size_t index = 0; index < kHosts; ++index) {
      const std::string name = "host" + std::to_string(index);
      hosts_.push_back({ name, true, FollowerSelector(name), {} });
      hosts_.back().tracker_.RecordRead(revision_, bootNow_, bootNow_);
    }
    Advance(1s);
    calls_ = 0;
  }

  void Advance(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += kStep) {
      Step();
    }
  }

  void Step()
  {
    now_ += kStep;
    bootNow_ += kStep;
    if (++steps_ % kStepsPerChange == 0) {
      ++revision_;
    }
    for (Host& host : hosts_) {
      if (!host.isUp_) {
        continue;
      }
      const bool follows =
        host.selector_.IsFollower("p/", { true, false }, now_);
      if (follows || !host.tracker_.IsConfirmed(kFreshnessLifetime, bootNow_)) {
        CallStore(host);
      }
      Report(host, follows);
    }
  }

  void CallStore(Host& aHost)
  {
    ++calls_;
    aHost.tracker_.RecordChange(revision_);
    aHost.tracker_.RecordResponse(revision_, bootNow_, bootNow_);
  }

  void Report(const Host& aSender, bool aFollows)
  {
    for (Host& receiver : hosts_) {
      if (&receiver == &aSender || !receiver.isUp_ || DrawLoss()) {
        continue;
      }
      receiver.selector_.RecordPeer(aSender.name_, { true, false }, now_);
      if (!aFollows) {
        continue;
      }
      const MirrorView view = aSender.tracker_.View(bootNow_);
      // Each change is sent once; later reports only state the sender's
      // revision.
      const bool isNextChange =
        view.lastChangeRevision_ == receiver.tracker_.FollowedRevision() + 1;
      if (isNextChange && !DrawLoss()) {
        receiver.tracker_.RecordDelta(view, bootNow_);
      } else if (receiver.tracker_.ApplyView(view, bootNow_) ==
                 ReportOutcome::Gap) {
        CallStore(receiver);
      }
    }
  }

  bool DrawLoss()
  {
    return lossShare_ > 0.0 && std::bernoulli_distribution(lossShare_)(random_);
  }

  [[nodiscard]] std::size_t HostsBehind() const
  {
    std::size_t behind = 0;
    for (const Host& host : hosts_) {
      behind +=
        host.isUp_ && host.tracker_.FollowedRevision() < revision_ ? 1 : 0;
    }
    return behind;
  }

  Host* Follower()
  {
    for (Host& host : hosts_) {
      if (host.isUp_ &&
          host.selector_.IsFollower("p/", { true, false }, now_)) {
        return &host;
      }
    }
    return nullptr;
  }

  base::Instant now_{ std::chrono::hours(1) };
  base::BootInstant bootNow_{ std::chrono::hours(2) };
  std::mt19937_64 random_{ 1 };
  double lossShare_ = 0.0;
  std::uint64_t revision_ = 10;
  std::size_t calls_ = 0;
  int steps_ = 0;
  std::vector<Host> hosts_;
};

// Guards against calls to the store that grow with the number of idle hosts.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerFleet_400HostsIdle_OneHostCalls")
{
  Advance(20s);
  // One call of the follower in each step.
  CHECK(calls_ <= 200);
  CHECK(HostsBehind() == 0);
}

// Guards against repeated calls of hosts that lack a change after datagrams
// were lost.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerFleet_DatagramsLost_OnlyOutdatedHostsCall")
{
  lossShare_ = 0.1;
  Advance(20s);
  // One call of the follower in each step, and for each change one call of each
  // host that lost it: at most a quarter of the hosts.
  const std::size_t changes = 10;
  CHECK(calls_ <= 200 + changes * kHosts / 4);
  Advance(kStep * 3);
  CHECK(HostsBehind() == 0);
}

// Guards against a fleet that queries the store all at once, or not at all,
// after its follower is lost.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerFleet_FollowerLost_FewCallsAndNobodyBehind")
{
  Host* follower = Follower();
  REQUIRE(follower != nullptr);
  follower->isUp_ = false;
  Advance(2s);
  CHECK(HostsBehind() == 0);
  // Twice the calls of one follower in each of the 20 steps.
  CHECK(calls_ <= 40);
  CHECK(Follower() != nullptr);
}

} // namespace pumiceturn::metadata
