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

/// All jobs as this host knows them: the states of all, and content and results
/// of those that it runs. Takes the store's keys in any order. Belongs to the
/// event thread.
class BatchJobTable
{
public:
  /// Reads a job's content. The sender's format is the adapter's matter.
  using Decoder =
    std::function<std::optional<std::vector<BatchItem>>(std::string_view)>;

  BatchJobTable(BatchJobKeySpace aKeys, Decoder aDecoder)
    : keys_(std::move(aKeys))
    , decoder_(std::move(aDecoder))
  {
  }

  [[nodiscard]] const BatchJobKeySpace& Keys() const { return keys_; }

  /// Takes over a key as stored.
  /// @return the job's id, if the key was one of a job.
  std::optional<std::string> Apply(std::string_view aKey,
                                   std::string_view aValue,
                                   std::uint64_t aRevision);

  /// A key was removed: with its state a job is gone.
  void Remove(std::string_view aKey);

  /// @return nullptr where no such job is known here with its state.
  [[nodiscard]] const BatchJob* Find(const std::string& aId) const;

  /// All keys of a job have been applied.
  /// @return false if the content is not whole: another host is still storing.
  bool FinishLoading(const std::string& aId);

  /// Forgets all of a job but its state.
  void Unload(const std::string& aId);

  /// @return ids of all jobs that may still get results.
  [[nodiscard]] std::vector<std::string> OpenJobs() const;

  /// @return all jobs that have a state.
  [[nodiscard]] std::vector<std::string> AllJobs() const;

private:
  void JoinParts(BatchJob& aJob);
  static void JoinPages(BatchJob& aJob);

  BatchJobKeySpace keys_;
  Decoder decoder_;
  std::unordered_map<std::string, BatchJob> jobs_;
};

} // namespace pumiceturn::batch
