#include "LibRouting/QuarantineTable.h"

#include <algorithm>
#include <limits>

namespace pumiceturn::routing {

namespace {

std::uint32_t
RemainingMs(base::Instant aExpires, base::Instant aNow)
{
  const std::int64_t remaining = base::ToMs(aExpires - aNow);
  constexpr std::int64_t kLongest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(remaining, 1, kLongest));
}

/// Puts first what a peer needs most, since a heartbeat holds only so many:
/// what was lifted, then what crashed most, then what is newest.
bool
IsTellingMore(const wire::Suspect& aLeft, const wire::Suspect& aRight)
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
    const auto found = entries_.find(aFingerprint);
    return found != entries_.end() && !found->second.lifted_ &&
           found->second.expires_ > aNow;
  };
  const bool anySuspect =
    std::any_of(aFingerprints.begin(), aFingerprints.end(), isSuspect);
  std::vector<std::uint64_t> blamed;
  for (const std::uint64_t fingerprint : aFingerprints) {
    const bool isRepeat =
      std::find(blamed.begin(), blamed.end(), fingerprint) != blamed.end();
    const bool isKnown = isSuspect(fingerprint);
    if (isRepeat || (anySuspect && !isKnown)) {
      continue;
    }
    MakeRoom(fingerprint, aNow);
    Entry& entry = entries_[fingerprint];
    const std::uint16_t before = isKnown ? entry.crashes_ : std::uint16_t{ 0 };
    constexpr std::uint16_t kMost = std::numeric_limits<std::uint16_t>::max();
    const auto crashes =
      before == kMost ? kMost : static_cast<std::uint16_t>(before + 1);
    const bool wasLifted = entry.lifted_ || entry.crashedSinceLift_;
    entry = Entry{ crashes, aNow + lifetime_, false, wasLifted };
    blamed.push_back(fingerprint);
  }
  return blamed;
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
    const auto found = entries_.find(suspect.fingerprint_);
    const bool isLive =
      found != entries_.end() && found->second.expires_ > aNow;
    if (isLive && found->second.lifted_) {
      continue;
    }
    if (suspect.crashes_ == 0) {
      if (isLive && found->second.crashedSinceLift_) {
        continue;
      }
      if (!isLive) {
        MakeRoom(suspect.fingerprint_, aNow);
        entries_[suspect.fingerprint_] = Entry{ 0, expires, true, false };
      } else {
        found->second.lifted_ = true;
      }
      continue;
    }
    // An equal count is not taken over again: two peers that echo each other
    // would otherwise keep an entry alive for good.
    if (isLive && found->second.crashes_ >= suspect.crashes_) {
      continue;
    }
    MakeRoom(suspect.fingerprint_, aNow);
    entries_[suspect.fingerprint_] =
      Entry{ suspect.crashes_, expires, false, false };
  }
}

Suspicion
QuarantineTable::Check(std::uint64_t aFingerprint, base::Instant aNow) const
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aFingerprint);
  if (found == entries_.end() || found->second.lifted_ ||
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
  const auto found = entries_.find(aFingerprint);
  if (found == entries_.end() || found->second.lifted_ ||
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
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.expires_ > aNow) {
      const std::uint16_t crashes =
        entry.lifted_ ? std::uint16_t{ 0 } : entry.crashes_;
      listed.push_back(wire::Suspect{
        fingerprint, crashes, RemainingMs(entry.expires_, aNow) });
    }
  }
  std::sort(listed.begin(), listed.end(), IsTellingMore);
  return listed;
}

void
QuarantineTable::MakeRoom(std::uint64_t aFingerprint, base::Instant aNow)
{
  if (entries_.size() < kMaxEntries || entries_.contains(aFingerprint)) {
    return;
  }
  std::erase_if(entries_, [aNow](const auto& aItem) {
    return aItem.second.expires_ <= aNow;
  });
  if (entries_.size() < kMaxEntries) {
    return;
  }
  // Suspects go before quarantined content: forgetting a suspect costs one
  // more crash, forgetting the other kind costs two.
  const auto goesBefore = [](const auto& aLeft, const auto& aRight) {
    const bool leftHeld = aLeft.second.crashes_ >= kCrashesToQuarantine;
    const bool rightHeld = aRight.second.crashes_ >= kCrashesToQuarantine;
    if (leftHeld != rightHeld) {
      return rightHeld;
    }
    return aLeft.second.expires_ < aRight.second.expires_;
  };
  entries_.erase(
    std::min_element(entries_.begin(), entries_.end(), goesBefore));
}

} // namespace pumiceturn::routing
