#pragma once

#include "LibBatch/BatchJob.h"
#include "LibBatch/BatchJobKeys.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::batch {

/// The jobs that this host has read from the store: the states of all jobs, and
/// the content and results of loaded jobs. Keys may be applied in any order.
/// Must be used on the event thread.
class BatchJobTable
{
public:
  /// Decodes a job's content. Returns nullopt if it is malformed.
  using Decoder =
    std::function<std::optional<std::vector<BatchItem>>(std::string_view)>;

  BatchJobTable(BatchJobKeySpace aKeys, Decoder aDecoder)
    : keys_(std::move(aKeys))
    , decoder_(std::move(aDecoder))
  {
  }

  [[nodiscard]] const BatchJobKeySpace& Keys() const { return keys_; }

  /// Applies a key and value read from the store at a revision.
  /// @return the job ID, or nullopt if the key is not a job key.
  std::optional<std::string> Apply(std::string_view aKey,
                                   std::string_view aValue,
                                   std::uint64_t aRevision);

  /// Handles the removal of a key. Removing a state key removes the job.
  void Remove(std::string_view aKey);

  /// @return the job, or nullptr if its state is not known.
  [[nodiscard]] const BatchJob* Find(const std::string& aId) const;

  /// Marks a job as loaded after all its keys have been applied.
  /// @return false if the content is missing, incomplete or malformed, for
  ///   example while another host removes the job.
  bool FinishLoading(const std::string& aId);

  /// Discards everything about a job except its state.
  void Unload(const std::string& aId);

  /// @return the IDs of all open jobs: those that are neither cancelled nor
  ///   finished.
  [[nodiscard]] std::vector<std::string> OpenJobs() const;

  /// @return the IDs of all jobs with a known state.
  [[nodiscard]] std::vector<std::string> AllJobs() const;

private:
  static void ApplyFailures(BatchJob& aJob,
                            std::string_view aValue,
                            std::uint64_t aRevision);
  void JoinParts(BatchJob& aJob);
  static void JoinPages(BatchJob& aJob);

  BatchJobKeySpace keys_;
  Decoder decoder_;
  std::unordered_map<std::string, BatchJob> jobs_;
};

} // namespace pumiceturn::batch
