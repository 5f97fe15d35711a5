#include "Model.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::routing {

namespace {

constexpr base::Duration kMeanWork{ std::chrono::seconds{ 2 } };
constexpr base::Duration kSampleInterval{ std::chrono::milliseconds{ 50 } };
constexpr base::Duration kFailureTime{ std::chrono::milliseconds{ 5 } };

/// What an endpoint takes for the time of a run when it refuses: few answers
/// take longer.
constexpr base::Duration kCautiousWork{ std::chrono::seconds{ 4 } };
constexpr std::size_t kMaxEndpointsTried = 2;
constexpr std::size_t kDomains = 3;

std::string
DomainOf(std::size_t aIndex)
{
  return "domain-" + std::to_string(aIndex % kDomains);
}

} // namespace

Model::Model(ModelOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , ends_(now_ + aOptions.length_)
{
  std::vector<EndpointDescription> fleet;
  for (std::size_t index = 0; index < options_.endpoints_; ++index) {
    Endpoint endpoint;
    endpoint.name_ = "endpoint-" + std::to_string(index);
    endpoint.fails_ = index < options_.failing_;
    fleet.push_back({ endpoint.name_, DomainOf(index), options_.capacity_ });
    endpoints_.push_back(std::move(endpoint));
    // Reports of different endpoints do not come at the same moment.
    Add(options_.reportInterval_ * static_cast<int>(index) /
          static_cast<int>(options_.endpoints_),
        Kind::Report,
        index);
  }
  for (std::size_t index = 0; index < options_.entries_; ++index) {
    Entry entry{ EndpointChooser(DomainOf(index), options_.policy_),
                 RetryBudget({ options_.retryShare_, 10.0 }) };
    entry.chooser_.SetEndpoints(fleet);
    for (const Endpoint& endpoint : endpoints_) {
      entry.chooser_.SetLinked(endpoint.name_, true);
    }
    entries_.push_back(std::move(entry));
  }
}

ModelResult
Model::Run()
{
  Add({}, Kind::Arrive, 0);
  Add({}, Kind::Sample, 0);
  while (!events_.empty() && events_.top().time_ < ends_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    switch (event.kind_) {
      case Kind::Arrive:
        OnArrive();
        break;
      case Kind::RunEnds:
        OnRunEnds(event.subject_);
        break;
      case Kind::Report:
        OnReport(event.subject_);
        break;
      case Kind::ReportArrives:
        OnReportArrives(event.subject_, event.value_);
        break;
      case Kind::Sample:
        OnSample();
        break;
    }
  }
  result_.imbalance_ = imbalanceSum_ / static_cast<double>(samples_);
  result_.seconds_ = std::chrono::duration<double>(options_.length_).count();
  return result_;
}

void
Model::Add(base::Duration aAfter,
           Kind aKind,
           std::size_t aSubject,
           std::uint32_t aValue)
{
  events_.push(Event{ now_ + aAfter, aKind, aSubject, aValue });
}

void
Model::OnArrive()
{
  const double slots =
    static_cast<double>(options_.endpoints_) * options_.capacity_;
  const base::Duration gap{ static_cast<std::int64_t>(
    static_cast<double>(kMeanWork.count()) / (slots * options_.load_)) };
  Add(DrawExponential(gap), Kind::Arrive, 0);

  Request request;
  request.deadline_ = now_ + options_.deadline_;
  // Answers differ in length by an order of magnitude, but none is endless.
  request.work_ = std::min(DrawExponential(kMeanWork), 2 * kMeanWork);
  request.entry_ = random_() % entries_.size();
  requests_.push_back(std::move(request));
  ++result_.requests_;
  Send(requests_.size() - 1, false);
}

void
Model::Send(std::size_t aRequest, bool aIsRetry)
{
  Request& request = requests_[aRequest];
  Entry& entry = entries_[request.entry_];
  if (!aIsRetry) {
    entry.budget_.RecordFirstAttempt();
  }
  const bool mayGo = request.tried_.size() < kMaxEndpointsTried &&
                     (!aIsRetry || entry.budget_.TryConsume());
  ChoiceRequest asked;
  asked.excluded_ = request.tried_;
  const auto choice =
    mayGo ? entry.chooser_.Choose(asked, now_, random_) : std::nullopt;
  if (!choice.has_value()) {
    ++result_.refused_;
    return;
  }
  ++result_.runs_;
  entry.chooser_.OnStarted(choice->endpoint_, 0, false);
  const auto found = std::find_if(
    endpoints_.begin(), endpoints_.end(), [&](const Endpoint& aEndpoint) {
      return aEndpoint.name_ == choice->endpoint_;
    });
  request.endpoint_ = static_cast<std::size_t>(found - endpoints_.begin());
  Reach(aRequest, *found);
}

void
Model::Reach(std::size_t aRequest, Endpoint& aEndpoint)
{
  if (aEndpoint.fails_) {
    Add(kFailureTime, Kind::RunEnds, aRequest);
    return;
  }
  if (options_.refusesEarly_ && IsTooLate(requests_[aRequest], aEndpoint)) {
    LeaveEndpoint(aRequest, false);
    requests_[aRequest].tried_.push_back(aEndpoint.name_);
    Send(aRequest, true);
    return;
  }
  aEndpoint.waiting_.push_back(aRequest);
  StartNext(aEndpoint);
}

void
Model::StartNext(Endpoint& aEndpoint)
{
  while (aEndpoint.running_ < options_.capacity_ &&
         !aEndpoint.waiting_.empty()) {
    const std::size_t request = aEndpoint.waiting_.front();
    aEndpoint.waiting_.pop_front();
    ++aEndpoint.running_;
    Add(requests_[request].work_, Kind::RunEnds, request);
  }
}

void
Model::OnRunEnds(std::size_t aRequest)
{
  Request& request = requests_[aRequest];
  Endpoint& endpoint = endpoints_[request.endpoint_];
  LeaveEndpoint(aRequest, endpoint.fails_);
  if (endpoint.fails_) {
    request.tried_.push_back(endpoint.name_);
    Send(aRequest, true);
    return;
  }
  --endpoint.running_;
  result_.good_ += now_ <= request.deadline_ ? 1 : 0;
  StartNext(endpoint);
}

void
Model::LeaveEndpoint(std::size_t aRequest, bool aHasFailed)
{
  const Request& request = requests_[aRequest];
  EndpointChooser& chooser = entries_[request.entry_].chooser_;
  const std::string& endpoint = endpoints_[request.endpoint_].name_;
  const bool isCounted = aHasFailed && options_.countsFailures_;
  chooser.OnEnded(endpoint,
                  false,
                  isCounted ? RunOutcome::Failed : RunOutcome::Abandoned,
                  now_);
}

void
Model::OnReport(std::size_t aEndpoint)
{
  const Endpoint& endpoint = endpoints_[aEndpoint];
  const auto load =
    static_cast<std::uint32_t>(endpoint.running_ + endpoint.waiting_.size());
  Add(options_.reportDelay_, Kind::ReportArrives, aEndpoint, load);
  Add(options_.reportInterval_, Kind::Report, aEndpoint);
}

void
Model::OnReportArrives(std::size_t aEndpoint, std::uint32_t aLoad)
{
  wire::Heartbeat report;
  report.running_ = aLoad;
  report.capacity_ = options_.capacity_;
  for (Entry& entry : entries_) {
    entry.chooser_.OnHeartbeat(endpoints_[aEndpoint].name_, report, now_);
  }
}

void
Model::OnSample()
{
  Add(kSampleInterval, Kind::Sample, 0);
  std::size_t most = 0;
  std::size_t total = 0;
  for (const Endpoint& endpoint : endpoints_) {
    const std::size_t load = endpoint.running_ + endpoint.waiting_.size();
    most = std::max(most, load);
    total += load;
  }
  if (total == 0) {
    return;
  }
  imbalanceSum_ +=
    static_cast<double>(most * endpoints_.size()) / static_cast<double>(total);
  ++samples_;
}

bool
Model::IsTooLate(const Request& aRequest, const Endpoint& aEndpoint) const
{
  const auto ahead = static_cast<std::int64_t>(aEndpoint.waiting_.size());
  const base::Duration wait = kMeanWork * ahead / options_.capacity_;
  return now_ + wait + kCautiousWork > aRequest.deadline_;
}

base::Duration
Model::DrawExponential(base::Duration aMean)
{
  std::exponential_distribution<double> draw(
    1.0 / static_cast<double>(aMean.count()));
  return base::Duration{ static_cast<std::int64_t>(draw(random_)) };
}

} // namespace pumiceturn::routing
