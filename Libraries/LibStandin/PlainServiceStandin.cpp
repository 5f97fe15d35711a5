#include "LibStandin/PlainServiceStandin.h"

#include "LibBase/Ids.h"
#include "LibStandin/Events.h"
#include "LibStandin/JsonExchange.h"
#include "LibStandin/StandinServer.h"

#include <fmt/format.h>

#include <condition_variable>
#include <mutex>
#include <unordered_map>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

constexpr const char* kKeyHeader = "Request-Key";

json
ToJson(const PlainServiceFaults& aFaults)
{
  return { { "lose_answers", aFaults.loseAnswers_ },
           { "crash_calls", aFaults.crashCalls_ },
           { "slow_ms", base::ToMs(aFaults.slow_) },
           { "crash_restart_ms", base::ToMs(aFaults.crashRestart_) } };
}

PlainServiceFaults
ApplyFaults(PlainServiceFaults aFaults, const json& aChange)
{
  aFaults.loseAnswers_ = aChange.value("lose_answers", aFaults.loseAnswers_);
  aFaults.crashCalls_ = aChange.value("crash_calls", aFaults.crashCalls_);
  aFaults.slow_ = MillisecondsOf(aChange, "slow_ms", aFaults.slow_);
  aFaults.crashRestart_ =
    MillisecondsOf(aChange, "crash_restart_ms", aFaults.crashRestart_);
  return aFaults;
}

/// Takes one of a number of faults still to come.
bool
TakeOne(std::uint32_t& aLeft)
{
  if (aLeft == 0) {
    return false;
  }
  --aLeft;
  return true;
}

} // namespace

struct PlainServiceStandin::State
{
  explicit State(Options aOptions)
    : options_(std::move(aOptions))
    , faults_(options_.faults_)
  {
  }

  void InstallRoutes(httplib::Server& aServer);
  void OnCall(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnFaults(const json& aBody, httplib::Response& aResponse);
  void SetFaults(const PlainServiceFaults& aFaults);
  void Crash();
  Counts Stats();

  const Options options_;
  std::mutex mutex_; ///< Guards the members below but server_.
  std::condition_variable wake_;
  PlainServiceFaults faults_;
  std::unordered_map<std::string, std::uint64_t> countByKey_;
  Counts counts_;
  bool stopping_ = false;
  std::unique_ptr<StandinServer> server_;
};

void
PlainServiceStandin::State::InstallRoutes(httplib::Server& aServer)
{
  aServer.Post(
    "/v1/call",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      OnCall(aRequest, aResponse);
    });
  aServer.Get("/healthz",
              [](const httplib::Request&, httplib::Response& aResponse) {
                ReplyJson(aResponse, { { "status", "ok" } });
              });
  aServer.Post(
    "/standin/faults",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnFaults(aBody, aResponse);
    }));
  aServer.Get("/standin/stats",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                const Counts counts = Stats();
                ReplyJson(aResponse,
                          { { "calls", counts.calls_ },
                            { "keys", counts.keys_ },
                            { "doubled", counts.doubled_ } });
              });
}

void
PlainServiceStandin::State::OnCall(const httplib::Request& aRequest,
                                   httplib::Response& aResponse)
{
  const std::string key = aRequest.get_header_value(kKeyHeader);
  if (key.empty()) {
    ReplyError(aResponse, kHttpBadRequest, "no Request-Key");
    return;
  }
  std::unique_lock lock(mutex_);
  const std::uint64_t count = ++countByKey_[key];
  ++counts_.calls_;
  counts_.keys_ += count == 1 ? 1 : 0;
  counts_.doubled_ += count == 2 ? 1 : 0;
  const bool crashes = TakeOne(faults_.crashCalls_);
  const bool loses = !crashes && TakeOne(faults_.loseAnswers_);
  wake_.wait_for(lock, faults_.slow_, [this] { return stopping_; });
  lock.unlock();
  if (crashes) {
    Crash();
  }
  if (loses) {
    TrackingServer::DropCurrentConnection();
  }
  const std::string hash =
    fmt::format("{:016x}", base::HashBytes(aRequest.body));
  ReplyJson(aResponse,
            { { "key", key }, { "count", count }, { "payload_hash", hash } });
}

void
PlainServiceStandin::State::OnFaults(const json& aBody,
                                     httplib::Response& aResponse)
{
  const auto unknown = FindUnknownKey(
    aBody,
    { "lose_answers", "crash_calls", "slow_ms", "crash_restart_ms", "crash" });
  if (unknown) {
    ReplyError(aResponse, kHttpBadRequest, "unknown fault: " + *unknown);
    return;
  }
  PlainServiceFaults faults;
  {
    const std::scoped_lock lock(mutex_);
    faults = ApplyFaults(faults_, aBody);
  }
  SetFaults(faults);
  ReplyJson(aResponse, ToJson(faults));
  if (aBody.value("crash", false)) {
    Crash();
  }
}

void
PlainServiceStandin::State::SetFaults(const PlainServiceFaults& aFaults)
{
  {
    const std::scoped_lock lock(mutex_);
    faults_ = aFaults;
  }
  base::Log(kFaultsSwitched,
            { { "standin", "service" }, { "faults", ToJson(aFaults).dump() } });
}

void
PlainServiceStandin::State::Crash()
{
  base::Duration restart;
  {
    const std::scoped_lock lock(mutex_);
    restart = faults_.crashRestart_;
  }
  server_->Crash(restart);
}

PlainServiceStandin::Counts
PlainServiceStandin::State::Stats()
{
  const std::scoped_lock lock(mutex_);
  return counts_;
}

base::Result<std::unique_ptr<PlainServiceStandin>>
PlainServiceStandin::Start(Options aOptions)
{
  auto state = std::make_unique<State>(std::move(aOptions));
  StandinServer::Options serverOptions;
  serverOptions.name_ = "service";
  serverOptions.host_ = state->options_.host_;
  serverOptions.port_ = state->options_.port_;
  serverOptions.maxConnections_ = state->options_.maxConnections_;
  State* raw = state.get();
  BOOST_LEAF_AUTO(server,
                  StandinServer::Start(std::move(serverOptions),
                                       [raw](httplib::Server& aServer) {
                                         raw->InstallRoutes(aServer);
                                       }));
  state->server_ = std::move(server);
  return std::unique_ptr<PlainServiceStandin>(
    new PlainServiceStandin(std::move(state)));
}

PlainServiceStandin::PlainServiceStandin(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

PlainServiceStandin::~PlainServiceStandin()
{
  Stop();
}

int
PlainServiceStandin::Port() const
{
  return state_->server_->Port();
}

void
PlainServiceStandin::Stop()
{
  {
    const std::scoped_lock lock(state_->mutex_);
    state_->stopping_ = true;
  }
  state_->wake_.notify_all();
  state_->server_->Stop();
}

void
PlainServiceStandin::SetFaults(const PlainServiceFaults& aFaults)
{
  state_->SetFaults(aFaults);
}

void
PlainServiceStandin::Crash()
{
  state_->Crash();
}

PlainServiceStandin::Counts
PlainServiceStandin::Stats() const
{
  return state_->Stats();
}

std::uint64_t
PlainServiceStandin::CountOf(const std::string& aKey) const
{
  const std::scoped_lock lock(state_->mutex_);
  const auto found = state_->countByKey_.find(aKey);
  return found == state_->countByKey_.end() ? 0 : found->second;
}

} // namespace pumiceturn::standin
