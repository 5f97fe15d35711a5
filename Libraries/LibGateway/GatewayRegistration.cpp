#include "LibGateway/Gateway.h"

#include "LibGateway/Events.h"

// The part of Gateway that accounts for its calls to the store, keeps the host
// registered and retires it.

namespace pumiceturn::gateway {

namespace {

constexpr std::chrono::seconds kStoreCallsLogInterval{ 10 };

/// How long the first read of the registered hosts waits for this host's own
/// registration, whose answer may get lost.
constexpr std::chrono::milliseconds kMaxRegistrationTime{ 500 };

/// How long another term of the host's lease must be needed before it is
/// changed, as hosts that start together don't see all others at once.
constexpr std::chrono::seconds kLeaseTermDelay{ 3 };

/// Delay before another attempt to report the end of the retirement.
constexpr std::chrono::milliseconds kRetirementReportDelay{ 300 };

} // namespace

void
Gateway::StartRegistration()
{
  const auto startMirror = [this] { mirrors_.Start(StorePrefix::Hosts); };
  if (settings_.DeclaresOrganisations()) {
    // Hosts that start together each register before they read the others: of
    // any two, the later one sees the earlier. A host that sees no other would
    // grant every rate limit alone.
    lease_.SetOnRegistered(startMirror);
    registrationTimer_.Start(kMaxRegistrationTime, startMirror);
  } else {
    startMirror();
  }
  lease_.Start();
}

void
Gateway::CountStoreCall(std::string_view aCall, std::string_view aKeys)
{
  shared_.metrics_
    .GetCounter("pumiceturn_store_calls_total",
                "Calls to the store, including repeated ones.",
                fmt::format("call=\"{}\",keys=\"{}\"", aCall, aKeys))
    .Add();
}

bool
Gateway::NeedsShortLease() const
{
  return worker_.HasJobs() || hosts_.IsPreferred(settings_.batchPreference_) ||
         shared_.routes_.Organisations().AreDeclared();
}

void
Gateway::UpdateLeaseTerm(base::Instant aNow)
{
  const metadata::HostLease::Term needed = NeedsShortLease()
                                             ? metadata::HostLease::kShortTerm
                                             : metadata::HostLease::kLongTerm;
  if (needed == lease_.CurrentTerm()) {
    otherTermNeededSince_.reset();
    return;
  }
  if (!otherTermNeededSince_) {
    otherTermNeededSince_ = aNow;
  }
  // The jobs of a host that is lost wait until its registration ends.
  if (worker_.HasJobs() || aNow - *otherTermNeededSince_ >= kLeaseTermDelay) {
    lease_.SetTerm(needed);
  }
}

void
Gateway::LogStoreCalls(base::Instant aNow)
{
  if (aNow - storeCallsLoggedAt_ < kStoreCallsLogInterval) {
    return;
  }
  storeCallsLoggedAt_ = aNow;
  std::string counts;
  for (const auto& [call, count] : store_.Counts()) {
    counts += fmt::format(
      "{}{}:{}={}", counts.empty() ? "" : ",", call.first, call.second, count);
  }
  base::Log(kStoreCalls, { { "calls", counts } });
}

void
Gateway::Retire()
{
  if (isRetiring_ || isStopping_) {
    return;
  }
  isRetiring_ = true;
  if (spool_) {
    spool_->SetDraining();
  }
  base::Log(kGatewayRetiring, { { "runs", worker_.AttemptCount() } });
  worker_.HandOver([this] { lease_.End([this] { ReportRetirement(); }); });
}

void
Gateway::ReportRetirement()
{
  // Operators remove the host and its disk after this report, so the spool must
  // be empty.
  if (spool_ && !spool_->IsEmpty()) {
    ScheduleRetirementReport();
    return;
  }
  store_.Commit(storeCodec_.MakeRetirementDone(settings_.host_),
                [this](const metadata::TransactionResponse& aResponse) {
                  if (aResponse.status_ == metadata::StoreStatus::Ok) {
                    return;
                  }
                  ScheduleRetirementReport();
                });
}

void
Gateway::ScheduleRetirementReport()
{
  stopTimer_.Start(kRetirementReportDelay, [this] { ReportRetirement(); });
}

} // namespace pumiceturn::gateway
