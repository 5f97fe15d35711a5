#include "LibWire/LinkHealth.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::wire {

namespace {

/// Heartbeats of a healthy peer come up to this share of an interval late: its
/// timer's granularity, and the way here.
constexpr std::int64_t kSlackDivisor = 2;

/// Doubling stops here; the bound is reached well before.
constexpr std::uint32_t kMostDoublings = 16;

/// At least this share of the delay is waited, the rest is jitter.
constexpr double kFixedShare = 0.5;

base::Duration
Scale(base::Duration aDuration, double aShare)
{
  return base::Duration{ static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aShare) };
}

} // namespace

LinkHealth::LinkHealth(Options aOptions, base::Instant aNow, double aPhase)
  : options_(aOptions)
  , lastCheck_(aNow)
  , lastHeard_(aNow)
  , nextHeartbeat_(aNow + Scale(aOptions.interval_, aPhase))
{
}

void
LinkHealth::OnHeard(base::Instant aNow)
{
  lastHeard_ = aNow;
}

void
LinkHealth::OnSent(base::Instant aNow)
{
  unacknowledged_.push_back(aNow);
}

void
LinkHealth::OnAcknowledged(base::Instant aNow)
{
  lastHeard_ = aNow;
  if (!unacknowledged_.empty()) {
    unacknowledged_.pop_front();
  }
}

LinkNeed
LinkHealth::Check(base::Instant aNow)
{
  const base::Duration sinceCheck = aNow - lastCheck_;
  lastCheck_ = aNow;
  if (sinceCheck > options_.interval_) {
    ForgivePause(sinceCheck, aNow);
  }
  if (SilentFor(aNow) >= Limit()) {
    return LinkNeed::Replacement;
  }
  if (aNow < nextHeartbeat_) {
    return LinkNeed::Nothing;
  }
  // Counted from the due time, so that late checks do not stretch the interval;
  // after a pause the heartbeats that were skipped are not made up for.
  nextHeartbeat_ += options_.interval_;
  if (nextHeartbeat_ <= aNow) {
    nextHeartbeat_ = aNow + options_.interval_;
  }
  return LinkNeed::Heartbeat;
}

base::Duration
LinkHealth::SilentFor(base::Instant aNow) const
{
  const base::Duration unheard = aNow - lastHeard_;
  if (unacknowledged_.empty()) {
    return unheard;
  }
  return std::max(unheard, base::Duration(aNow - unacknowledged_.front()));
}

void
LinkHealth::ForgivePause(base::Duration aPause, base::Instant aNow)
{
  lastHeard_ = std::min(lastHeard_ + aPause, aNow);
  for (base::Instant& sent : unacknowledged_) {
    sent = std::min(sent + aPause, aNow);
  }
}

base::Duration
LinkHealth::Limit() const
{
  return options_.interval_ * options_.missed_ +
         options_.interval_ / kSlackDivisor;
}

base::Duration
ReconnectSchedule::Next(base::Instant aNow, double aRandom)
{
  const auto upSince = std::exchange(upSince_, std::nullopt);
  if (upSince && aNow - *upSince >= options_.stable_) {
    attempts_ = 0;
  }
  const std::uint32_t attempt = attempts_++;
  if (attempt == 0) {
    return base::Duration::zero();
  }
  const std::uint32_t doublings = std::min(attempt - 1, kMostDoublings);
  const base::Duration delay = std::min(
    options_.first_ * (std::int64_t{ 1 } << doublings), options_.longest_);
  return Scale(delay, kFixedShare + (1.0 - kFixedShare) * aRandom);
}

} // namespace pumiceturn::wire
