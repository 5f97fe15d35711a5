#include "LibStandin/KeyValueStandin.h"

#include "LibStandin/Events.h"
#include "LibStandin/JsonExchange.h"
#include "LibStandin/KeyValueJson.h"
#include "LibStandin/KeyValueStore.h"
#include "LibStandin/RateLimit.h"
#include "LibStandin/StandinServer.h"
#include "LibStandin/StateFile.h"

#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

/// How often a call or watch that waits looks whether its client has gone.
constexpr std::chrono::milliseconds kClosedPoll{ 50 };
constexpr int kCodeInvalidArgument = 3;
constexpr int kCodeNotFound = 5;
constexpr int kCodeExhausted = 8;
constexpr int kCodeFailedPrecondition = 9;
constexpr int kCodeUnavailable = 14;

void
ReplyGatewayError(httplib::Response& aResponse,
                  int aStatus,
                  int aCode,
                  const std::string& aWhat)
{
  const std::string text = "etcdserver: " + aWhat;
  ReplyJson(aResponse,
            { { "error", text }, { "code", aCode }, { "message", text } },
            aStatus);
}

void
ReplyFailure(httplib::Response& aResponse, const base::Failure& aFailure)
{
  switch (aFailure.code_) {
    case base::ResultCode::NotFound:
      ReplyGatewayError(
        aResponse, kHttpNotFound, kCodeNotFound, aFailure.detail_);
      return;
    case base::ResultCode::KeyConflict:
      ReplyGatewayError(
        aResponse, kHttpBadRequest, kCodeFailedPrecondition, aFailure.detail_);
      return;
    default:
      ReplyGatewayError(
        aResponse, kHttpBadRequest, kCodeInvalidArgument, aFailure.detail_);
  }
}

/// One open watch. Guarded by the stand-in's mutex.
struct Watch
{
  KeyRange range_;
  std::uint64_t nextRevision_ = 0;
  bool wantsProgress_ = false;
  bool announced_ = false; ///< The client was told that it is set up.
  bool dropped_ = false;
  bool silenced_ = false;
  base::Instant nextProgress_;
};

enum class CallType : std::uint8_t
{
  Read,
  Write,
};

} // namespace

struct KeyValueStandin::State
{
  using Counter = std::uint64_t KeyValueStats::*;
  /// Runs a call on the store, with the mutex held.
  using Call = std::function<base::Result<json>(const json&)>;

  explicit State(Options aOptions)
    : options_(std::move(aOptions))
  {
    ApplyFaults(options_.faults_);
  }

  void InstallRoutes(httplib::Server& aServer);
  void InstallLeaseRoutes(httplib::Server& aServer);
  void InstallStandinRoutes(httplib::Server& aServer);

  /// Adds a call's route, with all faults before and after the call.
  void Route(httplib::Server& aServer,
             const char* aPath,
             Counter aCounter,
             CallType aType,
             Call aCall);
  void OnCall(const json& aBody,
              httplib::Response& aResponse,
              CallType aType,
              const Call& aCall);

  /// Applies outage, slowness and rate limit.
  /// @return whether the call goes on; otherwise it is answered.
  bool Admit(std::unique_lock<std::mutex>& aLock,
             CallType aType,
             httplib::Response& aResponse);
  void MeetOutage(std::unique_lock<std::mutex>& aLock,
                  httplib::Response& aResponse);

  void OnWatch(const json& aBody, httplib::Response& aResponse);
  bool PumpWatch(Watch& aWatch, httplib::DataSink& aSink);
  void OnFaults(const json& aBody, httplib::Response& aResponse);

  void ExpireLeases();
  void Compact();
  void EndWatches(bool Watch::*aMark);
  KeyValueStats Stats();
  void RunExpiry();

  // These need the mutex.
  base::Result<json> Run(const Operation& aOperation);
  base::Result<json> RunTransaction(const json& aBody);
  base::Result<json> GrantLease(const json& aBody);
  base::Result<json> KeepLeaseAlive(const json& aBody);
  base::Result<json> RevokeLease(const json& aBody);
  [[nodiscard]] json Header() const;
  [[nodiscard]] std::string NextWatchLine(Watch& aWatch, base::Instant aNow);
  void Changed();
  void ApplyFaults(const KeyValueFaults& aFaults);

