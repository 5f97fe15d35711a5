#include "LibMetadata/FollowerSelector.h"
#include "LibMetadata/ViewTracker.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

/// A fleet of hosts on virtual time, of which some follow one prefix. The store
/// changes now and then; reports get lost as often as the test says.
class FollowedPrefixFixture
{
protected:
  static constexpr base::Duration kStep = 100ms;
  static constexpr base::Duration kTrust = 1s;
  static constexpr std::size_t kHosts = 400;
  /// Steps from one change in the store to the next.
  static constexpr int kChangeEvery = 20;

  struct Host
  {
    std::string name_;
    bool isUp_ = true;
    FollowerSelector choice_;
    ViewTracker tracker_;
  };

  FollowedPrefixFixture()
  {
    for (std::size_t index = 0; index < kHosts; ++index) {
      const std::string name = "host" + std::to_string(index);
      hosts_.push_back({ name, true, FollowerSelector(name), {} });
      hosts_.back().tracker_.RecordRead(revision_, boot_, boot_);
    }
    Play(1s);
    calls_ = 0;
  }

  void Play(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += kStep) {
      Step();
    }
  }

  void Step()
  {
    now_ += kStep;
    boot_ += kStep;
    if (++steps_ % kChangeEvery == 0) {
      ++revision_;
    }
    for (Host& host : hosts_) {
      if (!host.isUp_) {
        continue;
      }
      const bool follows = host.choice_.IsFollower("p/", { true, false }, now_);
      if (follows || !host.tracker_.IsConfirmed(kTrust, boot_)) {
        Ask(host);
      }
      Report(host, follows);
    }
  }

  void Ask(Host& aHost)
  {
    ++calls_;
    aHost.tracker_.RecordChange(revision_);
    aHost.tracker_.NoteAnswer(revision_, boot_, boot_);
  }

  void Report(const Host& aSender, bool aFollows)
  {
    for (Host& receiver : hosts_) {
      if (&receiver == &aSender || !receiver.isUp_ || IsLost()) {
        continue;
      }
      receiver.choice_.RecordPeer(aSender.name_, { true, false }, now_);
      if (!aFollows) {
        continue;
      }
      const MirrorView view = aSender.tracker_.View(boot_);
      // What changed is told once, and later reports only how far the sender
      // has got.
      const bool isTold = view.lastChange_ == receiver.tracker_.Followed() + 1;
      if (isTold && !IsLost()) {
        receiver.tracker_.RecordDelta(view, boot_);
      } else if (receiver.tracker_.ApplyView(view, boot_) ==
                 ReportOutcome::Gap) {
        Ask(receiver);
      }
    }
  }

  bool IsLost()
  {
    return lossShare_ > 0.0 && std::bernoulli_distribution(lossShare_)(random_);
  }

  [[nodiscard]] std::size_t HostsBehind() const
  {
    std::size_t behind = 0;
    for (const Host& host : hosts_) {
      behind += host.isUp_ && host.tracker_.Followed() < revision_ ? 1 : 0;
    }
    return behind;
  }

  Host* Follower()
  {
    for (Host& host : hosts_) {
      if (host.isUp_ && host.choice_.IsFollower("p/", { true, false }, now_)) {
        return &host;
      }
    }
    return nullptr;
  }

  base::Instant now_{ std::chrono::hours(1) };
  base::BootInstant boot_{ std::chrono::hours(2) };
  std::mt19937_64 random_{ 1 };
  double lossShare_ = 0.0;
  std::uint64_t revision_ = 10;
  std::size_t calls_ = 0;
  int steps_ = 0;
  std::vector<Host> hosts_;
};

// Load: 400 hosts at rest. Each followed the store for itself, and calls grew
// with the number of hosts.
TEST_CASE_METHOD(FollowedPrefixFixture,
                 "FollowedPrefix_400HostsAtRest_OneHostCalls")
{
  Play(20s);
  // One look of the follower each step.
  CHECK(calls_ <= 200);
  CHECK(HostsBehind() == 0);
}

// Load: one datagram in ten is lost. Each host that lacks a change asks once.
TEST_CASE_METHOD(FollowedPrefixFixture,
                 "FollowedPrefix_DatagramsGetLost_OnlyThoseThatLackAChangeAsk")
{
  lossShare_ = 0.1;
  Play(20s);
  const std::size_t changes = 10;
  CHECK(calls_ <= 200 + changes * kHosts / 4);
  Play(kStep * 3);
  CHECK(HostsBehind() == 0);
}

// Load: the follower is lost. The whole fleet asked the store at once, or
// nobody did and a change stayed unknown.
TEST_CASE_METHOD(FollowedPrefixFixture,
                 "FollowedPrefix_FollowerLost_FleetNeitherStormsNorWaits")
{
  Host* follower = Follower();
  REQUIRE(follower != nullptr);
  follower->isUp_ = false;
  Play(2s);
  CHECK(HostsBehind() == 0);
  CHECK(calls_ <= 40);
  CHECK(Follower() != nullptr);
}

} // namespace pumiceturn::metadata
