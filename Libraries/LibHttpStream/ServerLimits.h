#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::httpstream {

/// Limits on requests and connections. Operators may change them at run time; a
/// connection follows a change from its next request on.
struct ServerLimits
{
  std::uint32_t maxHeaderBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  base::Duration headerTimeout_{ std::chrono::seconds{ 3 } };
  base::Duration idleTimeout_{ std::chrono::seconds{ 15 } };
};

} // namespace pumiceturn::httpstream
