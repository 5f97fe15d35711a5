#include "LibGateway/OnlineProxy.h"

#include "LibGateway/Events.h"

#include <algorithm>

// The part of OnlineProxy that resumes a stream which an earlier request of the
// caller began, here or at another host.

namespace pumiceturn::gateway {

namespace {

std::string_view
NameOf(fleet::OriginBasis aBasis)
{
  switch (aBasis) {
    case fleet::OriginBasis::OwnRecord:
      return "own_record";
    case fleet::OriginBasis::PeerRecord:
      return "peer_record";
    case fleet::OriginBasis::StoredRecord:
      return "stored_record";
    case fleet::OriginBasis::OnlyVersion:
      return "only_version";
    case fleet::OriginBasis::OnlyVersionConfirmed:
      break;
  }
  return "only_version_confirmed";
}

std::string_view
NameOf(fleet::OriginUnknown aCause)
{
  switch (aCause) {
    case fleet::OriginUnknown::NoRecord:
      return "no_record";
    case fleet::OriginUnknown::Ambiguous:
      return "ambiguous";
    case fleet::OriginUnknown::OldView:
      return "old_view";
    case fleet::OriginUnknown::NoEndpoints:
      break;
  }
  return "no_endpoints";
}

bool
HasTarget(const fleet::Route& aRoute, const std::string& aService)
{
  return std::any_of(
    aRoute.targets_.begin(), aRoute.targets_.end(), [&](const auto& aTarget) {
      return aTarget.service_ == aService;
    });
}

} // namespace

std::string_view
OnlineProxy::LoggedResumedId() const
{
  constexpr std::size_t kMaxLoggedBytes = 64;
  return std::string_view(call_.resumedRequestId_).substr(0, kMaxLoggedBytes);
}

void
OnlineProxy::RecordOrigin()
{
  if (!route_.isResumable_ || !stream_.Origin()) {
    return;
  }
  const bool isResumption = call_.lastEvent_ > 0;
  const std::string& id =
    isResumption ? call_.resumedRequestId_ : call_.requestId_;
  if (!id.empty()) {
    origins_.Record(id, *stream_.Origin(), route_.timeout_);
  }
}

void
OnlineProxy::FindOrigin()
{
  origins_.Find(
    call_.resumedRequestId_,
    route_,
    [self = shared_from_this()](const StreamOrigins::Result& aResult) {
      if (!self->isFinished_) {
        self->OnOrigin(aResult);
      }
    });
}

void
OnlineProxy::OnOrigin(const StreamOrigins::Result& aResult)
{
  if (const auto* cause =
        std::get_if<fleet::OriginUnknown>(&aResult.decision_)) {
    RejectUnknownStream(NameOf(*cause), aResult);
    return;
  }
  const auto& origin = std::get<fleet::OriginFound>(aResult.decision_);
  if (!HasTarget(route_, origin.origin_.service_)) {
    RejectUnknownStream("service_not_routed", aResult);
    return;
  }
  ResumeAt(origin, aResult);
}

void
OnlineProxy::ResumeAt(const fleet::OriginFound& aOrigin,
                      const StreamOrigins::Result& aResult)
{
  stream_.SetOrigin(aOrigin.origin_);
  base::Log(kStreamResumed,
            { { "request", call_.requestId_ },
              { "resumes", LoggedResumedId() },
              { "after_event", stream_.LastEvent() },
              { "service", aOrigin.origin_.service_ },
              { "software", aOrigin.origin_.version_ },
              { "basis", NameOf(aOrigin.basis_) },
              { "record_age_ms", base::ToMs(aOrigin.age_) },
              { "view_age_ms", base::ToMs(aResult.viewAge_) },
              { "store_read_age_ms", base::ToMs(aResult.storeReadAge_) },
              { "versions", aResult.origins_ },
              { "asked", aResult.asked_ },
              { "answers", aResult.answers_ } });
  shared_.metrics_
    .GetCounter("pumiceturn_streams_resumed_total",
                "Streams that callers resumed, by how their version was known.",
                fmt::format("basis=\"{}\"", NameOf(aOrigin.basis_)))
    .Add();
  TryNextEndpoint();
}

void
OnlineProxy::RejectUnknownStream(std::string_view aCause,
                                 const StreamOrigins::Result& aResult)
{
  base::Log(kStreamNotResumed,
            { { "request", call_.requestId_ },
              { "resumes", LoggedResumedId() },
              { "after_event", stream_.LastEvent() },
              { "cause", aCause },
              { "view_age_ms", base::ToMs(aResult.viewAge_) },
              { "store_read_age_ms", base::ToMs(aResult.storeReadAge_) },
              { "versions", aResult.origins_ },
              { "asked", aResult.asked_ },
              { "answers", aResult.answers_ } });
  shared_.metrics_
    .GetCounter("pumiceturn_streams_not_resumed_total",
                "Streams that callers couldn't resume.",
                fmt::format("cause=\"{}\"", aCause))
    .Add();
  RespondUnavailable();
}

} // namespace pumiceturn::gateway
