#pragma once

#include "LibBatch/BatchJob.h"

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// A submitted job with its content, before it is stored.
struct SpooledJob
{
  std::string id_;
  BatchJobState state_;
  std::string content_; ///< As submitted.

  bool operator==(const SpooledJob&) const = default;
};

/// @return the job serialized with a checksum, for storage or transfer.
std::string
EncodeSpooledJob(const SpooledJob& aJob);

/// @return the job, or nullopt if the text is incomplete or corrupt.
std::optional<SpooledJob>
DecodeSpooledJob(std::string_view aText);

} // namespace pumiceturn::batch
