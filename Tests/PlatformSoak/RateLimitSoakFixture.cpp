#include "Tests/PlatformSoak/RateLimitSoakFixture.h"

#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds kWindow{ 5 };
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;

/// How many times its limit an organisation sends.
constexpr double kExcess = 8;

/// Time without faults at the start, so that the fleet is complete.
constexpr std::chrono::seconds kCalmTime{ 3 };

constexpr int kMeanStepsPerFault = 160;
constexpr std::size_t kMaxCallers = 3000;
constexpr std::chrono::seconds kConnectTimeout{ 2 };
constexpr unsigned kTooMany = 429;

constexpr auto kRates = std::to_array<double>({ 2, 2, 3.5, 10, 30, 60 });

} // namespace

/// One request and the connection that it was sent on.
class RateLimitSoakFixture::Caller : public httpstream::CallObserver
{
public:
  void OnHead(const httpstream::ResponseHead& aHead) override
  {
    status_ = aHead.result_int();
  }
  void OnBody(std::string_view /*aBytes*/) override {}
  void OnEnd(httpstream::CallOutcome /*aOutcome*/) override
  {
    hasEnded_ = true;
  }

  std::size_t organisation_ = 0;
  std::string server_; ///< Key of the connection pool.
  std::shared_ptr<httpstream::ClientConnection> connection_;
  unsigned status_ = 0;
  bool hasEnded_ = false;
};

RateLimitSoakFixture::RateLimitSoakFixture()
  : FleetSoakFixture("rate")
  , server_(std::make_unique<ServerStandin>(context_, "i-1"))
{
}

RateLimitSoakFixture::~RateLimitSoakFixture()
{
  for (const auto& caller : callers_) {
    if (caller->connection_) {
      caller->connection_->Cancel();
    }
  }
}

double
RateLimitSoakFixture::BoundFor(double aRate)
{
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return (aRate * seconds + aRate) * (1 + kOverage) + kSlack;
}

void
RateLimitSoakFixture::DeclareLimits()
{
  json rows = json::array();
  for (const Organisation& organisation : organisations_) {
    rows.push_back({ { "name", organisation.name_ },
                     { "apiKeys", { "key-" + organisation.name_ } },
                     { "ratePerS", organisation.rate_ },
                     { "burst", organisation.rate_ } });
  }
  store_.Put(
    "op/config",
    json{ { "version", ++version_ },
          { "routes", { MakeTestRoute("look-up", "stream") } },
          { "services", { { { "name", "service" }, { "maxConns", 2000 } } } },
          { "tenants", std::move(rows) } }
      .dump());
}

void
RateLimitSoakFixture::StartFleet(Size aSize)
{
  for (const double rate : kRates) {
    const std::string name = fmt::format("o{}", organisations_.size());
    organisations_.push_back({ name, rate, rate, kExcess * rate });
  }
  DeclareLimits();
  json registration = json::parse(server_->Registration("service", "ready"));
  registration["slots"] = 1000;
  store_.Put("servers/i-1", registration.dump());
  GatewayProcess::HostSettings settings;
  settings.bounds_ = ", configApplyMs: 3000, strictRevoke: true, "
                     "revokeMs: 5000, quotaWindowS: 5, quotaOverage: 0.1, "
                     "quotaSlack: 20";
  StartHosts(aSize.entryHosts_, aSize.workers_, settings);
}

void
RateLimitSoakFixture::Send(std::size_t aOrganisation)
{
  if (callers_.size() >= kMaxCallers) {
    return;
  }
  Organisation& organisation = organisations_[aOrganisation];
  const Host& host = DrawEntryHost();
  const std::string id =
    fmt::format("{}-{}", organisation.name_, organisation.sent_++);
  sentAt_[id] = Clock::now();
  auto& caller = *callers_.emplace_back(std::make_unique<Caller>());
  caller.organisation_ = aOrganisation;
  caller.server_ =
    fmt::format("{}/{}", host.process_->Settings().name_, host.incarnation_);
  httpstream::Call call;
  call.bytes_ = fmt::format("POST /look-up/1 HTTP/1.1\r\nHost: a.example\r\n"
                            "Authorization: Bearer key-{}\r\n"
                            "Attempt-Id: {}\r\nDeadline-Ms: 4000\r\n"
                            "Content-Length: 0\r\n\r\n",
                            organisation.name_,
                            id);
  call.firstByteTimeout_ = kWindow;
  call.gapTimeout_ = kWindow;
  caller.connection_ = connections_.Acquire(
    caller.server_,
    { boost::asio::ip::make_address(host.process_->Settings().ip_),
      GatewayProcess::kCallerPort },
    kConnectTimeout,
    [&caller, call = std::move(call)](
      const std::shared_ptr<httpstream::ClientConnection>&
        aConnection) mutable {
      if (!aConnection) {
        caller.hasEnded_ = true;
        return;
      }
      aConnection->Start(std::move(call), caller);
    });
}