  const Options options_;
  std::mutex mutex_; ///< Guards the members below but server_ and thread_.
  std::condition_variable wake_;
  KeyValueFaults faults_;
  KeyValueStore store_;
  KeyValueStats stats_;
  RateLimit writes_;
  RateLimit reads_;
  std::vector<std::weak_ptr<Watch>> watches_;
  bool stopping_ = false;
  std::unique_ptr<StandinServer> server_;
  std::thread thread_;
};

void
KeyValueStandin::State::InstallRoutes(httplib::Server& aServer)
{
  Route(aServer,
        "/v3/kv/range",
        &KeyValueStats::range_,
        CallType::Read,
        [this](const json& aBody) { return Run(ParseRange(aBody)); });
  Route(aServer,
        "/v3/kv/put",
        &KeyValueStats::put_,
        CallType::Write,
        [this](const json& aBody) { return Run(ParsePut(aBody)); });
  Route(aServer,
        "/v3/kv/deleterange",
        &KeyValueStats::deleteRange_,
        CallType::Write,
        [this](const json& aBody) { return Run(ParseDelete(aBody)); });
  Route(aServer,
        "/v3/kv/txn",
        &KeyValueStats::txn_,
        CallType::Write,
        [this](const json& aBody) { return RunTransaction(aBody); });
  aServer.Post(
    "/v3/watch",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnWatch(aBody, aResponse);
    }));
  InstallLeaseRoutes(aServer);
  InstallStandinRoutes(aServer);
}

void
KeyValueStandin::State::InstallLeaseRoutes(httplib::Server& aServer)
{
  Route(aServer,
        "/v3/lease/grant",
        &KeyValueStats::leaseGrant_,
        CallType::Write,
        [this](const json& aBody) { return GrantLease(aBody); });
  Route(aServer,
        "/v3/lease/keepalive",
        &KeyValueStats::leaseKeepAlive_,
        CallType::Write,
        [this](const json& aBody) { return KeepLeaseAlive(aBody); });
  Route(aServer,
        "/v3/lease/revoke",
        &KeyValueStats::leaseRevoke_,
        CallType::Write,
        [this](const json& aBody) { return RevokeLease(aBody); });
}

void
KeyValueStandin::State::InstallStandinRoutes(httplib::Server& aServer)
{
  aServer.Post(
    "/standin/faults",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnFaults(aBody, aResponse);
    }));
  aServer.Get("/standin/faults",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                const std::scoped_lock lock(mutex_);
                ReplyJson(aResponse, ToJson(faults_));
              });
  aServer.Get("/standin/stats",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                ReplyJson(aResponse, ToJson(Stats()));
              });
}

void
KeyValueStandin::State::Route(httplib::Server& aServer,
                              const char* aPath,
                              Counter aCounter,
                              CallType aType,
                              Call aCall)
{
  aServer.Post(aPath,
               JsonHandler([this, aCounter, aType, call = std::move(aCall)](
                             const json& aBody, httplib::Response& aResponse) {
                 {
                   const std::scoped_lock lock(mutex_);
                   ++(stats_.*aCounter);
                 }
                 OnCall(aBody, aResponse, aType, call);
               }));
}

void
KeyValueStandin::State::OnCall(const json& aBody,
                               httplib::Response& aResponse,
                               CallType aType,
                               const Call& aCall)
{
  std::unique_lock lock(mutex_);
  if (!Admit(lock, aType, aResponse)) {
    return;
  }
  store_.ExpireLeases(base::MonotonicNow());
  const std::uint64_t before = store_.Revision();
  const auto outcome = base::Capture([&]() -> base::Result<json> {
    try {
      return aCall(aBody);
    } catch (const std::logic_error& error) {
      return base::Fail(base::ResultCode::InvalidRequest, error.what());
    }
  });
  if (store_.Revision() != before) {
    Changed();
  }
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    ReplyFailure(aResponse, *failure);
    return;
  }
  ReplyJson(aResponse, std::get<json>(outcome));
  if (aType == CallType::Write && faults_.loseAnswers_ > 0) {
    --faults_.loseAnswers_;
    ++stats_.answersLost_;
    TrackingServer::DropCurrentConnection();
  }
}

