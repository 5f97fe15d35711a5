#pragma once

#include "LibBatch/BatchJob.h"

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// A job that was accepted before the store had it.
struct SpooledJob
{
  std::string id_;
  BatchJobState state_;
  std::string content_; ///< As its sender gave it.

  bool operator==(const SpooledJob&) const = default;
};

/// @return the job as one text with a checksum, for a disk or a peer.
std::string
EncodeSpooledJob(const SpooledJob& aJob);

/// @return nothing where the text is not whole.
std::optional<SpooledJob>
DecodeSpooledJob(std::string_view aText);

} // namespace pumiceturn::batch
