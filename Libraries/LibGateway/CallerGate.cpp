#include "LibGateway/CallerGate.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// Part of the bound on revocation that is kept back for what the fastest
/// message between hosts takes, and for clocks.
constexpr double kRevocationMargin = 0.1;

/// Longest wait for the keeper of an account. It answers within the way there
/// and back; a lost datagram must not make its request late.
constexpr std::chrono::milliseconds kKeeperPatience{ 60 };

/// For a caller whose key can't be judged now.
constexpr std::chrono::milliseconds kRetryAfter{ 400 };

std::string_view
RequestIdOf(const Shared& aShared, const httpstream::Request& aRequest)
{
  return httpstream::ValueOf(aRequest, aShared.codec_.EchoField());
}

} // namespace

CallerGate::CallerGate(boost::asio::any_io_executor aExecutor,
                       Shared& aShared,
                       const StoreFollowing& aFollowing,
                       PeerExchange& aPeers,
                       Bounds aBounds)
  : executor_(std::move(aExecutor))
  , shared_(aShared)
  , following_(aFollowing)
  , peers_(aPeers)
  , bounds_(aBounds)
{
  peers_.SetOnRateReport(
    [this](const std::string& aHost, const fleet::RateReport& aReport) {
      OnReport(aHost, aReport);
    });
  peers_.SetOnRateAnswer(
    [this](const fleet::RateAnswer& aAnswer) { OnAnswer(aAnswer); });
}

fleet::DeclarationsAge
CallerGate::Age() const
{
  fleet::DeclarationsAge age;
  age.age_ = following_.AgeOf(StorePrefix::Operators);
  if (bounds_.revocation_) {
    age.revocationBound_ = std::chrono::duration_cast<base::Duration>(
      *bounds_.revocation_ * (1.0 - kRevocationMargin));
  }
  age.additionBound_ = bounds_.configuration_;
  return age;
}

bool
CallerGate::IsConfirmed() const
{
  return !shared_.routes_.Organisations().AreDeclared() || Age().MayAdmit();
}

std::optional<CallerName>
CallerGate::Identify(const ExchangePtr& aExchange, const fleet::Route& aRoute)
{
  return Answer(
    aExchange,
    fleet::JudgeCaller(shared_.routes_.Organisations(),
                       shared_.codec_.ReadCredential(aExchange->GetRequest()),
                       !aRoute.isOpen_,
                       Age()));
}

std::optional<CallerName>
CallerGate::IdentifyReader(const ExchangePtr& aExchange)
{
  const fleet::Credential credential =
    shared_.codec_.ReadCredential(aExchange->GetRequest());
  const bool hasKey = !std::holds_alternative<fleet::NoCredential>(credential);
  return Answer(aExchange,
                fleet::JudgeCaller(
                  shared_.routes_.Organisations(), credential, hasKey, Age()));
}

std::optional<CallerName>
CallerGate::Answer(const ExchangePtr& aExchange, const fleet::Caller& aCaller)
{
  struct Visitor
  {
    CallerGate& gate_;
    httpstream::Exchange& exchange_;

    std::optional<CallerName> operator()(const fleet::AnonymousCaller&) const
    {
      const bool areDeclared =
        gate_.shared_.routes_.Organisations().AreDeclared();
      return areDeclared ? CallerName{ std::string() } : CallerName{};
    }
    std::optional<CallerName> operator()(const fleet::KnownCaller& aKnown) const
    {
      return CallerName{ aKnown.organisation_->name_ };
    }
    std::optional<CallerName> operator()(
      const fleet::UnauthorisedCaller& aRefused) const
    {
      Log(aRefused.reason_);
      exchange_.Answer(gate_.shared_.codec_.MakeUnauthorised());
      return std::nullopt;
    }
    std::optional<CallerName> operator()(const fleet::UnconfirmedCaller&) const
    {
      Log("declarations not confirmed");
      exchange_.Answer(gate_.shared_.codec_.MakeNotRun(kRetryAfter));
      return std::nullopt;
    }
    void Log(std::string_view aReason) const
    {
      const auto age = gate_.Age().age_;
      base::Log(
        kCallerRefused,
        { { "request", RequestIdOf(gate_.shared_, exchange_.GetRequest()) },
          { "reason", aReason },
          { "version", gate_.shared_.routes_.Version() },
          { "age_ms", age ? base::ToMs(*age) : -1 } });
      gate_.shared_.metrics_
        .GetCounter("pumiceturn_callers_refused_total",
                    "Requests whose caller was not let through.",
                    fmt::format("reason=\"{}\"", aReason))
        .Add();
    }
  };
  return std::visit(Visitor{ *this, *aExchange }, aCaller);
}

