#pragma once

#include "LibBase/Result.h"

#include <Caller.pb.h>
#include <grpcpp/support/status.h>

#include <string>

namespace pumiceturn::client {

/// @return the outcome that a failed RPC carries in its details, or one made
/// from the status where it carries none: Disconnected when the entry could
/// not be reached, TimedOut when the RPC's deadline passed, Internal else.
caller::Outcome
OutcomeOf(const grpc::Status& aStatus);

/// @return whether another entry may do better: this one could not be reached,
/// was lost, or is leaving.
bool
ShouldTryNextEntry(const grpc::Status& aStatus);

/// @return the outcome as one line for a person.
std::string
Describe(const caller::Outcome& aOutcome);

/// @return a Failure with the outcome's code and description.
boost::leaf::error_id
FailWith(const caller::Outcome& aOutcome);

} // namespace pumiceturn::client
