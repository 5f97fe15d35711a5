#pragma once

#include "LibBase/Result.h"

#include <Settings.pb.h>

#include <string>

namespace pumiceturn::platform {

/// Reads a host list from YAML, of which JSON is a part.
/// @return MalformedYaml, UnknownKey, WrongType or MissingField.
base::Result<settings::HostList>
ReadHostList(const std::string& aText);

} // namespace pumiceturn::platform
