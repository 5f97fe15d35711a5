#pragma once

#include "LibFleet/EventNumbering.h"
#include "LibGateway/EndpointAttempt.h"

#include <string_view>

namespace pumiceturn::gateway {

/// How an attempt's response with events ended.
struct StreamEnd
{
  std::string_view request_; ///< Id of the request or the item.
  httpstream::CallOutcome outcome_ = httpstream::CallOutcome::Broken;
  std::uint64_t afterEvent_ = 0; ///< After which it was asked to go on.
  fleet::EventNumbering::Counts events_;
  bool endsWithinEvent_ = false;
};

[[nodiscard]] std::string_view
NameOf(httpstream::CallOutcome aOutcome);

/// Counts how responses with events end. Logs those from which a stream may
/// have a hole: they broke, have no other end than their connection's, or their
/// events don't count up by one.
void
ReportStreamEnd(SharedState& aShared,
                const EndpointAttempt& aAttempt,
                const StreamEnd& aEnd);

} // namespace pumiceturn::gateway
