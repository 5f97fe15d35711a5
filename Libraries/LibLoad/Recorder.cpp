#include "LibLoad/Recorder.h"

#include <algorithm>

namespace pumiceturn::load {

namespace {

double
ToMilliseconds(base::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

Second&
Recorder::SecondAt(base::Duration aMoment)
{
  const auto index = static_cast<std::size_t>(std::max<std::int64_t>(
    0, std::chrono::duration_cast<std::chrono::seconds>(aMoment).count()));
  if (gathered_.seconds_.size() <= index) {
    gathered_.seconds_.resize(index + 1);
  }
  return gathered_.seconds_[index];
}

void
Recorder::AddStart(base::Duration aIntended)
{
  const std::lock_guard lock(mutex_);
  ++SecondAt(aIntended).started_;
  ++counts_.sent_;
}

void
Recorder::AddFirstToken(const Arrival& aArrival, base::Instant aNow)
{
  // From the intended start: a sender that is late, or a server that holds it
  // up, must not make the measure look better.
  const double latency = ToMilliseconds(aNow - (start_ + aArrival.at_));
  const std::lock_guard lock(mutex_);
  SecondAt(aArrival.at_).firstTokenMs_.Add(latency);
  if (aArrival.phase_ == Phase::Alone) {
    gathered_.alone_.firstTokenMs_.Add(latency);
  } else if (aArrival.phase_ == Phase::Together) {
    gathered_.together_.firstTokenMs_.Add(latency);
  }
}

void
Recorder::AddGap(Phase aPhase, base::Duration aGap)
{
  const std::lock_guard lock(mutex_);
  if (aPhase == Phase::Alone) {
    gathered_.alone_.betweenTokensMs_.Add(ToMilliseconds(aGap));
  } else if (aPhase == Phase::Together) {
    gathered_.together_.betweenTokensMs_.Add(ToMilliseconds(aGap));
  }
}

void
Recorder::AddOnlineTokens(std::uint32_t aTokens, base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  SecondAt(aNow - start_).onlineTokens_ += aTokens;
}

void
Recorder::AddRefused(base::Duration aIntended)
{
  const std::lock_guard lock(mutex_);
  ++SecondAt(aIntended).refused_;
}

void
Recorder::AddBatchItem(std::uint32_t aTokens, base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  Second& second = SecondAt(aNow - start_);
  second.batchTokens_ += aTokens;
  ++second.batchItems_;
}

void
Recorder::AddCode(std::uint32_t aCode)
{
  const std::lock_guard lock(mutex_);
  ++gathered_.endsByCode_[aCode];
}

Recorder::Snapshot
Recorder::Take() const
{
  const std::lock_guard lock(mutex_);
  Snapshot snapshot = gathered_;
  snapshot.counts_ = counts_;
  for (Latencies* latencies : { &snapshot.alone_, &snapshot.together_ }) {
    latencies->firstTokenMs_.Sort();
    latencies->betweenTokensMs_.Sort();
  }
  for (Second& second : snapshot.seconds_) {
    second.firstTokenMs_.Sort();
  }
  return snapshot;
}

Counts
Recorder::CurrentCounts() const
{
  const std::lock_guard lock(mutex_);
  return counts_;
}

} // namespace pumiceturn::load
