#include "Tests/LibFleet/RateFleetFixture.h"

#include <cstdlib>

namespace pumiceturn::fleet {

/// A fleet in which an organisation's requests are admitted and then rejected,
/// as in a shortage, before it sends far beyond its limit.
class RateRejectionFixture : public RateFleetFixture
{
protected:
  static constexpr std::size_t kHosts = 18;
  static constexpr std::size_t kWorkers = 4;
  static constexpr base::Duration kPart = 500ms;
  static constexpr std::size_t kParts = 8;

  /// @param aWithRejections Called after half of the rejections.
  template<typename Action>
  void AdvanceThroughRush(const RateLimit& aLimit,
                          const Action& aWithRejections)
  {
    BuildFleet(kHosts, aLimit, kWorkers);
    isFlowEven_ = true;
    Advance(3s, aLimit.ratePerSecond_);
    rejectedPerSecond_ = 1000;
    Advance(1250ms, aLimit.ratePerSecond_);
    aWithRejections();
    Advance(1250ms, aLimit.ratePerSecond_);
    rejectedPerSecond_ = 0;
    rushBegin_ = now_;
    Advance(kParts * kPart, 8 * aLimit.ratePerSecond_);
  }

  void AdvanceThroughRush(const RateLimit& aLimit)
  {
    AdvanceThroughRush(aLimit, [] {});
  }

  /// @return the requests that ran in each part of the rush.
  [[nodiscard]] std::vector<int> CountByPart() const
  {
    std::vector<int> counts(kParts, 0);
    for (const base::Instant at : admitted_) {
      if (at > rushBegin_) {
        ++counts[static_cast<std::size_t>((at - rushBegin_ - kStep) / kPart)];
      }
    }
    return counts;
  }

  base::Instant rushBegin_{};
};

// Guards against an organisation that is refused within its limit, since
// requests that were rejected just after their admission stay counted.
TEST_CASE_METHOD(RateRejectionFixture,
                 "RateLimiter_RejectedAtOnceThenRush_RunsHalfOfTheRate")
{
  const double rate = GENERATE(136.0, 30.0, 3.5);
  lossShare_ = GENERATE(0.0, 0.02);
  const bool isAtOneHost = GENERATE(false, true);
  if (isAtOneHost) {
    rejectingHost_ = 2;
  }
  AdvanceThroughRush({ rate, rate });
  const std::vector<int> ran = CountByPart();
  CAPTURE(rate, lossShare_, isAtOneHost, rejected_, ran);
  // Half of what the rate gives in each half second.
  CHECK(*std::min_element(ran.begin(), ran.end()) >= rate / 4);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against an account that can't be told from its requests: what the
// owner counts is what ran.
TEST_CASE_METHOD(RateRejectionFixture,
                 "RateLimiter_RejectedThenRush_CountedAreExecuted")
{
  rejectedAfter_ = GENERATE(1ms, 1s, 3s);
  AdvanceThroughRush({ 136, 136 });
  const base::Instant windowBegin =
    base::Instant{ now_.time_since_epoch() / 250ms * 250ms } - 5s;
  const auto ran =
    std::count_if(admitted_.begin(), admitted_.end(), [&](base::Instant aAt) {
      return aAt >= windowBegin;
    });
  std::int64_t counted = 0;
  std::int64_t executed = 0;
  for (const Host& host : hosts_) {
    counted += host.limiter_->CountedRequests("hot", now_);
    executed += host.limiter_->ExecutedRequests("hot", now_);
  }
  CAPTURE(rejectedAfter_ / 1ms, rejected_);
  CHECK(executed == ran);
  // An eighth of the burst may be unreported or counted in a later slice.
  CHECK(std::abs(counted - executed) <= 136 / 8);
}

// Guards against credit that comes back with refunds after the bucket has
// filled again, on top of it.
TEST_CASE_METHOD(RateRejectionFixture,
                 "RateLimiter_RejectedLateThenRush_BoundHolds")
{
  const double rate = GENERATE(136.0, 30.0, 3.5);
  rejectedAfter_ = GENERATE(200ms, 1s, 3s, 6s);
  lossShare_ = GENERATE(0.0, 0.02);
  AdvanceThroughRush({ rate, rate });
  CAPTURE(rate, rejectedAfter_ / 1ms, lossShare_, rejected_);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against a new owner that counts what was refunded to the former one.
TEST_CASE_METHOD(RateRejectionFixture,
                 "RateLimiter_OwnerIsLostBetweenRejections_RunsHalfOfTheRate")
{
  const double rate = GENERATE(136.0, 30.0);
  AdvanceThroughRush({ rate, rate }, [this] {
    for (std::size_t index = kHosts; index < hosts_.size(); ++index) {
      if (hosts_[index].limiter_->ShareOf("hot") > 0.5) {
        Stop(index);
      }
    }
  });
  const std::vector<int> ran = CountByPart();
  CAPTURE(rate, rejected_, ran);
  CHECK(*std::min_element(ran.begin(), ran.end()) >= rate / 4);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against refunds of hosts that run an earlier version, which don't say
// when the requests were admitted, making room beyond the window.
TEST_CASE_METHOD(RateRejectionFixture,
                 "RateLimiter_HostsReportTotalsOnly_BoundHolds")
{
  reportsTotalsOnly_ = true;
  rejectedAfter_ = GENERATE(1ms, 1s, 3s);
  AdvanceThroughRush({ 136, 136 });
  CAPTURE(rejectedAfter_ / 1ms, rejected_);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

} // namespace pumiceturn::fleet
