#pragma once

#include "LibRouting/EndpointChooser.h"
#include "LibRouting/RetryBudget.h"

#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::routing {

/// What one run of the model varies.
struct ModelOptions
{
  Policy policy_ = PowerOfTwoChoices{};
  std::size_t endpoints_ = 18;
  std::size_t entries_ = 4;
  std::uint32_t capacity_ = 8; ///< Requests an endpoint runs at once.
  double load_ = 0.7;          ///< Offered, as a share of the fleet's capacity.
  std::size_t failing_ = 0;    ///< Endpoints that fail each run at once.
  double retryShare_ = 0.1;
  bool refusesEarly_ = true;   ///< By expected wait against the deadline.
  bool countsFailures_ = true; ///< Avoids endpoints that failed lately.
  base::Duration deadline_{ std::chrono::seconds{ 6 } };
  base::Duration reportInterval_{ std::chrono::seconds{ 1 } };
  base::Duration reportDelay_{ std::chrono::milliseconds{ 5 } };
  base::Duration length_{ std::chrono::seconds{ 600 } };
  std::uint64_t seed_ = 1;
};

struct ModelResult
{
  std::uint64_t requests_ = 0;
  std::uint64_t runs_ = 0; ///< Sent to an endpoint, refused ones included.
  std::uint64_t good_ = 0; ///< Answered within the deadline.
  std::uint64_t refused_ = 0;
  double imbalance_ = 0.0; ///< Mean over time of max over mean in flight.
  double seconds_ = 0.0;
};

/// Requests, entries and endpoints in virtual time, around the real choice and
/// the real retry budget. Endpoints serve in arrival order; reports reach the
/// entries late. Nothing of the network is modelled.
class Model
{
public:
  explicit Model(ModelOptions aOptions);

  ModelResult Run();

private:
  enum class Kind : std::uint8_t
  {
    Arrive,
    RunEnds,
    Report,
    ReportArrives,
    Sample,
  };
  struct Event
  {
    base::Instant time_;
    Kind kind_ = Kind::Arrive;
    std::size_t subject_ = 0; ///< Request, or endpoint.
    std::uint32_t value_ = 0;

    bool operator>(const Event& aOther) const { return time_ > aOther.time_; }
  };
  struct Request
  {
    base::Instant deadline_;
    base::Duration work_;
    std::size_t entry_ = 0;
    std::size_t endpoint_ = 0;
    std::vector<std::string> tried_;
  };
  struct Endpoint
  {
    std::string name_;
    std::uint32_t running_ = 0;
    std::deque<std::size_t> waiting_;
    bool fails_ = false;
  };
  struct Entry
  {
    EndpointChooser chooser_;
    RetryBudget budget_;
  };

  void Add(base::Duration aAfter,
           Kind aKind,
           std::size_t aSubject,
           std::uint32_t aValue = 0);
  void OnArrive();
  void OnRunEnds(std::size_t aRequest);
  void OnReport(std::size_t aEndpoint);
  void OnReportArrives(std::size_t aEndpoint, std::uint32_t aLoad);
  void OnSample();
  void Send(std::size_t aRequest, bool aIsRetry);
  void Reach(std::size_t aRequest, Endpoint& aEndpoint);
  void StartNext(Endpoint& aEndpoint);
  void LeaveEndpoint(std::size_t aRequest, bool aHasFailed);
  [[nodiscard]] bool IsTooLate(const Request& aRequest,
                               const Endpoint& aEndpoint) const;
  [[nodiscard]] base::Duration DrawExponential(base::Duration aMean);

  ModelOptions options_;
  ModelResult result_;
  std::mt19937_64 random_;
  base::Instant now_{ std::chrono::seconds{ 1000 } };
  base::Instant ends_;
  std::vector<Entry> entries_;
  std::vector<Endpoint> endpoints_;
  std::vector<Request> requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  double imbalanceSum_ = 0.0;
  std::uint64_t samples_ = 0;
};

} // namespace pumiceturn::routing
