#include "LibFleet/AdmissionControl.h"
#include "LibFleet/CountPublisher.h"
#include "LibFleet/EndpointTable.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// 22 hosts that send streams to 48 endpoints of 8 slots each and of three
/// speeds, and tell each other their counts as CountPublisher does. Bursts
/// of 1.87 times the mean for 2.4 s of every 6 s. A rejected caller retries
/// once.
class UnequalEndpointsFixture
{
protected:
  static constexpr std::size_t kHosts = 22;
  static constexpr std::size_t kEndpoints = 48;
  static constexpr std::size_t kSlots = 8;
  static constexpr double kRequestsPerSecond = 220;
  static constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
  static constexpr int kEvents = 22;
  /// At speed 1 and one attempt. With kSlowdown a burst takes about 0.8 of the
  /// slots.
  static constexpr base::Duration kEventInterval = 30ms;
  /// Each further attempt that runs at an endpoint adds this share.
  static constexpr double kSlowdown = 0.05;
  static constexpr base::Duration kObjective = 300ms;
  static constexpr base::Duration kCallerTimeout = 5s;

  struct Stream
  {
    std::size_t host_;
    std::size_t endpoint_;
    int eventsSent_;
    base::Instant arrivedAt_;
    base::Instant firstEventAt_;
    base::Instant lastEventAt_;
  };

  struct EndpointState
  {
    std::size_t running_ = 0;
    std::deque<Stream> queue_;
  };

  UnequalEndpointsFixture()
    : endpoints_(kEndpoints)
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      EndpointTable& table = hosts_.emplace_back("a", EndpointTable::Limits{});
      for (std::size_t index = 0; index < kEndpoints; ++index) {
        table.Put({ NameOf(index), "service", "127.0.0.1:1", "a", kSlots },
                  now_);
      }
    }
  }

  static std::string NameOf(std::size_t aEndpoint)
  {
    return "e" + std::to_string(aEndpoint);
  }

  static double SpeedOf(std::size_t aEndpoint)
  {
    return kSpeeds[aEndpoint % kSpeeds.size()];
  }

  /// @return the rate now, relative to the mean.
  [[nodiscard]] double BurstFactor() const
  {
    return now_.time_since_epoch() % base::Duration(6s) < 2400ms ? 1.87 : 0.383;
  }

  void Advance(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += 1ms) {
      now_ += 1ms;
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Stream stream = events_.begin()->second;
        events_.erase(events_.begin());
        OnEvent(stream);
      }
      while (!retries_.empty() && retries_.begin()->first <= now_) {
        const base::Duration callerTimeout = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Arrive(callerTimeout);
      }
      std::poisson_distribution<int> arrivals(kRequestsPerSecond / 1000 *
                                              BurstFactor());
      for (int count = arrivals(random_); count > 0; --count) {
        Arrive(kCallerTimeout);
      }
      ++steps_;
      Exchange();
    }
  }

  /// @param aCallerTimeout Time that the caller states.
  void Arrive(base::Duration aCallerTimeout)
  {
    const std::size_t host =
      std::uniform_int_distribution<std::size_t>(0, kHosts - 1)(random_);
    const auto choice =
      hosts_[host].Choose({ "service", WorkClass::Online, {} }, now_, random_);
    REQUIRE(choice);
    const std::size_t index = std::stoul(choice->endpoint_.id_.substr(1));
    const AdmissionDecision decision =
      admissions_[host].Check({ "service",
                                "route",
                                choice->inFlight_,
                                kSlots,
                                kObjective,
                                aCallerTimeout,
                                0,
                                choice->speed_ },
                              std::uniform_real_distribution<>()(random_));
    if (decision.retryAfter_) {
      ++rejected_;
      // A retry heeds a third of the time left.
      if (aCallerTimeout == kCallerTimeout) {
        retries_.emplace(now_ + *decision.retryAfter_,
                         (kCallerTimeout - *decision.retryAfter_) / 3);
      }
      return;
    }
    hosts_[host].CountStart({ NameOf(index) }, WorkClass::Online);
    ++sent_[index];
    endpoints_[index].queue_.push_back({ host, index, 0, now_, now_, now_ });
    StartQueued(index);
  }

  void StartQueued(std::size_t aEndpoint)
  {
    EndpointState& state = endpoints_[aEndpoint];
    while (state.running_ < kSlots && !state.queue_.empty()) {
      Stream stream = state.queue_.front();
      state.queue_.pop_front();
      ++state.running_;
      ++all_;
      late_ += now_ - stream.arrivedAt_ > kObjective ? 1 : 0;
      if (reportsSlowness_) {
        hosts_[stream.host_].RecordLoad(
          { NameOf(aEndpoint) },
          { static_cast<std::uint32_t>(state.running_),
            static_cast<std::uint32_t>(state.queue_.size()),
            100 },
          now_);
      }
      Schedule(stream);
    }
  }

  void Schedule(const Stream& aStream)
  {
    const double running =
      static_cast<double>(endpoints_[aStream.endpoint_].running_);
    // Intervals between events vary by up to a fifth.
    const double noise =
      std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    const auto interval = std::chrono::duration_cast<base::Duration>(
      kEventInterval *
      ((1.0 + kSlowdown * (running - 1)) * noise / SpeedOf(aStream.endpoint_)));
    events_.emplace(now_ + interval, aStream);
  }

  void OnEvent(Stream aStream)
  {
    EndpointTable& table = hosts_[aStream.host_];
    const EndpointIncarnation incarnation{ NameOf(aStream.endpoint_) };
    if (++aStream.eventsSent_ == 1) {
      aStream.firstEventAt_ = now_;
    } else {
      table.RecordEventInterval(incarnation, now_ - aStream.lastEventAt_, now_);
    }
    aStream.lastEventAt_ = now_;
    if (aStream.eventsSent_ < kEvents) {
      Schedule(aStream);
      return;
    }
    table.CountEnd(incarnation, WorkClass::Online);
    admissions_[aStream.host_].RecordSlotTime("service",
                                              now_ - aStream.firstEventAt_);
    --endpoints_[aStream.endpoint_].running_;
    StartQueued(aStream.endpoint_);
  }

  /// Sends the counts of the hosts whose turn it is. Hosts aren't in step.
  void Exchange()
  {
    const auto interval =
      static_cast<std::uint64_t>(CountPublisher::Interval(kHosts - 1) / 1ms);
    for (std::size_t from = 0; from < kHosts; ++from) {
      if ((steps_ + from * interval / kHosts) % interval != 0) {
        continue;
      }
      const auto counts = hosts_[from].OwnCounts(now_);
      const std::string name = "host" + std::to_string(from);
      for (std::size_t to = 0; to < kHosts; ++to) {
        if (to != from) {
          hosts_[to].SetPeerCounts(name, counts, now_);
        }
      }
    }
  }

  /// Runs until the speeds are known, then counts for some bursts.
  void Measure()
  {
    Advance(18s);
    sent_.clear();
    rejected_ = 0;
    late_ = 0;
    all_ = 0;
    Advance(60s);
  }

  /// @return the share of the requests that waited longer than the objective.
  static double ShareOfLate(bool aReportsSlowness)
  {
    UnequalEndpointsFixture fleet;
    fleet.reportsSlowness_ = aReportsSlowness;
    fleet.Measure();
    return static_cast<double>(fleet.late_) / fleet.all_;
  }

  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 11 };
  std::vector<EndpointTable> hosts_;
  std::vector<AdmissionControl> admissions_{ kHosts };
  std::vector<EndpointState> endpoints_;
  std::multimap<base::Instant, Stream> events_; ///< By when they are due.
  std::multimap<base::Instant, base::Duration> retries_; ///< By due time.
  std::map<std::size_t, int> sent_;
  bool reportsSlowness_ = true;
  int rejected_ = 0;
  int late_ = 0;
  int all_ = 0;
  std::uint64_t steps_ = 0;
};

