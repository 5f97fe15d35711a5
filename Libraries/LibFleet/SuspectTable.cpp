#include "LibFleet/SuspectTable.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
SuspectTable::RecordBroken(const SuspectAttempt& aRun)
{
  if (contents_.size() >= kMaxContents && !contents_.contains(aRun.content_)) {
    return;
  }
  Content& content = contents_[aRun.content_];
  const bool isKnown = std::any_of(
    content.runs_.begin(), content.runs_.end(), [&aRun](const auto& aOther) {
      return aOther.endpoint_ == aRun.endpoint_;
    });
  if (!isKnown && aRun.brokeAt_ > content.answeredAt_) {
    content.runs_.push_back(aRun);
  }
}

bool
SuspectTable::IsKnown(std::uint64_t aContent) const
{
  const auto found = contents_.find(aContent);
  return found != contents_.end() && !found->second.runs_.empty();
}

void
SuspectTable::RecordAnswered(std::uint64_t aContent, base::Instant aNow)
{
  const auto found = contents_.find(aContent);
  if (found == contents_.end()) {
    return;
  }
  // The entry stays: peers go on to send the runs from before.
  found->second.answeredAt_ = aNow;
  found->second.runs_.clear();
}

bool
SuspectTable::IsRefused(std::uint64_t aContent,
                        base::Instant aNow,
                        const HasSurvived& aHasLivedOn)
{
  const auto found = contents_.find(aContent);
  if (found == contents_.end()) {
    return false;
  }
  std::size_t first = 0;
  std::size_t retries = 0;
  for (const SuspectAttempt& run : found->second.runs_) {
    if (aNow - run.brokeAt_ > kRetention ||
        aHasLivedOn(run.endpoint_, run.brokeAt_)) {
      continue;
    }
    if (run.isRetry_) {
      ++retries;
    } else {
      first = 1;
    }
  }
  return first + retries >= kCrashesToRefuse;
}

std::vector<SuspectAttempt>
SuspectTable::Runs(base::Instant aNow) const
{
  std::vector<SuspectAttempt> runs;
  for (const auto& [id, content] : contents_) {
    for (const SuspectAttempt& run : content.runs_) {
      if (aNow - run.brokeAt_ <= kRetention) {
        runs.push_back(run);
      }
    }
  }
  return runs;
}

void
SuspectTable::Expire(base::Instant aNow)
{
  for (auto entry = contents_.begin(); entry != contents_.end();) {
    Content& content = entry->second;
    std::erase_if(content.runs_, [aNow](const SuspectAttempt& aRun) {
      return aNow - aRun.brokeAt_ > kRetention;
    });
    const bool isOver =
      content.runs_.empty() && aNow - content.answeredAt_ > kRetention;
    entry = isOver ? contents_.erase(entry) : std::next(entry);
  }
}

} // namespace pumiceturn::fleet
