#pragma once

#include "LibBase/Time.h"

#include <compare>
#include <set>
#include <string>
#include <variant>

namespace pumiceturn::fleet {

/// The service and the software version of the endpoint that began a stream.
struct StreamOrigin
{
  std::string service_;
  std::string version_;

  auto operator<=>(const StreamOrigin&) const = default;
};

/// Where a stream may have begun.
using OriginSet = std::set<StreamOrigin>;

/// No host that was asked has a record of the stream.
struct UnknownOrigin
{};

/// Streams of several origins have the same request id.
struct AmbiguousOrigin
{};

/// The record of where a stream began.
struct KnownOrigin
{
  StreamOrigin origin_;
  base::Duration age_{ 0 }; ///< Time since the record was made.
};

/// What a host knows about where a stream began.
using OriginRecord = std::variant<UnknownOrigin, AmbiguousOrigin, KnownOrigin>;

} // namespace pumiceturn::fleet
