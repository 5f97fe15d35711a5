#include "LibGateway/AccessControl.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// Share of the revocation bound reserved for message delay and clock error.
constexpr double kRevocationMargin = 0.1;

/// Maximum wait for the owner's response, which usually arrives within one
/// round trip; then this host decides alone, so that
/// a lost datagram delays the request only by this much.
constexpr std::chrono::milliseconds kOwnerTimeout{ 60 };

/// Suggested to callers whose key or organisation this host can't check now.
constexpr std::chrono::milliseconds kUncheckedRetryAfter{ 400 };

std::string_view
RequestIdOf(const SharedState& aShared, const httpstream::Request& aRequest)
{
  return httpstream::ValueOf(aRequest, aShared.codec_.EchoField());
}

/// @return milliseconds, or -1 if there is no such time.
std::int64_t
ToMsOrNone(std::optional<base::Duration> aTime)
{
  return aTime ? base::ToMs(*aTime) : -1;
}

} // namespace

AccessControl::AccessControl(boost::asio::any_io_executor aExecutor,
                             SharedState& aShared,
                             const StoreMirrors& aMirrors,
                             PeerMessenger& aPeers,
                             Bounds aBounds)
  : executor_(std::move(aExecutor))
  , shared_(aShared)
  , mirrors_(aMirrors)
  , peers_(aPeers)
  , bounds_(aBounds)
{
  peers_.SetOnRateReport(
    [this](const std::string& aHost, const fleet::RateReport& aReport) {
      OnRateReport(aHost, aReport);
    });
  peers_.SetOnRateResponse([this](const fleet::RateResponse& aResponse) {
    OnRateResponse(aResponse);
  });
}

fleet::DeclarationsAge
AccessControl::MakeDeclarationsAge() const
{
  fleet::DeclarationsAge age;
  age.age_ = mirrors_.AgeOf(StorePrefix::Operators);
  if (bounds_.revocation_) {
    age.maxAgeToAdmit_ = std::chrono::duration_cast<base::Duration>(
      *bounds_.revocation_ * (1.0 - kRevocationMargin));
  }
  age.maxAgeToReject_ = bounds_.configuration_;
  return age;
}

bool
AccessControl::CanAuthenticate() const
{
  return !shared_.routes_.Organisations().AreDeclared() ||
         MakeDeclarationsAge().MayAdmit();
}

bool
AccessControl::CanLimitRates() const
{
  return !shared_.routes_.Organisations().AreDeclared() ||
         shared_.rateLimiter_.KnowsMembers();
}

std::optional<OrganisationName>
AccessControl::Identify(const ExchangePtr& aExchange,
                        const fleet::Route& aRoute)
{
  return ResolveOrReject(
    aExchange,
    fleet::AuthenticateCaller(
      shared_.routes_.Organisations(),
      shared_.codec_.ReadCredential(aExchange->GetRequest()),
      !aRoute.allowsAnonymous_,
      MakeDeclarationsAge()));
}

std::optional<OrganisationName>
AccessControl::IdentifyForJob(const ExchangePtr& aExchange)
{
  const fleet::Credential credential =
    shared_.codec_.ReadCredential(aExchange->GetRequest());
  const bool hasKey = !std::holds_alternative<fleet::NoCredential>(credential);
  return ResolveOrReject(
    aExchange,
    fleet::AuthenticateCaller(shared_.routes_.Organisations(),
                              credential,
                              hasKey,
                              MakeDeclarationsAge()));
}

