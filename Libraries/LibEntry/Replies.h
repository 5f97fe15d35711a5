#pragma once

#include "LibBase/Result.h"
#include "LibEntry/OnlineAction.h"
#include "LibWire/Messages.h"

#include <Caller.pb.h>
#include <grpcpp/support/status.h>

#include <cstdint>
#include <string>

namespace pumiceturn::entry {

/// @return the gRPC status code for a result code.
grpc::StatusCode
ToStatusCode(base::ResultCode aCode);

caller::Outcome
MakeOutcome(base::ResultCode aCode,
            base::Ran aRan,
            std::uint32_t aRetryAfterMs = 0,
            const std::string& aDetail = {});

/// @return the status of a failed RPC; its details contain the serialized
/// outcome.
grpc::Status
MakeStatus(const caller::Outcome& aOutcome);

/// @return the status of a request that was refused and did not run.
grpc::Status
MakeRefusal(const base::Failure& aFailure, std::uint32_t aRetryAfterMs = 0);

grpc::Status
MakeStatus(const EmitFailed& aFailed);

caller::CallEvent
MakeEvent(const EmitAccepted& aAccepted, const std::string& aKey);

caller::CallEvent
MakeEvent(EmitChunk aChunk);

caller::CallEvent
MakeEvent(EmitFinished aFinished);

caller::ItemResult
MakeItemResult(wire::ItemResult aResult);

caller::JobStatus
MakeJobStatus(const wire::JobStatusReply& aReply);

} // namespace pumiceturn::entry
