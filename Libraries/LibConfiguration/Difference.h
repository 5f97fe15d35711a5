#pragma once

#include <Declarations.pb.h>

#include <string>

namespace pumiceturn::configuration {

/// Says in lines of text what changed: "+ partner x", "- endpoint y of
/// service z", "~ kind k of service z: deadline_ms: 500 -> 800". Entries are
/// matched by name, so their order does not matter.
/// @return empty text where nothing changed.
std::string
DescribeDifference(const declarations::Declarations& aOld,
                   const declarations::Declarations& aNew);

/// As above, with the operators' standing orders: "+ drained host x".
std::string
DescribeDifference(const declarations::Configuration& aOld,
                   const declarations::Configuration& aNew);

} // namespace pumiceturn::configuration
