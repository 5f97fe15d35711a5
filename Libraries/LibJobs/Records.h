#pragma once

#include "LibWire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// C++ structs of the log records in Schema/JobLog.capnp.
namespace pumiceturn::jobs {

/// Description of a batch job or online request that is not accepted yet. Its
/// items follow in ItemsAccepted records.
struct JobOpened
{
  wire::JobDescription job_;

  bool operator==(const JobOpened&) const = default;
};

struct ItemsAccepted
{
  base::JobId job_;
  std::uint32_t firstItem_ = 0;
  std::vector<wire::JobItem> items_;

  bool operator==(const ItemsAccepted&) const = default;
};

/// All items are in the log and the job is accepted.
struct JobAccepted
{
  base::JobId job_;

  bool operator==(const JobAccepted&) const = default;
};

struct ItemEnded
{
  base::RunId run_;
  wire::ItemResult result_;

  bool operator==(const ItemEnded&) const = default;
};

struct ItemsEnded
{
  std::vector<ItemEnded> ended_;

  bool operator==(const ItemsEnded&) const = default;
};

/// Appended before the first dispatch of a non-idempotent item, so that it is
/// not run again after a takeover, and before the rerun of an idempotent item
/// after a failed attempt, so that the attempt limit holds across a takeover.
struct ItemStarted
{
  base::RunId run_;
  /// Endpoint whose agent runs the item. Agents have the names of their
  /// endpoints.
  std::string endpoint_;

  bool operator==(const ItemStarted&) const = default;
};

struct JobCancelled
{
  base::JobId job_;

  bool operator==(const JobCancelled&) const = default;
};

struct EpochStarted
{
  std::uint64_t epoch_ = 0;
  std::string owner_;

  bool operator==(const EpochStarted&) const = default;
};

using RecordBody = std::variant<JobOpened,
                                ItemsAccepted,
                                JobAccepted,
                                ItemsEnded,
                                ItemStarted,
                                JobCancelled,
                                EpochStarted>;

/// One record of a partition's log.
struct Record
{
  std::int64_t wallUnixMs_ = 0; ///< When the owner made the record.
  RecordBody body_;

  bool operator==(const Record&) const = default;
};

} // namespace pumiceturn::jobs