bool
KeyValueStandin::State::Admit(std::unique_lock<std::mutex>& aLock,
                              CallType aType,
                              httplib::Response& aResponse)
{
  wake_.wait_for(aLock, faults_.slow_, [this] { return stopping_; });
  if (faults_.outage_ != Outage::None) {
    MeetOutage(aLock, aResponse);
    return false;
  }
  RateLimit& limit = aType == CallType::Write ? writes_ : reads_;
  if (!limit.TryTake(base::MonotonicNow())) {
    ++stats_.rateLimited_;
    ReplyGatewayError(
      aResponse, kHttpTooManyRequests, kCodeExhausted, "too many requests");
    return false;
  }
  return true;
}

void
KeyValueStandin::State::MeetOutage(std::unique_lock<std::mutex>& aLock,
                                   httplib::Response& aResponse)
{
  ++stats_.outage_;
  if (faults_.outage_ == Outage::Error) {
    ReplyGatewayError(
      aResponse, kHttpUnavailable, kCodeUnavailable, "no leader");
    return;
  }
  const auto isOver = [this] {
    return stopping_ || faults_.outage_ != Outage::Silent ||
           !TrackingServer::IsCurrentConnectionOpen();
  };
  while (!wake_.wait_for(aLock, kClosedPoll, isOver)) {
  }
  TrackingServer::DropCurrentConnection();
}

json
KeyValueStandin::State::Header() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(store_.Revision()) },
           { "raft_term", "1" } };
}

base::Result<json>
KeyValueStandin::State::Run(const Operation& aOperation)
{
  BOOST_LEAF_AUTO(reply, store_.Execute(aOperation));
  json fields = standin::ToJson(reply);
  fields["header"] = Header();
  return fields;
}

base::Result<json>
KeyValueStandin::State::RunTransaction(const json& aBody)
{
  BOOST_LEAF_AUTO(reply, store_.Execute(ParseTransaction(aBody)));
  return standin::ToJson(reply, Header());
}

base::Result<json>
KeyValueStandin::State::GrantLease(const json& aBody)
{
  const std::uint64_t seconds = NumberField(aBody, "TTL");
  BOOST_LEAF_AUTO(id,
                  store_.GrantLease(NumberField(aBody, "ID"),
                                    std::chrono::seconds{ seconds },
                                    base::MonotonicNow()));
  return json{ { "header", Header() },
               { "ID", std::to_string(id) },
               { "TTL", std::to_string(seconds) } };
}

base::Result<json>
KeyValueStandin::State::KeepLeaseAlive(const json& aBody)
{
  const std::uint64_t id = NumberField(aBody, "ID");
  json result{ { "header", Header() }, { "ID", std::to_string(id) } };
  const auto timeToLive = store_.KeepLeaseAlive(id, base::MonotonicNow());
  // A lapsed lease has no TTL in its answer.
  if (timeToLive) {
    const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(*timeToLive);
    result["TTL"] = std::to_string(seconds.count());
  }
  return json{ { "result", std::move(result) } };
}

base::Result<json>
KeyValueStandin::State::RevokeLease(const json& aBody)
{
  if (!store_.RevokeLease(NumberField(aBody, "ID"))) {
    return base::Fail(base::ResultCode::NotFound, "requested lease not found");
  }
  return json{ { "header", Header() } };
}

void
KeyValueStandin::State::OnWatch(const json& aBody, httplib::Response& aResponse)
{
  std::unique_lock lock(mutex_);
  ++stats_.watch_;
  if (!Admit(lock, CallType::Read, aResponse)) {
    return;
  }
  const json& create = FieldOf(aBody, "create_request");
  if (!create.is_object()) {
    ReplyGatewayError(aResponse,
                      kHttpBadRequest,
                      kCodeInvalidArgument,
                      "only create_request is served");
    return;
  }
  const auto watch = std::make_shared<Watch>();
  try {
    watch->range_ = ParseRange(create).range_;
    watch->nextRevision_ = NumberField(create, "start_revision");
    watch->wantsProgress_ = FlagField(create, "progress_notify");
  } catch (const std::logic_error& error) {
    ReplyGatewayError(
      aResponse, kHttpBadRequest, kCodeInvalidArgument, error.what());
    return;
  }
  if (watch->nextRevision_ == 0) {
    watch->nextRevision_ = store_.Revision() + 1;
  }
  watch->nextProgress_ = base::MonotonicNow() + options_.progressInterval_;
  watches_.push_back(watch);
  ++stats_.watchesOpen_;
  aResponse.set_chunked_content_provider(
    kJsonType,
    [this, watch](std::size_t, httplib::DataSink& aSink) {
      return PumpWatch(*watch, aSink);
    },
    [this, watch](bool) {
      const std::scoped_lock releaseLock(mutex_);
      --stats_.watchesOpen_;
      std::erase_if(watches_,
                    [&](const auto& aWatch) { return aWatch.lock() == watch; });
    });
}

