#pragma once

#include "LibBase/Result.h"

#include <string>

namespace pumiceturn::settings {

/// Writes docs/SETTINGS.md: all keys of settings, declarations and load plans.
/// @param aFolder Where the schema files are.
base::Result<std::string>
WriteReferencePage(const std::string& aFolder);

} // namespace pumiceturn::settings
