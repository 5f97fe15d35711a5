#include "Tests/LibFleet/RateFleetFixture.h"

namespace pumiceturn::fleet {

/// A fleet in which some hosts can't reach some others, so that more than one
/// host owns the organisation's account.
class RateReachabilityFixture : public RateFleetFixture
{
protected:
  /// @param aIsOneWay Whether only messages in that direction are lost.
  void Cut(std::size_t aFrom, std::size_t aTo, bool aIsOneWay = false)
  {
    isCut_[aFrom][aTo] = true;
    isCut_[aTo][aFrom] = isCut_[aTo][aFrom] || !aIsOneWay;
  }

  void HealAll()
  {
    for (auto& row : isCut_) {
      std::fill(row.begin(), row.end(), false);
    }
  }

  /// Cuts the first hosts off from the others, and from all workers but one.
  void CutOffExceptFromWorker(std::size_t aHosts, std::size_t aWorker)
  {
    for (std::size_t host = 0; host < aHosts; ++host) {
      for (std::size_t other = aHosts; other < hosts_.size(); ++other) {
        if (other != aWorker) {
          Cut(host, other);
        }
      }
    }
  }

  [[nodiscard]] std::size_t Draw(std::size_t aBelow)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(random_);
  }

  /// Cuts, heals, stops and restarts at random for some seconds.
  void AdvanceWithFaults(base::Duration aTime, double aPerSecond)
  {
    for (base::Duration passed{}; passed < aTime; passed += 500ms) {
      for (std::size_t index = admittingHosts_; index < hosts_.size();
           ++index) {
        if (!hosts_[index].isUp_ && RateFleetFixture::Draw(0.5)) {
          Restart(index);
        }
      }
      const std::size_t fault = Draw(6);
      if (fault == 0) {
        HealAll();
      } else if (fault == 1) {
        Stop(admittingHosts_ + Draw(hosts_.size() - admittingHosts_));
      } else if (fault <= 3) {
        const std::size_t host = Draw(hosts_.size());
        const bool isOneWay = Draw(3) == 0;
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
          if (other != host && Draw(2) == 0) {
            Cut(host, other, isOneWay);
          }
        }
      }
      Advance(500ms, aPerSecond);
    }
  }
};

// Guards against two owners that each grant the whole limit: hosts that are cut
// off from the others reach one worker that reaches everyone.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_CutHostsReachOneWorker_OwnersShareLimit")
{
  for (std::size_t worker = 20; worker < 24; ++worker) {
    hosts_.clear();
    admitted_.clear();
    messages_.clear();
    BuildFleet(20, { 130, 130 }, 4);
    Advance(5s, 70);
    CutOffExceptFromWorker(7, worker);
    Advance(10s, 800);
    INFO("worker " << worker);
    CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  }
}

// Guards against leaving the part of the limit unused that belongs to hosts
// that are cut off, while a worker reaches both sides.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_WorkerReachesBothSides_WholeLimitIsUsed")
{
  BuildFleet(20, { 130, 130 }, 4);
  Advance(5s, 70);
  CutOffExceptFromWorker(7, 22);
  Advance(2s, 70);
  admitted_.clear();
  Advance(10s, 800);
  // Of the 1,300 that the rate allows, all but what is lost while hosts switch.
  CHECK(admitted_.size() >= 1200);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against exceeding the limit when the owner of the larger side is also
// killed and starts anew.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_CutHostsAndOwnerRestarts_BoundHolds")
{
  for (std::size_t stopped = 20; stopped < 24; ++stopped) {
    hosts_.clear();
    admitted_.clear();
    messages_.clear();
    BuildFleet(20, { 130, 130 }, 4);
    Advance(5s, 70);
    CutOffExceptFromWorker(7, 20 + (stopped - 19) % 4);
    Advance(3s, 70);
    Advance(1s, 800);
    Stop(stopped);
    Advance(500ms, 800);
    Restart(stopped);
    Advance(6s, 800);
    INFO("stopped " << stopped);
    CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  }
}

// Guards against new owners that each begin with credit, when the owner changes
// several times within a window.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_OwnersAreCutOffInTurn_BoundHolds")
{
  const bool isOneWay = GENERATE(false, true);
  const RateLimit limit = GENERATE(RateLimit{ 60, 400 }, RateLimit{ 130, 130 });
  BuildFleet(18, limit, 4);
  Advance(5s, 0.5 * limit.ratePerSecond_);
  for (int change = 0; change < 3; ++change) {
    Advance(1500ms, 8 * limit.ratePerSecond_);
    for (std::size_t index = 18; index < hosts_.size(); ++index) {
      if (hosts_[index].limiter_->ShareOf("hot") > 0.5) {
        for (std::size_t host = 0; host < 4; ++host) {
          Cut(host, index, isOneWay);
        }
      }
    }
  }
  Advance(6s, 8 * limit.ratePerSecond_);
  INFO("one way " << isOneWay << ", rate " << limit.ratePerSecond_);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against credit that accrues at two owners when hosts leave one for
// half a second and return.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_OwnerIsCutOffAndBack_BoundHolds")
{
  BuildFleet(18, { 130, 130 }, 4);
  Advance(6s, 39);
  Advance(1s, 1040);
  for (int change = 0; change < 8; ++change) {
    for (std::size_t index = 18; index < hosts_.size(); ++index) {
      if (hosts_[index].limiter_->ShareOf("hot") > 0.5) {
        for (std::size_t host = 0; host < 4; ++host) {
          Cut(host, index);
        }
      }
    }
    Advance(500ms, 1040);
    HealAll();
    Advance(500ms, 1040);
  }
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against a sum of the owners' shares above one, for cuts in one or both
// directions, lost and restarted workers drawn at random.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_RandomReachability_BoundHolds")
{
  struct Case
  {
    std::size_t hosts_;
    std::vector<std::uint64_t> seeds_;
  };
  const auto [hosts, seeds] =
    GENERATE(Case{ 20, { 1, 2, 3, 4, 5, 6, 7, 8, 10, 11, 45, 137 } },
             Case{ 100, { 1, 2, 3, 4 } },
             Case{ 300, { 1 } });
  for (const std::uint64_t seed : seeds) {
    hosts_.clear();
    admitted_.clear();
    messages_.clear();
    random_.seed(seed);
    BuildFleet(hosts, { 130, 130 }, hosts / 5);
    Advance(3s, 70);
    AdvanceWithFaults(12s, 800);
    INFO("hosts " << hosts << ", seed " << seed);
    CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  }
}

// Guards against refusals within the limit while some hosts reach only some of
// the workers.
TEST_CASE_METHOD(RateReachabilityFixture,
                 "RateLimiter_CutHostsWithinLimit_AtMostOneIn50IsRefused")
{
  BuildFleet(20, { 130, 130 }, 4);
  Advance(3s, 60);
  CutOffExceptFromWorker(7, 21);
  Advance(5s, 60);
  CHECK(static_cast<double>(refused_) <= 0.02 * static_cast<double>(requests_));
}

} // namespace pumiceturn::fleet
