#pragma once

#include "LibBase/Time.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <vector>

namespace pumiceturn::metadata {

/// How far a host's copy of a prefix has got.
struct MirrorView
{
  /// Revision of the newest change in the copy that matters.
  std::uint64_t lastChange_ = 0;
  /// The copy holds all changes up to here; between lastChange_ and here
  /// nothing changed that matters.
  std::uint64_t followed_ = 0;
  /// Time since the store itself told that host so.
  base::Duration age_{};
  /// The copy held all changes of this moment: the call to the store that
  /// showed it was made then. On the clock of the host that has the view.
  base::BootInstant completeAsOf_{};
};

/// Changes of a prefix, as one host passes them on to its peers.
struct MirrorDelta
{
  /// The change before the first of these. A copy that does not reach it has
  /// missed something.
  std::uint64_t previousChange_ = 0;
  MirrorView view_; ///< With these changes.
  std::vector<StoreItem> items_;
};

} // namespace pumiceturn::metadata
