#pragma once

#include "LibSettings/Problem.h"

#include <Settings.pb.h>

#include <vector>

namespace pumiceturn::settings {

/// Checks names, addresses and required enums of a host list.
std::vector<Problem>
FindProblems(const HostList& aHosts);

} // namespace pumiceturn::settings
