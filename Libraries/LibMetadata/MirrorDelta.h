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
  std::uint64_t lastChange_ = 0;
  /// The copy includes all changes up to this revision; there are no relevant
  /// ones after lastChange_.
  std::uint64_t followed_ = 0;
  /// Time since the store last confirmed this to the host directly.
  base::Duration age_{};
  /// The copy includes all changes made before this moment, which is when the
  /// call to the store that showed it was made. On the clock of the host that
  /// holds the copy.
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