/// @return the next line for a watch, or nothing for now.
std::string
KeyValueStandin::State::NextWatchLine(Watch& aWatch, base::Instant aNow)
{
  json result{ { "header", Header() } };
  if (!aWatch.announced_) {
    aWatch.announced_ = true;
    result["created"] = true;
    return json{ { "result", std::move(result) } }.dump() + "\n";
  }
  const auto events = store_.EventsFrom(aWatch.range_, aWatch.nextRevision_);
  if (!events) {
    aWatch.dropped_ = true;
    result["canceled"] = true;
    result["compact_revision"] = std::to_string(store_.CompactRevision() + 1);
    return json{ { "result", std::move(result) } }.dump() + "\n";
  }
  aWatch.nextRevision_ = std::max(aWatch.nextRevision_, store_.Revision() + 1);
  if (!events->empty()) {
    for (const StoreEvent& event : *events) {
      result["events"].push_back(standin::ToJson(event));
    }
    return json{ { "result", std::move(result) } }.dump() + "\n";
  }
  if (aWatch.wantsProgress_ && aNow >= aWatch.nextProgress_) {
    aWatch.nextProgress_ = aNow + options_.progressInterval_;
    return json{ { "result", std::move(result) } }.dump() + "\n";
  }
  return {};
}

bool
KeyValueStandin::State::PumpWatch(Watch& aWatch, httplib::DataSink& aSink)
{
  std::string line;
  {
    std::unique_lock lock(mutex_);
    const auto canSend = [&] {
      if (stopping_ || aWatch.dropped_) {
        return true;
      }
      const bool isCutOff =
        aWatch.silenced_ || faults_.outage_ == Outage::Silent;
      if (isCutOff) {
        return false;
      }
      line = NextWatchLine(aWatch, base::MonotonicNow());
      return !line.empty();
    };
    while (!wake_.wait_for(lock, kClosedPoll, canSend)) {
      lock.unlock();
      if (!aSink.is_writable()) {
        return false;
      }
      lock.lock();
    }
  }
  if (line.empty()) {
    return false;
  }
  return aSink.write(line.data(), line.size());
}

void
KeyValueStandin::State::Changed()
{
  if (!options_.stateFile_.empty()) {
    const auto saved =
      base::Capture([&] { return SaveState(store_, options_.stateFile_); });
    if (const auto* failure = std::get_if<base::Failure>(&saved)) {
      base::Log(kStateNotKept, { { "file", failure->detail_ } });
    }
  }
  wake_.notify_all();
}

void
KeyValueStandin::State::ApplyFaults(const KeyValueFaults& aFaults)
{
  faults_ = aFaults;
  writes_.SetRate(aFaults.writesPerSecond_);
  reads_.SetRate(aFaults.readsPerSecond_);
  const bool cutsWatches =
    aFaults.outage_ == Outage::Drop || aFaults.outage_ == Outage::Error;
  for (const auto& weak : watches_) {
    if (const auto watch = weak.lock(); watch && cutsWatches) {
      watch->dropped_ = true;
    }
  }
  wake_.notify_all();
}

