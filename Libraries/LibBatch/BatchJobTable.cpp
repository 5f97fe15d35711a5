#include "LibBatch/BatchJobTable.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

std::optional<std::string>
BatchJobTable::Apply(std::string_view aKey,
                     std::string_view aValue,
                     std::uint64_t aRevision)
{
  const auto key = keys_.ParseKey(aKey);
  if (!key) {
    return std::nullopt;
  }
  BatchJob& job = jobs_[key->job_];
  job.id_ = key->job_;
  switch (key->kind_) {
    case KeyKind::State:
      if (auto state = DecodeState(aValue);
          state && aRevision > job.stateRevision_) {
        job.state_ = std::move(*state);
        job.stateRevision_ = aRevision;
      }
      break;
    case KeyKind::Content:
      job.parts_[key->number_] = std::string(aValue);
      break;
    case KeyKind::Results:
      if (auto results = DecodeResults(aValue)) {
        job.pages_.try_emplace(key->number_, std::move(*results));
      }
      JoinPages(job);
      break;
    case KeyKind::Progress:
      if (auto progress = DecodeProgress(aValue)) {
        job.progress_ = std::move(*progress);
      }
      break;
    case KeyKind::Failures:
      ApplyFailures(job, aValue, aRevision);
      break;
  }
  JoinParts(job);
  return key->job_;
}

void
BatchJobTable::ApplyFailures(BatchJob& aJob,
                             std::string_view aValue,
                             std::uint64_t aRevision)
{
  aJob.failuresRevision_ = std::max(aJob.failuresRevision_, aRevision);
  const auto failures = DecodeFailures(aValue);
  aJob.areFailuresUnreadable_ = !failures;
  if (failures) {
    MergeFailures(aJob.failures_, *failures);
  }
}

void
BatchJobTable::JoinParts(BatchJob& aJob)
{
  const bool isComplete = aJob.stateRevision_ != 0 && !aJob.items_ &&
                          aJob.parts_.size() == aJob.state_.partCount_;
  if (!isComplete) {
    return;
  }
  std::string content;
  for (const auto& [number, part] : aJob.parts_) {
    content.append(part);
  }
  aJob.items_ = decoder_(content);
  aJob.parts_.clear();
}

void
BatchJobTable::JoinPages(BatchJob& aJob)
{
  auto page =
    aJob.pages_.find(static_cast<std::uint32_t>(aJob.results_.size()));
  while (page != aJob.pages_.end()) {
    for (ItemResult& result : page->second) {
      aJob.results_.push_back(std::move(result));
    }
    aJob.pages_.erase(page);
    page = aJob.pages_.find(static_cast<std::uint32_t>(aJob.results_.size()));
  }
}

void
BatchJobTable::Remove(std::string_view aKey)
{
  const auto key = keys_.ParseKey(aKey);
  if (key && key->kind_ == KeyKind::State) {
    jobs_.erase(key->job_);
  }
}

const BatchJob*
BatchJobTable::Find(const std::string& aId) const
{
  const auto found = jobs_.find(aId);
  if (found == jobs_.end() || found->second.stateRevision_ == 0) {
    return nullptr;
  }
  return &found->second;
}

bool
BatchJobTable::FinishLoading(const std::string& aId)
{
  const auto found = jobs_.find(aId);
  if (found == jobs_.end() || !found->second.items_) {
    return false;
  }
  found->second.isLoaded_ = true;
  return true;
}

void
BatchJobTable::Unload(const std::string& aId)
{
  const auto found = jobs_.find(aId);
  if (found == jobs_.end()) {
    return;
  }
  BatchJob bare;
  bare.id_ = aId;
  bare.state_ = std::move(found->second.state_);
  bare.stateRevision_ = found->second.stateRevision_;
  if (bare.stateRevision_ == 0) {
    jobs_.erase(found);
    return;
  }
  found->second = std::move(bare);
}

std::vector<std::string>
BatchJobTable::OpenJobs() const
{
  std::vector<std::string> open;
  for (const auto& [id, job] : jobs_) {
    if (job.stateRevision_ != 0 && job.IsOpen()) {
      open.push_back(id);
    }
  }
  return open;
}

std::vector<std::string>
BatchJobTable::AllJobs() const
{
  std::vector<std::string> all;
  for (const auto& [id, job] : jobs_) {
    if (job.stateRevision_ != 0) {
      all.push_back(id);
    }
  }
  return all;
}

} // namespace pumiceturn::batch
