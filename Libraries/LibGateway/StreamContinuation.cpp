#include "LibGateway/StreamContinuation.h"

#include <utility>

namespace pumiceturn::gateway {

void
StreamContinuation::BeginAttempt(const fleet::EndpointRecord& aEndpoint)
{
  splitter_.Clear();
  numbering_.Begin(lastEvent_);
  lastEventBeforeAttempt_ = lastEvent_;
  hasEventElsewhere_ = false;
  leadingComments_.clear();
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
  while (!hasEventElsewhere_) {
    const auto event = splitter_.Next();
    if (!event) {
      break;
    }
    const fleet::EventPlace place = numbering_.Record(*event);
    hasEventElsewhere_ = place == fleet::EventPlace::Elsewhere;
    if (!hasEventElsewhere_) {
      Take(*event, place, events);
    }
  }
  return events;
}

void
StreamContinuation::Take(const fleet::StreamEvent& aEvent,
                         fleet::EventPlace aPlace,
                         std::string& aEvents)
{
  std::string_view bytes = aEvent.raw_;
  if (hasBegun_ && bytes.starts_with(fleet::kByteOrderMark)) {
    bytes.remove_prefix(fleet::kByteOrderMark.size());
  }
  if (aPlace == fleet::EventPlace::NoEvent && !hasBegun_) {
    leadingComments_.append(bytes);
    return;
  }
  if (aPlace != fleet::EventPlace::NoEvent) {
    if (!std::exchange(hasBegun_, true)) {
      origin_ = attemptOrigin_;
      aEvents.append(std::exchange(leadingComments_, {}));
    }
    endsUnnumbered_ = aPlace == fleet::EventPlace::Unnumbered;
    lastEvent_ = endsUnnumbered_ ? lastEvent_ : aEvent.id_;
  }
  aEvents.append(bytes);
}

} // namespace pumiceturn::gateway
