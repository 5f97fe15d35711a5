#include "LibGateway/ProcessQuery.h"

#include "LibHttpStream/Status.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Largest report that is read. Endpoints list the runs that they have.
constexpr std::uint64_t kMaxReportBytes = 256ULL * 1024;

/// @return whether a status says that the endpoint can't answer now, rather
///         than that it has no report.
bool
IsTemporary(unsigned aStatus)
{
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kNotImplemented = 501;
  return aStatus == httpstream::kStatusTooManyRequests ||
         (aStatus >= kFirstServerError && aStatus != kNotImplemented);
}

} // namespace

ProcessQuery::ProcessQuery(const Codec& aCodec,
                           SilenceHandler aOnSilence,
                           ResultHandler aOnResult)
  : codec_(aCodec)
  , onSilence_(std::move(aOnSilence))
  , onResult_(std::move(aOnResult))
{
}

void
ProcessQuery::Start(httpstream::ClientConnection& aConnection,
                    std::string_view aEndpoint,
                    std::string_view aAddress,
                    base::Duration aTimeout)
{
  httpstream::Call call;
  call.bytes_ =
    httpstream::Serialize(codec_.MakeReportRequest(aEndpoint, aAddress));
  // The report has no request id, so a response with one is a late copy of the
  // response to an earlier request on this connection.
  call.echoField_ = codec_.EchoField();
  call.firstByteTimeout_ = aTimeout;
  call.gapTimeout_ = aTimeout;
  call.limits_ = { kMaxReportBytes, aTimeout };
  aConnection.Start(std::move(call), *this);
}

void
ProcessQuery::OnHead(const httpstream::ResponseHead& aHead)
{
  status_ = aHead.result_int();
  const auto length = boost::beast::http::field::content_length;
  const auto encoding = boost::beast::http::field::transfer_encoding;
  hasMarkedEnd_ = aHead.count(length) > 0 || aHead.count(encoding) > 0;
}

void
ProcessQuery::OnBody(std::string_view aBytes)
{
  body_.append(aBytes);
}

httpstream::SilenceDecision
ProcessQuery::OnSilence(const httpstream::Silence& aSilence)
{
  return onSilence_(aSilence);
}

ProcessAnswer
ProcessQuery::Evaluate(httpstream::CallOutcome aOutcome) const
{
  if (aOutcome != httpstream::CallOutcome::Complete) {
    return ProcessQueryFailed{ aOutcome };
  }
  if (status_ == httpstream::kStatusMisdirected) {
    return OtherInstanceAnswered{};
  }
  if (IsTemporary(status_)) {
    return ProcessQueryFailed{ httpstream::CallOutcome::Malformed };
  }
  if (status_ == httpstream::kStatusOk) {
    // The process may have ended within its report.
    if (!hasMarkedEnd_ && !nlohmann::json::accept(body_)) {
      return ProcessQueryFailed{ httpstream::CallOutcome::Broken };
    }
    if (const auto startedAtMs = codec_.ReadProcessStart(body_)) {
      return ProcessStart{ *startedAtMs };
    }
  }
  return ProcessStartNotTold{ status_ == httpstream::kStatusOk };
}

void
ProcessQuery::OnEnd(httpstream::CallOutcome aOutcome)
{
  // The handler may destroy this query.
  const ResultHandler onResult = std::move(onResult_);
  onResult(Evaluate(aOutcome));
}

} // namespace pumiceturn::gateway
