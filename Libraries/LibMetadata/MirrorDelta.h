#pragma once

#include "LibBase/Time.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <vector>

namespace pumiceturn::metadata {

/// State of a host's copy of a prefix.
struct MirrorView
{
  /// Revision of the newest relevant change in the copy.
  std::uint64_t lastChangeRevision_ = 0;
  /// The copy includes all changes up to this revision; none of those after
  /// lastChangeRevision_ is relevant (see PrefixMirror::ChangeHandler).
  std::uint64_t followedRevision_ = 0;
  /// Time since the store last confirmed this to the host directly.
  base::Duration age_{};
  /// The copy includes all changes made before this time: the start of the
  /// store call that confirmed it, on the clock of the host that holds the
  /// copy.
  base::BootInstant completeAsOf_{};
};

/// Changes of a prefix that a follower sends to its peers.
struct MirrorDelta
{
  /// Revision of the change before the first of these. A copy that doesn't
  /// include it has missed a change.
  std::uint64_t previousChange_ = 0;
  MirrorView view_; ///< State of the sender's copy, including these changes.
  std::vector<StoreItem> items_;
};

} // namespace pumiceturn::metadata