std::optional<OrganisationName>
AccessControl::ResolveOrReject(const ExchangePtr& aExchange,
                               const fleet::Caller& aCaller)
{
  struct Visitor
  {
    AccessControl& accessControl_;
    httpstream::Exchange& exchange_;

    std::optional<OrganisationName> operator()(
      const fleet::AnonymousCaller&) const
    {
      const bool areDeclared =
        accessControl_.shared_.routes_.Organisations().AreDeclared();
      // Without declared organisations, no caller has a name.
      return areDeclared ? OrganisationName{ std::string() }
                         : OrganisationName{};
    }
    std::optional<OrganisationName> operator()(
      const fleet::AuthenticatedCaller& aAuthenticated) const
    {
      return OrganisationName{ aAuthenticated.organisation_->name_ };
    }
    std ::optional<OrganisationName> operator()(
      const fleet ::UnauthenticatedCaller& aUnauthorised) const
    {
      LogAndCount(aUnauthorised.reason_);
      exchange_.Respond(accessControl_.shared_.codec_.MakeUnauthorised());
      return std::nullopt;
    }
    std::optional<OrganisationName> operator()(
      const fleet::UnconfirmedCaller&) const
    {
      LogAndCount("declarations not confirmed");
      exchange_.Respond(
        accessControl_.shared_.codec_.MakeUnavailable(kUncheckedRetryAfter));
      return std::nullopt;
    }
    void LogAndCount(std::string_view aReason) const
    {
      const auto age = accessControl_.MakeDeclarationsAge().age_;
      base::Log(
        kCallerRejected,
        { { "request",
            RequestIdOf(accessControl_.shared_, exchange_.GetRequest()) },
          { "reason", aReason },
          { "version", accessControl_.shared_.routes_.Version() },
          { "age_ms", age ? base::ToMs(*age) : -1 } });
      accessControl_.shared_.metrics_
        .GetCounter("pumiceturn_callers_refused_total",
                    "Requests whose caller was not let through.",
                    fmt::format("reason=\"{}\"", aReason))
        .Add();
    }
  };
  return std::visit(Visitor{ *this, *aExchange }, aCaller);
}

void
AccessControl::RunIfWithinLimit(const ExchangePtr& aExchange,
                                const OrganisationName& aCaller,
                                std::function<void()> aRun)
{
  const fleet::Organisation* organisation =
    aCaller ? shared_.routes_.Organisations().FindByName(*aCaller) : nullptr;
  if (organisation == nullptr) {
    aRun();
    return;
  }
  if (!organisation->limit_.IsSet()) {
    aRun();
    return;
  }
  Check({ aExchange, *aCaller, std::move(aRun), base::MonotonicNow() });
}

const fleet::Organisation*
AccessControl::FindOrganisation(const UndecidedRequest& aRequest) const
{
  const fleet::Organisation* organisation =
    shared_.routes_.Organisations().FindByName(aRequest.organisation_);
  if (organisation == nullptr) {
    aRequest.exchange_->Respond(
      shared_.codec_.MakeUnavailable(kUncheckedRetryAfter));
  }
  return organisation;
}