void
KeyValueStandin::State::OnFaults(const json& aBody,
                                 httplib::Response& aResponse)
{
  const auto unknown = FindUnknownKey(aBody,
                                      { "outage",
                                        "slow_ms",
                                        "lose_answers",
                                        "writes_per_second",
                                        "reads_per_second",
                                        "expire_leases",
                                        "compact",
                                        "drop_watches",
                                        "silence_watches" });
  if (unknown) {
    ReplyError(aResponse, kHttpBadRequest, "unknown fault: " + *unknown);
    return;
  }
  json faults;
  try {
    const std::scoped_lock lock(mutex_);
    ApplyFaults(standin::ApplyFaults(faults_, aBody));
    faults = ToJson(faults_);
  } catch (const std::invalid_argument& error) {
    ReplyError(aResponse, kHttpBadRequest, error.what());
    return;
  }
  base::Log(kFaultsSwitched,
            { { "standin", "kv" }, { "faults", faults.dump() } });
  if (aBody.value("expire_leases", false)) {
    ExpireLeases();
  }
  if (aBody.value("compact", false)) {
    Compact();
  }
  if (aBody.value("drop_watches", false)) {
    EndWatches(&Watch::dropped_);
  }
  if (aBody.value("silence_watches", false)) {
    EndWatches(&Watch::silenced_);
  }
  ReplyJson(aResponse, faults);
}

void
KeyValueStandin::State::ExpireLeases()
{
  const std::scoped_lock lock(mutex_);
  store_.ExpireAllLeases();
  Changed();
}

void
KeyValueStandin::State::Compact()
{
  const std::scoped_lock lock(mutex_);
  store_.Compact();
}

void
KeyValueStandin::State::EndWatches(bool Watch::*aMark)
{
  const std::scoped_lock lock(mutex_);
  for (const auto& weak : watches_) {
    if (const auto watch = weak.lock()) {
      (*watch).*aMark = true;
    }
  }
  wake_.notify_all();
}

KeyValueStats
KeyValueStandin::State::Stats()
{
  const std::scoped_lock lock(mutex_);
  return stats_;
}

/// Lets leases lapse in time also when nobody calls.
void
KeyValueStandin::State::RunExpiry()
{
  constexpr std::chrono::seconds kLongestWait{ 1 };
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const base::Instant now = base::MonotonicNow();
    const std::uint64_t before = store_.Revision();
    store_.ExpireLeases(now);
    if (store_.Revision() != before) {
      Changed();
    }
    const base::Instant latest = now + kLongestWait;
    const auto next = store_.NextExpiry();
    wake_.wait_until(lock, next ? std::min(*next, latest) : latest);
  }
}

base::Result<std::unique_ptr<KeyValueStandin>>
KeyValueStandin::Start(Options aOptions)
{
  auto state = std::make_unique<State>(std::move(aOptions));
  if (!state->options_.stateFile_.empty()) {
    BOOST_LEAF_CHECK(LoadState(state->store_, state->options_.stateFile_));
  }
  StandinServer::Options serverOptions;
  serverOptions.name_ = "kv";
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
  state->thread_ = std::thread([raw] { raw->RunExpiry(); });
  return std::unique_ptr<KeyValueStandin>(
    new KeyValueStandin(std::move(state)));
}

KeyValueStandin::KeyValueStandin(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

KeyValueStandin::~KeyValueStandin()
{
  Stop();
}

int
KeyValueStandin::Port() const
{
  return state_->server_->Port();
}

void
KeyValueStandin::Stop()
{
  {
    const std::scoped_lock lock(state_->mutex_);
    if (state_->stopping_) {
      return;
    }
    state_->stopping_ = true;
  }
  state_->wake_.notify_all();
  state_->thread_.join();
  state_->server_->Stop();
}

void
KeyValueStandin::SetFaults(const KeyValueFaults& aFaults)
{
  const std::scoped_lock lock(state_->mutex_);
  state_->ApplyFaults(aFaults);
}

KeyValueFaults
KeyValueStandin::Faults() const
{
  const std::scoped_lock lock(state_->mutex_);
  return state_->faults_;
}

void
KeyValueStandin::ExpireLeases()
{
  state_->ExpireLeases();
}

void
KeyValueStandin::Compact()
{
  state_->Compact();
}

void
KeyValueStandin::DropWatches()
{
  state_->EndWatches(&Watch::dropped_);
}

void
KeyValueStandin::SilenceWatches()
{
  state_->EndWatches(&Watch::silenced_);
}

KeyValueStats
KeyValueStandin::Stats() const
{
  return state_->Stats();
}

} // namespace pumiceturn::standin
