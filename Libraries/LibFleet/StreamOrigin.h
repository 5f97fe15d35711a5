#pragma once

#include "LibBase/Time.h"

#include <set>
#include <string>
#include <tuple>
#include <variant>

namespace pumiceturn::fleet {

/// The service and the software version of the endpoint that began a stream.
struct StreamOrigin
{
  std::string service_;
  std::string version_;

  bool operator==(const StreamOrigin&) const = default;
  bool operator<(const StreamOrigin& aOther) const
  {
    return std::tie(service_, version_) <
           std::tie(aOther.service_, aOther.version_);
  }
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
