#include "LibFleet/SuspectTable.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
SuspectTable::RecordBroken(const SuspectAttempt& aAttempt)
{
  if (contents_.size() >= kMaxContents &&
      !contents_.contains(aAttempt.content_)) {
    return;
  }
  Content& content = contents_[aAttempt.content_];
  const bool isKnown =
    std::any_of(content.attempts_.begin(),
                content.attempts_.end(),
                [&aAttempt](const auto& aOther) {
                  return aOther.endpoint_ == aAttempt.endpoint_;
                });
  if (!isKnown && aAttempt.brokeAt_ > content.answeredAt_) {
    content.attempts_.push_back(aAttempt);
  }
}

bool
SuspectTable::IsSuspect(std::uint64_t aContent) const
{
  const auto found = contents_.find(aContent);
  return found != contents_.end() && !found->second.attempts_.empty();
}

void
SuspectTable::RecordAnswered(std::uint64_t aContent, base::Instant aNow)
{
  const auto found = contents_.find(aContent);
  if (found == contents_.end()) {
    return;
  }
  // The entry stays, since peers may still send attempts from before the
  // answer.
  found->second.answeredAt_ = aNow;
  found->second.attempts_.clear();
}

bool
SuspectTable::IsRefused(std::uint64_t aContent,
                        base::Instant aNow,
                        const HasSurvived& aHasSurvived)
{
  const auto found = contents_.find(aContent);
  if (found == contents_.end()) {
    return false;
  }
  std::size_t initialCrashes = 0;
  std::size_t retries = 0;
  for (const SuspectAttempt& attempt : found->second.attempts_) {
    if (aNow - attempt.brokeAt_ > kRetention ||
        aHasSurvived(attempt.endpoint_, attempt.brokeAt_)) {
      continue;
    }
    if (attempt.isRetry_) {
      ++retries;
    } else {
      initialCrashes = 1;
    }
  }
  return initialCrashes + retries >= kCrashesToRefuse;
}

std::vector<SuspectAttempt>
SuspectTable::BrokenAttempts(base::Instant aNow) const
{
  std::vector<SuspectAttempt> attempts;
  for (const auto& [id, content] : contents_) {
    for (const SuspectAttempt& attempt : content.attempts_) {
      if (aNow - attempt.brokeAt_ <= kRetention) {
        attempts.push_back(attempt);
      }
    }
  }
  return attempts;
}

void
SuspectTable::Expire(base::Instant aNow)
{
  for (auto entry = contents_.begin(); entry != contents_.end();) {
    Content& content = entry->second;
    std::erase_if(content.attempts_, [aNow](const SuspectAttempt& aAttempt) {
      return aNow - aAttempt.brokeAt_ > kRetention;
    });
    const bool isExpired =
      content.attempts_.empty() && aNow - content.answeredAt_ > kRetention;
    entry = isExpired ? contents_.erase(entry) : std::next(entry);
  }
}

} // namespace pumiceturn::fleet