// Load: bursts at endpoints of three speeds. Guards against slow endpoints that
// get as many requests as fast ones.
TEST_CASE_METHOD(UnequalEndpointsFixture,
                 "UnequalEndpoints_Bursts_AttemptsFollowSpeed")
{
  Measure();
  std::array<int, 3> bySpeed{};
  int all = 0;
  for (const auto& [index, count] : sent_) {
    bySpeed[index % kSpeeds.size()] += count;
    all += count;
  }
  const double sumOfSpeeds = kSpeeds[0] + kSpeeds[1] + kSpeeds[2];
  for (std::size_t speed = 0; speed < kSpeeds.size(); ++speed) {
    INFO(kSpeeds[speed]);
    CHECK(bySpeed[speed] ==
          Approx(all * kSpeeds[speed] / sumOfSpeeds).epsilon(0.1));
  }
}

// Load: as above, compared with endpoints that report no slowness. Guards
// against queues at slow endpoints while fast ones have free slots.
TEST_CASE_METHOD(UnequalEndpointsFixture,
                 "UnequalEndpoints_Bursts_LateAreAQuarterOfThoseWithoutPace")
{
  const double withPace = ShareOfLate(true);
  const double withoutPace = ShareOfLate(false);
  INFO(withPace << " and " << withoutPace);
  // Without late requests there is nothing to compare.
  REQUIRE(withoutPace > 0.005);
  CHECK(withPace <= withoutPace / 4);
}

} // namespace pumiceturn::fleet
