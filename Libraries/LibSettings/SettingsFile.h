#pragma once

#include "LibBase/Result.h"
#include "LibSettings/Problem.h"

#include <Settings.pb.h>

#include <string>
#include <vector>

namespace pumiceturn::settings {

/// Sets each field that has no value to its documented default.
/// @param aGiven Fields that the file gives; they keep their value, even 0.
void
ApplyDefaults(const PositionTable& aGiven, Settings& aSettings);

/// Checks ranges, addresses and that each function has its section.
/// @return what is wrong, in the order of the schema.
std::vector<Problem>
FindProblems(const Settings& aSettings);

/// Reads a process's settings, applies the defaults and checks the whole.
/// @return the settings, or a failure whose detail lists every problem as
/// `file:line:column: code name: field: text`.
base::Result<Settings>
LoadSettingsFile(const std::string& aPath);

} // namespace pumiceturn::settings
