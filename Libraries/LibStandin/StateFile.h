#pragma once

#include "LibBase/Result.h"
#include "LibStandin/KeyValueStore.h"

#include <string>

namespace pumiceturn::standin {

/// Writes a store's keys and revision to a file, which is replaced whole.
/// @return InputOutput if it cannot be written.
base::Result<void>
SaveState(const KeyValueStore& aStore, const std::string& aPath);

/// Takes a store's keys and revision from a file; a missing file is an empty
/// store.
/// @return CorruptRecord if it is malformed.
base::Result<void>
LoadState(KeyValueStore& aStore, const std::string& aPath);

} // namespace pumiceturn::standin
