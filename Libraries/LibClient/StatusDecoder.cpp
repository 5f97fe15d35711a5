#include "LibClient/StatusDecoder.h"

#include <fmt/format.h>

namespace pumiceturn::client {

namespace {

using base::ResultCode;

/// The outcome in the details, with code 0 where there is none.
caller::Outcome
ParseDetails(const grpc::Status& aStatus)
{
  caller::Outcome outcome;
  if (!outcome.ParseFromString(aStatus.error_details())) {
    outcome.Clear();
  }
  return outcome;
}

ResultCode
CodeOf(grpc::StatusCode aCode)
{
  switch (aCode) {
    case grpc::StatusCode::UNAVAILABLE:
      return ResultCode::Disconnected;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return ResultCode::TimedOut;
    case grpc::StatusCode::CANCELLED:
      return ResultCode::Cancelled;
    case grpc::StatusCode::UNAUTHENTICATED:
      return ResultCode::Unauthenticated;
    default:
      return ResultCode::Internal;
  }
}

std::string_view
DescribeRan(caller::Ran aRan)
{
  switch (aRan) {
    case caller::RAN_NOT_RUN:
      return "not run";
    case caller::RAN_RAN:
      return "ran";
    case caller::RAN_UNKNOWN:
      return "may have run";
    default:
      return "";
  }
}

} // namespace

caller::Outcome
OutcomeOf(const grpc::Status& aStatus)
{
  caller::Outcome outcome = ParseDetails(aStatus);
  if (aStatus.ok() || outcome.code() != 0) {
    return outcome;
  }
  const ResultCode code = CodeOf(aStatus.error_code());
  outcome.set_code(static_cast<std::uint32_t>(code));
  outcome.set_name(std::string(base::NameOf(code)));
  outcome.set_message(aStatus.error_message());
  return outcome;
}

bool
ShouldTryNextEntry(const grpc::Status& aStatus)
{
  const auto code = static_cast<ResultCode>(ParseDetails(aStatus).code());
  const bool isUnreached =
    aStatus.error_code() == grpc::StatusCode::UNAVAILABLE &&
    code == ResultCode::Ok;
  return isUnreached || code == ResultCode::Draining;
}

std::string
Describe(const caller::Outcome& aOutcome)
{
  std::string line = fmt::format("{} {}", aOutcome.code(), aOutcome.name());
  if (!aOutcome.message().empty()) {
    line += ": " + aOutcome.message();
  }
  const std::string_view ran = DescribeRan(aOutcome.ran());
  if (!ran.empty()) {
    line += fmt::format(" ({})", ran);
  }
  if (aOutcome.retry_after_ms() > 0) {
    line += fmt::format("; try again in {} ms", aOutcome.retry_after_ms());
  }
  return line;
}

boost::leaf::error_id
FailWith(const caller::Outcome& aOutcome)
{
  return base::Fail(static_cast<ResultCode>(aOutcome.code()),
                    Describe(aOutcome));
}

} // namespace pumiceturn::client
