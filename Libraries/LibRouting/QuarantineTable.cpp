#include "LibRouting/QuarantineTable.h"

#include <algorithm>
#include <limits>

namespace pumiceturn::routing {

namespace {

std::uint32_t
RemainingMs(base::Instant aExpires, base::Instant aNow)
{
  const std::int64_t remaining = base::ToMs(aExpires - aNow);
  constexpr std::int64_t kMaxMs = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(remaining, 1, kMaxMs));
}

/// Orders entries by their importance to peers, since a heartbeat holds a
/// limited number: lifted entries, then those with the most crashes, then the
/// most recent.
bool
HasHigherPriority(const wire::Suspect& aLeft, const wire::Suspect& aRight)
{
  const bool isLeftLifted = aLeft.crashes_ == 0;
  const bool isRightLifted = aRight.crashes_ == 0;
  if (isLeftLifted != isRightLifted) {
    return isLeftLifted;
  }
  if (aLeft.crashes_ != aRight.crashes_) {
    return aLeft.crashes_ > aRight.crashes_;
  }
  if (aLeft.expiresInMs_ != aRight.expiresInMs_) {
    return aLeft.expiresInMs_ > aRight.expiresInMs_;
  }
  return aLeft.fingerprint_ < aRight.fingerprint_;
}

} // namespace

std::vector<std::uint64_t>
QuarantineTable::RecordCrash(std::span<const std::uint64_t> aFingerprints,
                             base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  const auto isSuspect = [this, aNow](std::uint64_t aFingerprint) {
    const auto found = records_.find(aFingerprint);
    return found != records_.end() && !found->second.lifted_ &&
           found->second.expires_ > aNow;
  };
  const bool anySuspect =
    std::any_of(aFingerprints.begin(), aFingerprints.end(), isSuspect);
  std::vector<std::uint64_t> counted;
  for (const std::uint64_t fingerprint : aFingerprints) {
    const bool isDuplicate =
      std::find(counted.begin(), counted.end(), fingerprint) != counted.end();
    const bool isKnown = isSuspect(fingerprint);
    if (isDuplicate || (anySuspect && !isKnown)) {
      continue;
    }
    EvictIfFull(fingerprint, aNow);
    Record& record = records_[fingerprint];
    const std::uint16_t before = isKnown ? record.crashes_ : std::uint16_t{ 0 };
    constexpr std::uint16_t kMaxCrashes =
      std::numeric_limits<std::uint16_t>::max();
    const auto crashes = before == kMaxCrashes
                           ? kMaxCrashes
                           : static_cast<std::uint16_t>(before + 1);
    const bool wasLifted = record.lifted_ || record.crashedSinceLift_;
    record = Record{ crashes, aNow + lifetime_, false, wasLifted };
    counted.push_back(fingerprint);
  }
  return counted;
}

void
QuarantineTable::Merge(std::span<const wire::Suspect> aSuspects,
                       base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  for (const wire::Suspect& suspect : aSuspects) {
    if (suspect.expiresInMs_ == 0) {
      continue;
    }
    const base::Instant expires =
      aNow + std::min<base::Duration>(
               std::chrono::milliseconds{ suspect.expiresInMs_ }, lifetime_);
    const auto found = records_.find(suspect.fingerprint_);
    const bool isLive =
      found != records_.end() && found->second.expires_ > aNow;
    if (isLive && found->second.lifted_) {
      continue;
    }
    if (suspect.crashes_ == 0) {
      if (isLive && found->second.crashedSinceLift_) {
        continue;
      }
      if (!isLive) {
        EvictIfFull(suspect.fingerprint_, aNow);
        records_[suspect.fingerprint_] = Record{ 0, expires, true, false };
      } else {
        found->second.lifted_ = true;
      }
      continue;
    }
    // An equal count must not extend the expiry: two peers that exchange their
    // tables would keep the record alive forever.
    if (isLive && found->second.crashes_ >= suspect.crashes_) {
      continue;
    }
    EvictIfFull(suspect.fingerprint_, aNow);
    records_[suspect.fingerprint_] =
      Record{ suspect.crashes_, expires, false, false };
  }
}

Suspicion
QuarantineTable::Check(std::uint64_t aFingerprint, base::Instant aNow) const
{
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(aFingerprint);
  if (found == records_.end() || found->second.lifted_ ||
      found->second.expires_ <= aNow) {
    return Suspicion::None;
  }
  return found->second.crashes_ >= kCrashesToQuarantine ? Suspicion::Quarantined
                                                        : Suspicion::Suspect;
}

bool
QuarantineTable::Lift(std::uint64_t aFingerprint, base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(aFingerprint);
  if (found == records_.end() || found->second.lifted_ ||
      found->second.expires_ <= aNow) {
    return false;
  }
  found->second.lifted_ = true;
  return true;
}

std::vector<wire::Suspect>
QuarantineTable::List(base::Instant aNow) const
{
  const std::lock_guard lock(mutex_);
  std::vector<wire::Suspect> listed;
  for (const auto& [fingerprint, record] : records_) {
    if (record.expires_ > aNow) {
      const std::uint16_t crashes =
        record.lifted_ ? std::uint16_t{ 0 } : record.crashes_;
      listed.push_back(wire::Suspect{
        fingerprint, crashes, RemainingMs(record.expires_, aNow) });
    }
  }
  std::sort(listed.begin(), listed.end(), HasHigherPriority);
  return listed;
}

void
QuarantineTable::EvictIfFull(std::uint64_t aFingerprint, base::Instant aNow)
{
  if (records_.size() < kMaxEntries || records_.contains(aFingerprint)) {
    return;
  }
  std::erase_if(records_, [aNow](const auto& aItem) {
    return aItem.second.expires_ <= aNow;
  });
  if (records_.size() < kMaxEntries) {
    return;
  }
  // Evicts suspects before quarantined content: it takes one more crash to
  // detect a suspect again, but two for quarantined content.
  const auto isEvictedBefore = [](const auto& aLeft, const auto& aRight) {
    const bool isLeftQuarantined =
      aLeft.second.crashes_ >= kCrashesToQuarantine;
    const bool isRightQuarantined =
      aRight.second.crashes_ >= kCrashesToQuarantine;
    if (isLeftQuarantined != isRightQuarantined) {
      return isRightQuarantined;
    }
    return aLeft.second.expires_ < aRight.second.expires_;
  };
  records_.erase(
    std::min_element(records_.begin(), records_.end(), isEvictedBefore));
}

} // namespace pumiceturn::routing
