#pragma once

#include "LibBase/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::settings {

/// What a YAML file of the system holds.
enum class FileType : std::uint8_t
{
  Settings,
  Declarations,
  HostList,
  LoadPlan,
};

/// @return the type's name for a person.
std::string_view
NameOf(FileType aType);

/// Checks a file of any type. The type is the one that knows most of the file's
/// keys.
/// @return the type, or a failure whose detail lists every problem as
/// `file:line:column: code name: field: text`.
base::Result<FileType>
CheckFile(const std::string& aPath);

} // namespace pumiceturn::settings
