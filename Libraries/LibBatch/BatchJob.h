#pragma once

#include "LibBase/Time.h"
#include "LibBatch/ItemFailures.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::batch {

/// One item of a job, as submitted.
struct BatchItem
{
  std::string id_;
  std::string path_;
  /// HTTP header fields.
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;
  std::uint64_t tokens_ = 0; ///< Prompt tokens plus maximum output tokens.
};

enum class ItemState : std::uint8_t
{
  Completed,
  Errored, ///< Has no output: rejected, failed too often or abandoned.
};

/// The immutable result of one item. Its position in the job's results never
/// changes.
struct ItemResult
{
  std::string item_;
  ItemState state_ = ItemState::Errored;
  std::string output_;

  bool operator==(const ItemResult&) const = default;
};

/// Output of an interrupted attempt. The next attempt resumes after its last
/// event.
struct PartialOutput
{
  std::uint64_t lastEvent_ = 0;
  std::string output_;
  /// Service and software version that the events are from. Only the same go on
  /// with them. Empty if not known.
  std::string service_{};
  std::string softwareVersion_{};

  bool operator==(const PartialOutput&) const = default;
};

/// The stored state of a job, without its content and results.
struct BatchJobState
{
  /// Host name and process number of the owner, e.g. "worker-1/2"; empty:
  /// none.
  std::string owner_;
  std::int64_t acceptedAtMs_ = 0; ///< Unix time.
  std::uint32_t itemCount_ = 0;
  std::uint32_t partCount_ = 0; ///< Number of keys that hold the content.
  std::string hostName_;        ///< Of the submitting request, without port.
  std::string path_;
  bool isCancelled_ = false; ///< The submitter has cancelled the job.
  bool isFinished_ = false;  ///< Every item has a result.
  /// Organisation whose API keys may read and cancel the job. Empty: any caller
  /// may, with or without a key.
  std::string organisation_{};

  bool operator==(const BatchJobState&) const = default;
};

/// A job as read from the store so far.
struct BatchJob
{
  std::string id_;
  BatchJobState state_;
  std::uint64_t stateRevision_ = 0; ///< 0: the state has not been read.
  std::map<std::uint32_t, std::string> parts_;
  /// Set once the state and all parts have been read and decoded.
  std::optional<std::vector<BatchItem>> items_;
  std::vector<ItemResult> results_; ///< Ordered by position, without gaps.
  /// Pages after a gap, by position.
  std::map<std::uint32_t, std::vector<ItemResult>> pages_;
  /// Keyed by item ID.
  std::unordered_map<std::string, PartialOutput> progress_;
  FailureCounts failures_;
  std::uint64_t failuresRevision_ = 0; ///< 0: no record has been read.
  bool areFailuresUnreadable_ = false; ///< Their record is malformed.
  /// Whether the content, results, progress and failures have been read, not
  /// only the state.
  bool isLoaded_ = false;

  /// @return whether the job is open: neither cancelled nor finished. Otherwise
  ///   it is closed.
  [[nodiscard]] bool IsOpen() const
  {
    return !state_.isCancelled_ && !state_.isFinished_;
  }
};

/// @return the total number of tokens of all items.
std::uint64_t
TokensOf(const std::vector<BatchItem>& aItems);

std::string
EncodeState(const BatchJobState& aState);

/// @return the state, or nullopt if the text is malformed.
std::optional<BatchJobState>
DecodeState(std::string_view aText);

std::string
EncodeResults(const std::vector<ItemResult>& aResults);

std::optional<std::vector<ItemResult>>
DecodeResults(std::string_view aText);

std::string
EncodeProgress(const std::unordered_map<std::string, PartialOutput>& aProgress);

std::optional<std::unordered_map<std::string, PartialOutput>>
DecodeProgress(std::string_view aText);

} // namespace pumiceturn::batch
