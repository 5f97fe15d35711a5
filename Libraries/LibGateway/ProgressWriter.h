#pragma once

#include "LibBatch/BatchJob.h"
#include "LibBatch/BatchJobKeys.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// What the runs of a job have so far.
struct BatchJobProgress
{
  std::string job_;
  std::uint64_t stateRevision_ = 0;
  std::unordered_map<std::string, batch::PartialOutput> runs_; ///< By item.
};

/// Stores now and then what the runs of this host's jobs have so far, so that
/// the next owner goes on there when this host loses its power: an item takes
/// up to 8 s, and a host that fails would cost all its items their time.
/// Belongs to the event thread.
class ProgressWriter
{
public:
  ProgressWriter(metadata::StoreClient& aStore,
                 const batch::BatchJobKeySpace& aKeys);

  /// @param aHosts All hosts together make a bounded number of calls.
  [[nodiscard]] bool IsDue(std::size_t aHosts, base::Instant aNow) const;

  /// Stores the jobs whose runs went on since they were last stored, as many as
  /// one call takes; the others come first next time.
  void Store(std::vector<BatchJobProgress> aJobs, base::Instant aNow);

  /// A job is no longer run here.
  void Forget(const std::string& aJob) { stored_.erase(aJob); }

private:
  struct Stored
  {
    base::Instant at_;
    std::unordered_map<std::string, std::uint64_t> events_; ///< By item.
  };

  [[nodiscard]] bool HasAdvanced(const BatchJobProgress& aJob) const;
  [[nodiscard]] base::Instant StoredAt(const BatchJobProgress& aJob) const;
  void NoteStored(const BatchJobProgress& aJob, base::Instant aNow);

  metadata::StoreClient& store_;
  const batch::BatchJobKeySpace& keys_;
  std::unordered_map<std::string, Stored> stored_;
  base::Instant last_{};
  bool isUnderWay_ = false;
};

} // namespace pumiceturn::gateway
