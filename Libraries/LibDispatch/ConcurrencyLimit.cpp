#include "LibDispatch/ConcurrencyLimit.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr std::uint32_t kWindowSamples = 16;
constexpr std::uint32_t kMinLateSamples = 4;
constexpr std::int64_t kLateFactor = 4; // Multiple of the baseline.
// The baseline rises by 1/256 of the gap per sample.
constexpr std::int64_t kBaselineRiseDivisor = 256;
constexpr std::uint32_t kDecreaseDivisor = 10;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : options_(aOptions)
  , limit_(aOptions.max_)
{
}

void
ConcurrencyLimit::SetOptions(Options aOptions)
{
  const bool wasAtMax = limit_ == options_.max_;
  options_ = aOptions;
  limit_ =
    wasAtMax ? options_.max_ : std::clamp(limit_, options_.min_, options_.max_);
}

void
ConcurrencyLimit::OnFirstToken(base::Duration aDelay, std::uint32_t aInFlight)
{
  if (baseline_ == base::Duration::zero() || aDelay < baseline_) {
    baseline_ = aDelay;
  } else {
    baseline_ += (aDelay - baseline_) / kBaselineRiseDivisor;
  }
  // A first token is late only if it is both an outlier for this engine and a
  // noticeable part of the target. Either alone indicates a long prompt or a
  // slow engine, which a lower limit does not improve.
  const bool isOutlier = aDelay > baseline_ * kLateFactor;
  const bool isNoticeable = aDelay > options_.firstTokenTarget_ / 2;
  lateSamples_ += (isOutlier && isNoticeable) ? 1 : 0;
  peakInFlight_ = std::max(peakInFlight_, aInFlight);
  if (++samples_ >= kWindowSamples) {
    EvaluateWindow();
  }
}

void
ConcurrencyLimit::EvaluateWindow()
{
  if (lateSamples_ >= kMinLateSamples) {
    const std::uint32_t used = std::min(limit_, peakInFlight_);
    const std::uint32_t step = std::max(used / kDecreaseDivisor, 1U);
    limit_ = std::max(used - std::min(used, step), options_.min_);
  } else if (lateSamples_ == 0 && peakInFlight_ >= limit_) {
    limit_ = std::min(limit_ + 1, options_.max_);
  }
  samples_ = 0;
  lateSamples_ = 0;
  peakInFlight_ = 0;
}

} // namespace pumiceturn::dispatch
