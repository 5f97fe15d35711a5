#include "LibGateway/Gateway.h"

#include "LibGateway/CrashReports.h"
#include "LibHttpStream/Status.h"

#include <string_view>
#include <variant>

// The part of Gateway that refuses requests that crash endpoints.

namespace pumiceturn::gateway {

namespace {

/// How long a host that starts waits for the store to say which features are
/// refused. Then it relies on what its peers send.
constexpr std::chrono::milliseconds kMaxWaitForRefused{ 600 };

/// On the metrics address: GET lists the features that are refused, DELETE of
/// PATH/FEATURE lifts one.
constexpr std::string_view kRefusedFeaturesPath = "/refused-features";

} // namespace

bool
Gateway::KnowsRefusedFeatures() const
{
  return hasBeenReady_ || crashVerdictStore_.HasBeenRead() ||
         base::MonotonicNow() - startedAt_ >= kMaxWaitForRefused;
}

bool
Gateway::RejectAsCrashing(
  const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  if (shared_.crashes_.RefusedCount() == 0) {
    return false;
  }
  const httpstream::Request& request = aExchange->GetRequest();
  const CallerFields fields = shared_.codec_.ReadCallerFields(request);
  const fleet::CrashAssessment assessment =
    shared_.crashes_.Assess(FeaturesOf(request, fields), base::MonotonicNow());
  const auto* refusal = std::get_if<fleet::CrashesEndpoints>(&assessment);
  if (refusal == nullptr || refusal->isTrialDue_) {
    return false;
  }
  ReportRefusal(shared_, fields.requestId_, *refusal);
  aExchange->Respond(shared_.codec_.MakeUnavailable(RetryAfter(*refusal)));
  return true;
}

void
Gateway::OnOperatorRequest(httpstream::Exchange& aExchange)
{
  const httpstream::Request& request = aExchange.GetRequest();
  std::string_view target = httpstream::TargetOf(request);
  if (!target.starts_with(kRefusedFeaturesPath)) {
    OnStatusRequest(aExchange);
    return;
  }
  target.remove_prefix(kRefusedFeaturesPath.size());
  if (request.method() == boost::beast::http::verb::get) {
    aExchange.Respond(httpstream::MakeResponse(
      httpstream::kStatusOk,
      WriteVerdicts(shared_.crashes_, base::MonotonicNow()),
      "application/json"));
    return;
  }
  const bool isDelete =
    request.method() == boost::beast::http::verb::delete_ && !target.empty();
  const auto feature = isDelete ? ParseFeature(target.substr(1)) : std::nullopt;
  const bool isLifted =
    feature && shared_.crashes_.Lift(*feature, base::MonotonicNow());
  aExchange.Respond(httpstream::MakeResponse(
    isLifted ? httpstream::kStatusOk : httpstream::kStatusNotFound, {}));
}

} // namespace pumiceturn::gateway