void
RateLimitSoakFixture::EndCall(Caller& aCaller)
{
  organisations_[aCaller.organisation_].overLimit_ +=
    aCaller.status_ == kTooMany ? 1 : 0;
  connections_.Release(aCaller.server_, std::move(aCaller.connection_));
}

void
RateLimitSoakFixture::SendDueRequests(std::chrono::duration<double> aPassed)
{
  for (std::size_t index = 0; index < organisations_.size(); ++index) {
    Organisation& organisation = organisations_[index];
    organisation.due_ += organisation.sentPerSecond_ * aPassed.count();
    for (; organisation.due_ >= 1; organisation.due_ -= 1) {
      Send(index);
    }
  }
}

void
RateLimitSoakFixture::Step()
{
  RunStep();
  const auto now = Clock::now();
  for (const auto& caller : callers_) {
    if (caller->hasEnded_) {
      EndCall(*caller);
    }
  }
  std::erase_if(callers_,
                [](const auto& aCaller) { return aCaller->hasEnded_; });
  SendDueRequests(now - std::exchange(steppedAt_, now));
}

void
RateLimitSoakFixture::KillAndRestart(bool aEntryHosts, bool aWorkers)
{
  const milliseconds down = Draw(0, 1500);
  const int spread = static_cast<int>(Draw(0, 500).count());
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    Host& host = *hosts_[index];
    const bool isKilled = index < entryHosts_ ? aEntryHosts : aWorkers;
    if (isKilled && !host.startAt_) {
      KillHost(host, down + Draw(0, spread));
    }
  }
}

void
RateLimitSoakFixture::ChangeLimit()
{
  Organisation& organisation = organisations_.back();
  organisation.rate_ = static_cast<double>(Draw(10, 60).count());
  organisation.highestRate_ =
    std::max(organisation.highestRate_, organisation.rate_);
  DeclareLimits();
}

void
RateLimitSoakFixture::InjectFault()
{
  ++faults_;
  switch (Draw(0, 7).count()) {
    case 0:
      KillAndRestart(true, true);
      RunAfter(Draw(700, 2500), [this] { KillAndRestart(true, true); });
      break;
    case 1:
    case 2:
      KillAndRestart(true, true);
      break;
    case 3:
      KillAndRestart(true, false);
      break;
    case 4:
      KillAndRestart(false, true);
      break;
    case 5:
      SuspendHosts();
      break;
    case 6:
      DisturbStore({ 400, 3, 4000 });
      break;
    default:
      ChangeLimit();
      break;
  }
}

std::vector<RunRequest>
RateLimitSoakFixture::RequestsOf(const std::string& aName)
{
  // A request that was sent to the server again counts once.
  std::map<std::string, RunRequest> first;
  const auto& requests = server_->Requests();
  for (std::size_t index = 0; index < requests.size(); ++index) {
    const std::string id(httpstream::ValueOf(requests[index], "Attempt-Id"));
    if (id.starts_with(aName + "-")) {
      first.try_emplace(
        id, RunRequest{ sentAt_.at(id), server_->ArrivalTimes()[index] });
    }
  }
  std::vector<RunRequest> result;
  result.reserve(first.size());
  for (const auto& [id, request] : first) {
    result.push_back(request);
  }
  std::sort(result.begin(),
            result.end(),
            [](const RunRequest& aLeft, const RunRequest& aRight) {
              return aLeft.sentAt_ < aRight.sentAt_;
            });
  return result;
}

std::vector<RateLimitSoakFixture::Result>
RateLimitSoakFixture::Results()
{
  std::vector<Result> results;
  for (const Organisation& organisation : organisations_) {
    const std::vector<RunRequest> ran = RequestsOf(organisation.name_);
    results.push_back({ organisation.name_,
                        organisation.highestRate_,
                        organisation.sent_,
                        ran.size(),
                        organisation.overLimit_,
                        FindBusiestWindow(ran, kWindow).requests_,
                        BoundFor(organisation.highestRate_) });
  }
  return results;
}

void
RateLimitSoakFixture::CheckLimits()
{
  for (const Result& result : Results()) {
    if (static_cast<double>(result.mostInWindow_) > result.bound_) {
      violations_.push_back(
        fmt::format("{}: {} requests ran in 5 s, {} allowed",
                    result.name_,
                    result.mostInWindow_,
                    result.bound_));
    }
  }
}

void
RateLimitSoakFixture::Run(std::uint64_t aSeed,
                          std::chrono::seconds aTime,
                          Size aSize)
{
  random_.seed(aSeed);
  StartFleet(aSize);
  const auto startedAt = Clock::now();
  steppedAt_ = startedAt;
  while (Clock::now() < startedAt + aTime) {
    Step();
    if (Clock::now() > startedAt + kCalmTime && DrawOneIn(kMeanStepsPerFault)) {
      InjectFault();
    }
  }
  CheckLimits();
  CheckProcesses();
}

} // namespace pumiceturn::adapter
