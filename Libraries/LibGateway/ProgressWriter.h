#pragma once

#include "LibBase/Lifetime.h"
#include "LibBatch/BatchJob.h"
#include "LibBatch/BatchJobKeys.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// The partial outputs of a job's items.
struct BatchJobProgress
{
  std::string job_;
  std::uint64_t stateRevision_ = 0;
  std::unordered_map<std::string, batch::PartialOutput>
    outputs_; ///< Keyed by item ID.
};

/// Periodically stores the partial outputs of this host's jobs, so that the
/// next owner can resume them if this host fails. Must be used on the event
/// thread.
class ProgressWriter
{
public:
  ProgressWriter(metadata::StoreClient& aStore,
                 const batch::BatchJobKeySpace& aKeys);

  /// @param aHostCount Number of registered hosts; the interval grows with it
  /// to bound
  ///   their combined call rate.
  /// @return whether progress should be stored now.
  [[nodiscard]] bool IsDue(std::size_t aHostCount, base::Instant aNow) const;

  /// Stores the progress of jobs that have advanced since it was last stored,
  /// up to the limits of one transaction, least recently stored first.
  void Store(std::vector<BatchJobProgress> aJobs, base::Instant aNow);

  /// Discards the record of a job that this host no longer runs.
  void Forget(const std::string& aJob) { stored_.erase(aJob); }

private:
  struct Stored
  {
    base::Instant at_;
    std::unordered_map<std::string, std::uint64_t>
      events_; ///< Last stored event, by item ID.
  };

  [[nodiscard]] bool HasAdvanced(const BatchJobProgress& aJob) const;
  [[nodiscard]] base::Instant StoredAt(const BatchJobProgress& aJob) const;
  void RecordStored(const BatchJobProgress& aJob, base::Instant aNow);

  metadata::StoreClient& store_;
  const batch::BatchJobKeySpace& keys_;
  std::unordered_map<std::string, Stored> stored_;
  base::Instant lastStoreAt_{};
  bool isStoring_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