void
AccessControl::Check(UndecidedRequest aRequest)
{
  const fleet::Organisation* organisation = FindOrganisation(aRequest);
  if (organisation == nullptr) {
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const fleet::RateDecision decision = shared_.rateLimiter_.Check(
    *organisation, now, shared_.random_, now - aRequest.checkedAt_);
  Apply(decision, *organisation, std::move(aRequest));
}

void
AccessControl::Apply(const fleet::RateDecision& aDecision,
                     const fleet::Organisation& aOrganisation,
                     UndecidedRequest aRequest)
{
  struct Visitor
  {
    AccessControl& accessControl_;
    const fleet::Organisation& organisation_;
    UndecidedRequest& request_;

    void operator()(const fleet::RateAdmitted& aAdmission) const
    {
      accessControl_.RecordAdmission(
        *request_.exchange_, organisation_, aAdmission.basis_);
      request_.run_();
    }
    void operator()(const fleet::RateRefused& aRefusal) const
    {
      accessControl_.RejectOverLimit(
        *request_.exchange_, organisation_, aRefusal);
    }
    void operator()(const fleet::RateQuery& aQuery) const
    {
      accessControl_.QueryAccountOwner(std::move(request_), aQuery);
    }
    void operator()(const fleet::RateWait& aWait) const
    {
      accessControl_.CheckAgainAfter(aWait.time_, std::move(request_));
    }
  };
  std::visit(Visitor{ *this, aOrganisation, aRequest }, aDecision);
}

void
AccessControl::CheckAgainAfter(base::Duration aTime, UndecidedRequest aRequest)
{
  auto waiting = std::make_shared<PendingQuery>(executor_, std::move(aRequest));
  waiting->timer_.expires_after(aTime);
  waiting->timer_.async_wait(
    lifetime_.Guard([this, waiting](const boost::system::error_code& aError) {
      shared_.rateLimiter_.EndWait(waiting->request_.organisation_);
      if (!aError && !waiting->request_.exchange_->IsFinished()) {
        Check(std::move(waiting->request_));
      }
    }));
}

void
AccessControl::QueryAccountOwner(UndecidedRequest aRequest,
                                 const fleet::RateQuery& aQuery)
{
  const std::uint64_t id = aQuery.report_.query_;
  auto query = std::make_shared<PendingQuery>(executor_, std::move(aRequest));
  query->timer_.expires_after(kOwnerTimeout);
  query->timer_.async_wait(
    lifetime_.Guard([this, id](const boost::system::error_code& aError) {
      if (!aError) {
        OnAccountOwnerTimeout(id);
      }
    }));
  queries_.emplace(id, std::move(query));
  peers_.SendRateReport(aQuery.owner_, aQuery.report_);
}

void
AccessControl::OnAccountOwnerTimeout(std::uint64_t aQuery)
{
  auto found = queries_.extract(aQuery);
  if (found.empty()) {
    return;
  }
  UndecidedRequest& request = found.mapped()->request_;
  const fleet::Organisation* organisation = FindOrganisation(request);
  if (organisation == nullptr) {
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const fleet::RateDecision decision = shared_.rateLimiter_.CheckLocally(
    *organisation, now, now - request.checkedAt_);
  Apply(decision, *organisation, std::move(request));
}

void
AccessControl::OnRateResponse(const fleet::RateResponse& aResponse)
{
  auto found = queries_.extract(aResponse.query_);
  const base::Instant now = base::MonotonicNow();
  if (found.empty()) {
    static_cast<void>(shared_.rateLimiter_.HandleResponse(aResponse, now));
    return;
  }
  const auto decision = shared_.rateLimiter_.HandleResponse(
    aResponse, now, now - found.mapped()->request_.checkedAt_);
  if (!decision) {
    return;
  }
  found.mapped()->timer_.cancel();
  UndecidedRequest& request = found.mapped()->request_;
  const fleet::Organisation* organisation = FindOrganisation(request);
  if (organisation != nullptr) {
    Apply(*decision, *organisation, std::move(request));
  }
}

void
AccessControl::OnRateReport(const std::string& aHost,
                            const fleet::RateReport& aReport)
{
  const fleet::Organisation* organisation =
    shared_.routes_.Organisations().FindByName(aReport.organisation_);
  if (organisation == nullptr) {
    // This host's and the reporter's configurations differ; the reporter
    // decides alone after a timeout.
    return;
  }
  AddRateGauges(organisation->name_);
  const auto response = shared_.rateLimiter_.HandleReport(
    aHost, aReport, *organisation, base::MonotonicNow());
  if (response) {
    peers_.SendRateResponse(aHost, *response);
  }
}

void
AccessControl::AddRateGauges(const std::string& aOrganisation)
{
  if (!organisationsWithGauges_.insert(aOrganisation).second) {
    return;
  }
  const std::string label = fmt::format("organisation=\"{}\"", aOrganisation);
  shared_.metrics_.AddGauge(
    "pumiceturn_rate_counted_requests",
    "Requests of the last window that this host counts against a limit as the "
    "owner of the account.",
    label,
    [this, aOrganisation] {
      return static_cast<double>(shared_.rateLimiter_.CountedRequests(
        aOrganisation, base::MonotonicNow()));
    });
  shared_.metrics_.AddGauge(
    "pumiceturn_rate_executed_requests",
    "Requests of the last window that this host admitted within a limit and "
    "didn't refund.",
    label,
    [this, aOrganisation] {
      return static_cast<double>(shared_.rateLimiter_.ExecutedRequests(
        aOrganisation, base::MonotonicNow()));
    });
}

void
AccessControl::CountDecision(const fleet::Organisation& aOrganisation,
                             std::string_view aDecision,
                             fleet::RateBasis aBasis)
{
  AddRateGauges(aOrganisation.name_);
  shared_.metrics_
    .GetCounter("pumiceturn_rate_decisions_total",
                "Decisions on requests of organisations with a limit.",
                fmt::format("organisation=\"{}\",decision=\"{}\",basis=\"{}\"",
                            aOrganisation.name_,
                            aDecision,
                            fleet::NameOf(aBasis)))
    .Add();
}

void
AccessControl::RecordAdmission(const httpstream::Exchange& aExchange,
                               const fleet::Organisation& aOrganisation,
                               fleet::RateBasis aBasis)
{
  CountDecision(aOrganisation, "admitted", aBasis);
  const fleet::RateKnowledge knowledge =
    shared_.rateLimiter_.KnowledgeOf(aOrganisation.name_, base::MonotonicNow());
  if (!knowledge.IsUncertain(aBasis)) {
    return;
  }
  base::Log(kRequestAdmittedUncertainly,
            { { "request", RequestIdOf(shared_, aExchange.GetRequest()) },
              { "organisation", aOrganisation.name_ },
              { "basis", fleet::NameOf(aBasis) },
              { "owner", knowledge.owner_ },
              { "hosts", knowledge.admittingHosts_ },
              { "members_age_ms", ToMsOrNone(knowledge.membersAge_) },
              { "response_age_ms", ToMsOrNone(knowledge.responseAge_) },
              { "is_account_new", knowledge.isAccountNew_ } });
}

void
AccessControl::RejectOverLimit(httpstream::Exchange& aExchange,
                               const fleet::Organisation& aOrganisation,
                               const fleet::RateRefused& aRefusal)
{
  const fleet::RateKnowledge knowledge =
    shared_.rateLimiter_.KnowledgeOf(aOrganisation.name_, base::MonotonicNow());
  base::Log(kRequestOverRate,
            { { "request", RequestIdOf(shared_, aExchange.GetRequest()) },
              { "organisation", aOrganisation.name_ },
              { "rate", aOrganisation.limit_.ratePerSecond_ },
              { "burst", aOrganisation.limit_.burst_ },
              { "decided_by", fleet::NameOf(aRefusal.basis_) },
              { "owner", knowledge.owner_ },
              { "hosts", knowledge.admittingHosts_ },
              { "members_age_ms", ToMsOrNone(knowledge.membersAge_) },
              { "response_age_ms", ToMsOrNone(knowledge.responseAge_) },
              { "is_account_new", knowledge.isAccountNew_ },
              { "share", shared_.rateLimiter_.ShareOf(aOrganisation.name_) },
              { "come_back_ms", base::ToMs(aRefusal.retryAfter_) } });
  CountDecision(aOrganisation, "refused", aRefusal.basis_);
  if (aRefusal.basis_ == fleet::RateBasis::MembersUnknown) {
    aExchange.Respond(shared_.codec_.MakeUnavailable(aRefusal.retryAfter_));
    return;
  }
  shared_.metrics_
    .GetCounter("pumiceturn_requests_over_rate_total",
                "Requests beyond their organisation's limit.")
    .Add();
  aExchange.Respond(shared_.codec_.MakeRateLimited(aRefusal.retryAfter_));
}

void
AccessControl::Tick(std::span<const batch::PeerAddress> aPeers,
                    base::Instant aNow)
{
  std::vector<fleet::RateLimitMembership::Member> members;
  for (const batch::PeerAddress& peer : aPeers) {
    members.push_back(peers_.RateMember(peer.host_, !peer.isWorker_));
  }
  shared_.rateLimiter_.SetMembers(members, aNow);
  shared_.fairShare_.SetHostCount(static_cast<std::size_t>(
    1 + std::count_if(
          aPeers.begin(), aPeers.end(), [](const batch::PeerAddress& aPeer) {
            return !aPeer.isWorker_;
          })));
  for (const auto& [owner, report] :
       shared_.rateLimiter_.CollectDueReports(aNow)) {
    peers_.SendRateReport(owner, report);
  }
  for (const auto& refunds : shared_.rateLimiter_.TakeIgnoredRefunds()) {
    base::Log(kRefundsIgnored,
              { { "host", refunds.host_ },
                { "organisation", refunds.organisation_ },
                { "requests", refunds.requests_ } });
  }
}

} // namespace pumiceturn::gateway
