#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::batch {

/// One item as its sender gave it.
struct BatchItem
{
  std::string id_;
  std::string path_;
  std::vector<std::pair<std::string, std::string>> fields_; ///< HTTP fields.
  std::string body_;
  std::uint64_t tokens_ = 0; ///< Of the prompt and the longest output.
};

enum class ItemState : std::uint8_t
{
  Completed,
  Errored, ///< Given up; has no output.
};

/// The result of one item. Immutable, with a position that never changes.
struct ItemResult
{
  std::string item_;
  ItemState state_ = ItemState::Errored;
  std::string output_;

  bool operator==(const ItemResult&) const = default;
};

/// A run that was stopped: another endpoint goes on after its last event.
struct PartialOutput
{
  std::uint64_t lastEvent_ = 0;
  std::string output_;

  bool operator==(const PartialOutput&) const = default;
};

/// What is stored of a job besides its content and results.
struct BatchJobState
{
  std::string owner_; ///< Host and incarnation that runs it; empty: none.
  std::int64_t acceptedAtMs_ = 0; ///< Unix time.
  std::uint32_t itemCount_ = 0;
  std::uint32_t partCount_ = 0; ///< Keys that hold the content.
  std::string hostName_;        ///< Of the request that submitted it.
  std::string path_;
  bool isEnded_ = false;    ///< Its sender wants no more results.
  bool isFinished_ = false; ///< Each item has its result.
  /// Whose keys may read and end it; empty: anyone's, and callers without one.
  std::string organisation_{};

  bool operator==(const BatchJobState&) const = default;
};

/// A job as this host knows it from the store.
struct BatchJob
{
  std::string id_;
  BatchJobState state_;
  std::uint64_t stateRevision_ = 0; ///< 0: the state isn't known yet.
  std::map<std::uint32_t, std::string> parts_;
  std::optional<std::vector<BatchItem>> items_; ///< Once all parts are here.
  std::vector<ItemResult> results_;             ///< By position, without gaps.
  std::map<std::uint32_t, std::vector<ItemResult>> pages_;  ///< Not yet joined.
  std::unordered_map<std::string, PartialOutput> progress_; ///< By item.
  /// Content and all results of a moment are here, not the state alone.
  bool isLoaded_ = false;

  [[nodiscard]] bool IsOpen() const
  {
    return !state_.isEnded_ && !state_.isFinished_;
  }
};

/// @return the tokens of all items.
std::uint64_t
TokensOf(const std::vector<BatchItem>& aItems);

std::string
EncodeState(const BatchJobState& aState);

/// @return nothing where the text is not a state.
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