void
CallerGate::RunWithinLimit(const ExchangePtr& aExchange,
                           const CallerName& aCaller,
                           std::function<void()> aRun)
{
  const fleet::Organisation* organisation =
    aCaller ? shared_.routes_.Organisations().FindByName(*aCaller) : nullptr;
  if (organisation == nullptr) {
    aRun();
    return;
  }
  const fleet::RateDecision decision = shared_.rateLimits_.Judge(
    *organisation, base::MonotonicNow(), shared_.random_);
  if (const auto* refusal = std::get_if<fleet::RateRefused>(&decision)) {
    Refuse(*aExchange, *organisation, *refusal);
  } else if (const auto* ask = std::get_if<fleet::RateAsk>(&decision)) {
    Ask(aExchange, organisation->name_, std::move(aRun), *ask);
  } else {
    aRun();
  }
}

void
CallerGate::Ask(const ExchangePtr& aExchange,
                const std::string& aOrganisation,
                std::function<void()> aRun,
                const fleet::RateAsk& aAsk)
{
  const std::uint64_t id = aAsk.report_.question_;
  auto question = std::make_shared<Question>(executor_);
  question->exchange_ = aExchange;
  question->organisation_ = aOrganisation;
  question->run_ = std::move(aRun);
  question->timer_.expires_after(kKeeperPatience);
  question->timer_.async_wait(
    lifetime_.Guard([this, id](const boost::system::error_code& aError) {
      if (!aError) {
        OnKeeperSilent(id);
      }
    }));
  questions_.emplace(id, std::move(question));
  peers_.SendRateReport(aAsk.keeper_, aAsk.report_);
}

void
CallerGate::OnKeeperSilent(std::uint64_t aQuestion)
{
  auto found = questions_.extract(aQuestion);
  if (found.empty()) {
    return;
  }
  const Question& question = *found.mapped();
  const fleet::Organisation* organisation =
    shared_.routes_.Organisations().FindByName(question.organisation_);
  if (organisation == nullptr) {
    question.exchange_->Answer(shared_.codec_.MakeNotRun(kRetryAfter));
    return;
  }
  const fleet::RateDecision decision =
    shared_.rateLimits_.JudgeAlone(*organisation, base::MonotonicNow());
  if (const auto* refusal = std::get_if<fleet::RateRefused>(&decision)) {
    Refuse(*question.exchange_, *organisation, *refusal);
  } else {
    question.run_();
  }
}

void
CallerGate::OnAnswer(const fleet::RateAnswer& aAnswer)
{
  const auto decision =
    shared_.rateLimits_.TakeAnswer(aAnswer, base::MonotonicNow());
  auto found = questions_.extract(aAnswer.question_);
  if (!decision || found.empty()) {
    return;
  }
  Question& question = *found.mapped();
  question.timer_.cancel();
  const fleet::Organisation* organisation =
    shared_.routes_.Organisations().FindByName(question.organisation_);
  if (organisation == nullptr) {
    question.exchange_->Answer(shared_.codec_.MakeNotRun(kRetryAfter));
    return;
  }
  if (const auto* refusal = std::get_if<fleet::RateRefused>(&*decision)) {
    Refuse(*question.exchange_, *organisation, *refusal);
  } else {
    question.run_();
  }
}

void
CallerGate::OnReport(const std::string& aHost, const fleet::RateReport& aReport)
{
  const fleet::Organisation* organisation =
    shared_.routes_.Organisations().FindByName(aReport.organisation_);
  if (organisation == nullptr) {
    // A version that this host doesn't have yet: the reporter decides alone.
    return;
  }
  const auto answer = shared_.rateLimits_.TakeReport(
    aHost, aReport, *organisation, base::MonotonicNow());
  if (answer) {
    peers_.SendRateAnswer(aHost, *answer);
  }
}

void
CallerGate::Refuse(httpstream::Exchange& aExchange,
                   const fleet::Organisation& aOrganisation,
                   const fleet::RateRefused& aRefusal)
{
  base::Log(kRequestOverRate,
            { { "request", RequestIdOf(shared_, aExchange.GetRequest()) },
              { "organisation", aOrganisation.name_ },
              { "rate", aOrganisation.limit_.ratePerSecond_ },
              { "burst", aOrganisation.limit_.burst_ },
              { "decided_by", aRefusal.decidedBy_ },
              { "share", shared_.rateLimits_.Share() },
              { "come_back_ms", base::ToMs(aRefusal.comeBackAfter_) } });
  shared_.metrics_
    .GetCounter("pumiceturn_requests_over_rate_total",
                "Requests beyond their organisation's limit.")
    .Add();
  aExchange.Answer(shared_.codec_.MakeOverLimit(aRefusal.comeBackAfter_));
}

void
CallerGate::Tick(std::span<const batch::PeerAddress> aPeers, base::Instant aNow)
{
  std::vector<fleet::RateMembers::Member> members;
  for (const batch::PeerAddress& peer : aPeers) {
    members.push_back(
      { peer.host_, peers_.IsHeard(peer.host_), !peer.isWorker_ });
  }
  shared_.rateLimits_.SetMembers(members, aNow);
  for (const auto& [keeper, report] :
       shared_.rateLimits_.TakeDueReports(aNow)) {
    peers_.SendRateReport(keeper, report);
  }
}

} // namespace pumiceturn::gateway
