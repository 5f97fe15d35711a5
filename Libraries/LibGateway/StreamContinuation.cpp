#include "LibGateway/StreamContinuation.h"

namespace pumiceturn::gateway {

void
StreamContinuation::BeginAttempt(const fleet::EndpointRecord& aEndpoint)
{
  splitter_.Clear();
  numbering_.Begin(lastEvent_);
  lastEventBeforeAttempt_ = lastEvent_;
  endpointId_ = aEndpoint.id_;
  attemptOrigin_ =
    fleet::StreamOrigin{ aEndpoint.service_, aEndpoint.softwareVersion_ };
}

bool
StreamContinuation::OnHead(std::string_view aResponderId)
{
  if (aResponderId.empty() || aResponderId == endpointId_) {
    return true;
  }
  attemptOrigin_.reset();
  return !HasBegun();
}

std::string
StreamContinuation::TakeEvents(std::string_view aBytes)
{
  std::string events;
  splitter_.Append(aBytes);
  while (const auto event = splitter_.Next()) {
    numbering_.Record(*event);
    // A resumed stream may repeat events, which the caller must not get twice.
    if (event->id_ != 0 && event->id_ <= lastEvent_) {
      continue;
    }
    if (!HasBegun()) {
      origin_ = attemptOrigin_;
    }
    lastEvent_ = event->id_;
    events.append(event->raw_);
  }
  return events;
}

} // namespace pumiceturn::gateway
