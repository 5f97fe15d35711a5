#include "LibGateway/StreamReport.h"

#include "LibGateway/Events.h"

#include <fmt/format.h>

namespace pumiceturn::gateway {

namespace {

std::string_view
NameOf(httpstream::ResponseFraming aFraming)
{
  switch (aFraming) {
    case httpstream::ResponseFraming::Length:
      return "length";
    case httpstream::ResponseFraming::Chunked:
      return "chunked";
    case httpstream::ResponseFraming::ConnectionEnd:
      break;
  }
  return "connection";
}

void
CountIrregular(SharedState& aShared,
               std::string_view aKind,
               std::uint64_t aCount)
{
  if (aCount > 0) {
    aShared.metrics_
      .GetCounter("pumiceturn_irregular_events_total",
                  "Event numbers in responses that don't count up by one.",
                  fmt::format("kind=\"{}\"", aKind))
      .Add(aCount);
  }
}

} // namespace

std::string_view
NameOf(httpstream::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case httpstream::CallOutcome::Complete:
      return "complete";
    case httpstream::CallOutcome::NotConnected:
      return "not_connected";
    case httpstream::CallOutcome::Broken:
      return "broken";
    case httpstream::CallOutcome::TimedOut:
      return "silent";
    case httpstream::CallOutcome::Unconfirmed:
      return "unconfirmed";
    case httpstream::CallOutcome::Malformed:
      break;
  }
  return "unintelligible";
}

void
ReportStreamEnd(SharedState& aShared,
                const EndpointAttempt& aAttempt,
                const StreamEnd& aEnd)
{
  const auto& events = aEnd.events_;
  const std::string_view framing = NameOf(aAttempt.Framing());
  aShared.metrics_
    .GetCounter(
      "pumiceturn_stream_responses_total",
      "Responses with events, by how their end is marked and how they ended.",
      fmt::format("framing=\"{}\",end=\"{}\"", framing, NameOf(aEnd.outcome_)))
    .Add();
  CountIrregular(aShared, "skipped", events.skipped_);
  CountIrregular(aShared, "repeated", events.repeated_);
  CountIrregular(aShared, "unnumbered", events.unnumbered_);
  const bool isComplete = aEnd.outcome_ == httpstream::CallOutcome::Complete;
  const bool isMarked =
    aAttempt.Framing() != httpstream::ResponseFraming::ConnectionEnd;
  if (isComplete && isMarked && events.IsRegular() && !aEnd.endsWithinEvent_) {
    return;
  }
  base::Log(kStreamResponseEnded,
            { { "request", aEnd.request_ },
              { "service", aAttempt.Endpoint().service_ },
              { "endpoint", aAttempt.Endpoint().id_ },
              { "born_ms", aAttempt.Endpoint().startedAtMs_ },
              { "software", aAttempt.Endpoint().softwareVersion_ },
              { "connection_age_ms", base::ToMs(aAttempt.ConnectionAge()) },
              { "framing", framing },
              { "end", NameOf(aEnd.outcome_) },
              { "within_event", aEnd.endsWithinEvent_ },
              { "after_event", aEnd.afterEvent_ },
              { "first_event", events.first_ },
              { "last_event", events.last_ },
              { "events", events.events_ },
              { "skipped", events.skipped_ },
              { "repeated", events.repeated_ },
              { "unnumbered", events.unnumbered_ } });
}

} // namespace pumiceturn::gateway
