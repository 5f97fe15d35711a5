#include "LibDispatch/ConcurrencyLimit.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr std::uint32_t kWindowSamples = 16;
constexpr std::uint32_t kLateSamples = 4; // A quarter of a window.
constexpr std::int64_t kLateFactor = 4;   // Over the usual time.
constexpr std::int64_t kUsualRise = 256;  // 1/256 of the gap a sample.
constexpr std::uint32_t kDecreaseShare = 10;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : options_(aOptions)
  , limit_(aOptions.most_)
{
}

void
ConcurrencyLimit::SetOptions(Options aOptions)
{
  const bool wasAtMost = limit_ == options_.most_;
  options_ = aOptions;
  limit_ = wasAtMost ? options_.most_
                     : std::clamp(limit_, options_.least_, options_.most_);
}

void
ConcurrencyLimit::OnFirstToken(base::Duration aDelay, std::uint32_t aAtStart)
{
  if (usual_ == base::Duration::zero() || aDelay < usual_) {
    usual_ = aDelay;
  } else {
    usual_ += (aDelay - usual_) / kUsualRise;
  }
  // A first token is late when it is both unusual for this engine and a
  // noticeable part of what callers accept; either alone is a long prompt or a
  // slow engine, which fewer streams do not help.
  const bool isUnusual = aDelay > usual_ * kLateFactor;
  const bool isNoticeable = aDelay > options_.firstTokenTarget_ / 2;
  late_ += (isUnusual && isNoticeable) ? 1 : 0;
  mostSeen_ = std::max(mostSeen_, aAtStart);
  if (++samples_ >= kWindowSamples) {
    CloseWindow();
  }
}

void
ConcurrencyLimit::CloseWindow()
{
  if (late_ >= kLateSamples) {
    const std::uint32_t used = std::min(limit_, mostSeen_);
    const std::uint32_t step = std::max(used / kDecreaseShare, 1U);
    limit_ = std::max(used - std::min(used, step), options_.least_);
  } else if (late_ == 0 && mostSeen_ >= limit_) {
    limit_ = std::min(limit_ + 1, options_.most_);
  }
  samples_ = 0;
  late_ = 0;
  mostSeen_ = 0;
}

} // namespace pumiceturn::dispatch
