#include "LibStandin/EngineStandin.h"

#include "LibBase/Ids.h"
#include "LibStandin/CacheEventFeed.h"
#include "LibStandin/Events.h"
#include "LibStandin/JsonExchange.h"
#include "LibStandin/LoadHistory.h"
#include "LibStandin/OrderBook.h"
#include "LibStandin/StandinServer.h"

#include <charconv>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

/// How often a stream that waits looks whether its client has gone.
constexpr std::chrono::milliseconds kClosedPoll{ 50 };
constexpr std::size_t kMaxCountedPrompts = std::size_t{ 1 } << 20U;
constexpr const char* kEventStreamType = "text/event-stream";
constexpr const char* kEndMarker = "data: [DONE]\n\n";

/// What one client's connection has to send. Guarded by the stand-in's mutex.
struct ClientStream
{
  std::string clientId_;
  std::string outbox_;
  bool ended_ = false;    ///< The outbox holds the last event.
  bool aborted_ = false;  ///< The connection must break.
  bool silenced_ = false; ///< Says nothing and stays open.
  std::condition_variable wake_;
};

std::string
MakeEvent(const ClientStream& aStream, const Emission& aEmission)
{
  json choice{ { "text", aEmission.text_ }, { "index", 0 } };
  choice["finish_reason"] = aEmission.finishReason_.empty()
                              ? json(nullptr)
                              : json(aEmission.finishReason_);
  json event{ { "id", aStream.clientId_ },
              { "object", "text_completion" },
              { "choices", json::array({ std::move(choice) }) } };
  if (!aEmission.finishReason_.empty()) {
    event["usage"] = { { "cached_tokens", aEmission.cachedTokens_ } };
  }
  return "data: " + event.dump() + "\n\n";
}

} // namespace

struct EngineStandin::State
{
  using StreamPointer = std::shared_ptr<ClientStream>;

  explicit State(Options aOptions)
    : options_(std::move(aOptions))
    , faults_(options_.faults_)
    , model_(options_.model_)
  {
    feed_.SetLoseOneOf(faults_.loseOneOf_);
  }

  void InstallRoutes(httplib::Server& aServer);
  void InstallStandinRoutes(httplib::Server& aServer);

  void OnCompletion(const json& aBody, httplib::Response& aResponse);
  void OnCancel(const json& aBody, httplib::Response& aResponse);
  void OnLoad(httplib::Response& aResponse);
  void OnCacheEvents(const httplib::Request& aRequest,
                     httplib::Response& aResponse);
  void OnOrder(const json& aBody, httplib::Response& aResponse);
  void OnModels(httplib::Response& aResponse);
  void OnFaults(const json& aBody, httplib::Response& aResponse);

  /// Sends what a stream has. @return false to break the connection.
  bool Pump(ClientStream& aStream, httplib::DataSink& aSink);

  void RunSteps();
  void Crash();
  void SilenceRunning();
  void SetFaults(const EngineFaults& aFaults);
  EngineStats Stats();
  std::uint64_t RunsOf(std::string_view aPrompt);

  // These need the mutex.
  StreamPointer Submit(EngineModel::Submission aSubmission);
  bool CancelStream(const std::string& aModelId, const char* aReason);
  void Deliver(const std::vector<Emission>& aEmissions);
  void RecordLoad();
  void PublishCacheChanges();

  const Options options_;
  std::mutex mutex_; ///< Guards all members below but server_ and thread_.
  std::condition_variable wake_;
  EngineFaults faults_;
  EngineModel model_;
  OrderBook orders_;
  CacheEventFeed feed_;
  LoadHistory load_;
  EngineStats stats_;
  std::map<std::string, StreamPointer> streams_; ///< By the model's id.
  std::unordered_map<std::uint64_t, std::uint64_t> runsByPrompt_;
  std::uint64_t nextStream_ = 1;
  std::uint64_t generation_ = 0; ///< Counts crashes, to void a step under way.
  bool stopping_ = false;
  std::unique_ptr<StandinServer> server_;
  std::thread thread_;
};

void
EngineStandin::State::InstallRoutes(httplib::Server& aServer)
{
  aServer.Post(
    "/v1/completions",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnCompletion(aBody, aResponse);
    }));
  aServer.Post(
    "/v1/cancel",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnCancel(aBody, aResponse);
    }));
  aServer.Post(
    "/v1/orders",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      OnOrder(aBody, aResponse);
    }));
  aServer.Get("/v1/load",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                OnLoad(aResponse);
              });
  aServer.Get(
    "/v1/cache_events",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      OnCacheEvents(aRequest, aResponse);
    });
  aServer.Get("/v1/models",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                OnModels(aResponse);
              });
  aServer.Get("/healthz",
              [](const httplib::Request&, httplib::Response& aResponse) {
                ReplyJson(aResponse, { { "status", "ok" } });
              });
  const auto notImplemented = [](const httplib::Request&,
                                 httplib::Response& aResponse) {
    ReplyError(aResponse, kHttpNotImplemented, "KV transfer is not there");
  };
  aServer.Post("/v1/kv/export", notImplemented);
  aServer.Post("/v1/kv/import", notImplemented);
  InstallStandinRoutes(aServer);
}

void
EngineStandin::State::InstallStandinRoutes(httplib::Server& aServer)
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
  aServer.Post(
    "/standin/runs",
    JsonHandler([this](const json& aBody, httplib::Response& aResponse) {
      const auto prompt = aBody.at("prompt").get<std::string>();
      ReplyJson(aResponse, { { "runs", RunsOf(prompt) } });
    }));
}

void
EngineStandin::State::OnCompletion(const json& aBody,
                                   httplib::Response& aResponse)
{
  if (!aBody.value("stream", false)) {
    ReplyError(aResponse, kHttpBadRequest, "only stream: true is served");
    return;
  }
  EngineModel::Submission submission;
  submission.id_ = aBody.value("id", std::string{});
  submission.prompt_ = aBody.at("prompt").get<std::string>();
  submission.maxTokens_ = aBody.value("max_tokens", 0U);
  submission.resumeFrom_ = aBody.value("resume_from", 0U);
  std::unique_lock lock(mutex_);
  if (faults_.rejectCompletions_) {
    ReplyError(aResponse, kHttpUnavailable, "no completions now");
    return;
  }
  const StreamPointer stream = Submit(std::move(submission));
  if (!stream) {
    ReplyError(aResponse, kHttpTooManyRequests, "too many streams wait");
    return;
  }
  const std::string modelId = std::to_string(nextStream_ - 1);
  lock.unlock();
  wake_.notify_one();
  aResponse.set_chunked_content_provider(
    kEventStreamType,
    [this, stream](std::size_t, httplib::DataSink& aSink) {
      return Pump(*stream, aSink);
    },
    [this, modelId](bool) {
      const std::scoped_lock releaseLock(mutex_);
      CancelStream(modelId, nullptr);
    });
}

EngineStandin::State::StreamPointer
EngineStandin::State::Submit(EngineModel::Submission aSubmission)
{
  auto stream = std::make_shared<ClientStream>();
  stream->clientId_ = aSubmission.id_;
  aSubmission.id_ = std::to_string(nextStream_);
  const std::string modelId = aSubmission.id_;
  const std::uint64_t hash = base::HashBytes(aSubmission.prompt_);
  if (!model_.Submit(std::move(aSubmission))) {
    return nullptr;
  }
  ++nextStream_;
  ++stats_.submitted_;
  if (runsByPrompt_.size() < kMaxCountedPrompts ||
      runsByPrompt_.contains(hash)) {
    ++runsByPrompt_[hash];
  }
  streams_.emplace(modelId, stream);
  RecordLoad();
  return stream;
}

bool
EngineStandin::State::Pump(ClientStream& aStream, httplib::DataSink& aSink)
{
  std::string ready;
  bool ended = false;
  {
    std::unique_lock lock(mutex_);
    const auto canSend = [&] {
      return aStream.aborted_ || (!aStream.silenced_ &&
                                  (aStream.ended_ || !aStream.outbox_.empty()));
    };
    while (!aStream.wake_.wait_for(lock, kClosedPoll, canSend)) {
      lock.unlock();
      if (!aSink.is_writable()) {
        return false;
      }
      lock.lock();
    }
    if (aStream.aborted_) {
      return false;
    }
    ready.swap(aStream.outbox_);
    ended = aStream.ended_;
  }
  if (ended) {
    ready += kEndMarker;
  }
  if (!aSink.write(ready.data(), ready.size())) {
    return false;
  }
  if (ended) {
    aSink.done();
  }
  return true;
}

/// @param aReason Finish reason for the client, or null when it has gone.
bool
EngineStandin::State::CancelStream(const std::string& aModelId,
                                   const char* aReason)
{
  const auto found = streams_.find(aModelId);
  if (found == streams_.end()) {
    return false;
  }
  const StreamPointer stream = found->second;
  model_.Cancel(aModelId);
  streams_.erase(found);
  ++stats_.cancelled_;
  if (aReason != nullptr) {
    Emission emission;
    emission.finishReason_ = aReason;
    stream->outbox_ += MakeEvent(*stream, emission);
    stream->ended_ = true;
    stream->wake_.notify_all();
  }
  RecordLoad();
  PublishCacheChanges();
  return true;
}

void
EngineStandin::State::OnCancel(const json& aBody, httplib::Response& aResponse)
{
  const auto clientId = aBody.at("id").get<std::string>();
  bool cancelled = false;
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> modelIds;
  for (const auto& [modelId, stream] : streams_) {
    if (stream->clientId_ == clientId) {
      modelIds.push_back(modelId);
    }
  }
  for (const std::string& modelId : modelIds) {
    cancelled = CancelStream(modelId, "cancelled") || cancelled;
  }
  ReplyJson(aResponse, { { "cancelled", cancelled } });
}

void
EngineStandin::State::OnLoad(httplib::Response& aResponse)
{
  const std::scoped_lock lock(mutex_);
  const LoadSample sample = load_.At(base::MonotonicNow() - faults_.loadLag_);
  ReplyJson(aResponse,
            { { "running", sample.running_ },
              { "waiting", sample.waiting_ },
              { "max_running", options_.model_.maxRunning_ },
              { "age_ms", base::ToMs(faults_.loadLag_) } });
}

void
EngineStandin::State::OnCacheEvents(const httplib::Request& aRequest,
                                    httplib::Response& aResponse)
{
  const std::string text = aRequest.get_param_value("after");
  std::uint64_t after = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, after);
  if (!text.empty() && (parsed.ec != std::errc{} || parsed.ptr != end)) {
    ReplyError(aResponse, kHttpBadRequest, "after is no number");
    return;
  }
  json events = json::array();
  const std::scoped_lock lock(mutex_);
  for (const PublishedChange& published :
       feed_.ReadAfter(after, faults_.eventDelay_, base::MonotonicNow())) {
    events.push_back(
      { { "sequence", published.sequence_ },
        { "change", published.change_.stored_ ? "stored" : "evicted" },
        { "prefix_hash", published.change_.hash_ },
        { "prefix_bytes", published.change_.bytes_ } });
  }
  ReplyJson(aResponse, { { "events", std::move(events) } });
}

void
EngineStandin::State::OnOrder(const json& aBody, httplib::Response& aResponse)
{
  OrderBook::Order order;
  order.kind_ = aBody.at("kind").get<std::string>();
  order.name_ = aBody.at("name").get<std::string>();
  order.version_ = aBody.value("version", std::string{});
  order.fence_ = aBody.at("fence").get<std::uint64_t>();
  if (!OrderBook::IsKnownKind(order.kind_)) {
    ReplyError(aResponse, kHttpBadRequest, "unknown kind of order");
    return;
  }
  const std::scoped_lock lock(mutex_);
  const FenceCheck check =
    faults_.ignoreFence_ ? FenceCheck::Ignored : FenceCheck::Enforced;
  if (!orders_.Obey(order, check)) {
    ++stats_.staleOrders_;
    ReplyJson(
      aResponse,
      { { "error", "stale fence" }, { "fence", orders_.HighestFence() } },
      kHttpConflict);
    return;
  }
  ++stats_.orders_;
  ReplyJson(aResponse, { { "fence", orders_.HighestFence() } });
}

void
EngineStandin::State::OnModels(httplib::Response& aResponse)
{
  const std::scoped_lock lock(mutex_);
  ReplyJson(aResponse,
            { { "models", orders_.Models() },
              { "adapters", orders_.Adapters() },
              { "role", orders_.Role() },
              { "fence", orders_.HighestFence() } });
}

void
EngineStandin::State::OnFaults(const json& aBody, httplib::Response& aResponse)
{
  const auto unknown = FindUnknownKey(aBody,
                                      { "slow_factor",
                                        "hang",
                                        "reject_completions",
                                        "ignore_fence",
                                        "load_lag_ms",
                                        "event_delay_ms",
                                        "event_lose_one_of",
                                        "crash_restart_ms",
                                        "crash",
                                        "silence_running" });
  if (unknown) {
    ReplyError(aResponse, kHttpBadRequest, "unknown fault: " + *unknown);
    return;
  }
  EngineFaults faults;
  {
    const std::scoped_lock lock(mutex_);
    faults = ApplyFaults(faults_, aBody);
  }
  SetFaults(faults);
  ReplyJson(aResponse, ToJson(faults));
  if (aBody.value("silence_running", false)) {
    SilenceRunning();
  }
  if (aBody.value("crash", false)) {
    Crash();
  }
}

void
EngineStandin::State::SetFaults(const EngineFaults& aFaults)
{
  {
    const std::scoped_lock lock(mutex_);
    faults_ = aFaults;
    feed_.SetLoseOneOf(aFaults.loseOneOf_);
  }
  wake_.notify_all();
  base::Log(kFaultsSwitched,
            { { "standin", "engine" }, { "faults", ToJson(aFaults).dump() } });
}

EngineStats
EngineStandin::State::Stats()
{
  const std::scoped_lock lock(mutex_);
  EngineStats stats = stats_;
  stats.running_ = model_.Running();
  stats.waiting_ = model_.Waiting();
  return stats;
}

void
EngineStandin::State::RecordLoad()
{
  load_.Record({ model_.Running(), model_.Waiting() }, base::MonotonicNow());
}

void
EngineStandin::State::PublishCacheChanges()
{
  const base::Instant now = base::MonotonicNow();
  for (const PrefixChange& change : model_.TakeCacheChanges()) {
    feed_.Append(change, now);
  }
}

void
EngineStandin::State::Deliver(const std::vector<Emission>& aEmissions)
{
  for (const Emission& emission : aEmissions) {
    const auto found = streams_.find(emission.id_);
    if (found == streams_.end()) {
      continue;
    }
    const StreamPointer stream = found->second;
    stats_.tokens_ += emission.text_.empty() ? 0 : 1;
    stream->outbox_ += MakeEvent(*stream, emission);
    if (!emission.finishReason_.empty()) {
      stream->ended_ = true;
      streams_.erase(found);
      ++stats_.finished_;
    }
    stream->wake_.notify_all();
  }
}

void
EngineStandin::State::RunSteps()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (faults_.hang_) {
      wake_.wait(lock, [this] { return stopping_ || !faults_.hang_; });
      continue;
    }
    const base::Duration length = model_.BeginStep();
    if (length == base::Duration::zero()) {
      wake_.wait(lock, [this] { return stopping_ || model_.Waiting() > 0; });
      continue;
    }
    RecordLoad();
    PublishCacheChanges();
    const std::uint64_t generation = generation_;
    const auto scaled =
      std::chrono::duration_cast<base::Duration>(length * faults_.slowFactor_);
    wake_.wait_until(lock, base::MonotonicNow() + scaled, [&] {
      return stopping_ || generation_ != generation;
    });
    if (stopping_ || generation_ != generation) {
      continue;
    }
    ++stats_.steps_;
    if (model_.MustCrash()) {
      lock.unlock();
      Crash();
      lock.lock();
      continue;
    }
    Deliver(model_.EndStep());
    RecordLoad();
    PublishCacheChanges();
  }
}

void
EngineStandin::State::Crash()
{
  base::Duration restart;
  {
    const std::scoped_lock lock(mutex_);
    restart = faults_.crashRestart_;
    ++stats_.crashes_;
  }
  // Connections first: a client that learned of the crash sooner could get a
  // new request in before the engine refuses.
  server_->Crash(restart);
  {
    const std::scoped_lock lock(mutex_);
    ++generation_;
    model_.Restart();
    orders_ = OrderBook{};
    feed_.Restart();
    for (const auto& [modelId, stream] : streams_) {
      stream->aborted_ = true;
      stream->wake_.notify_all();
    }
    streams_.clear();
    RecordLoad();
  }
  wake_.notify_all();
}

void
EngineStandin::State::SilenceRunning()
{
  const std::scoped_lock lock(mutex_);
  for (const auto& [modelId, stream] : streams_) {
    stream->silenced_ = true;
  }
}

std::uint64_t
EngineStandin::State::RunsOf(std::string_view aPrompt)
{
  const std::uint64_t hash = base::HashBytes(aPrompt);
  const std::scoped_lock lock(mutex_);
  const auto found = runsByPrompt_.find(hash);
  return found == runsByPrompt_.end() ? 0 : found->second;
}

base::Result<std::unique_ptr<EngineStandin>>
EngineStandin::Start(Options aOptions)
{
  auto state = std::make_unique<State>(std::move(aOptions));
  StandinServer::Options serverOptions;
  serverOptions.name_ = "engine";
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
  state->thread_ = std::thread([raw] { raw->RunSteps(); });
  return std::unique_ptr<EngineStandin>(new EngineStandin(std::move(state)));
}

EngineStandin::EngineStandin(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

EngineStandin::~EngineStandin()
{
  Stop();
}

int
EngineStandin::Port() const
{
  return state_->server_->Port();
}

void
EngineStandin::Stop()
{
  {
    const std::scoped_lock lock(state_->mutex_);
    if (state_->stopping_) {
      return;
    }
    state_->stopping_ = true;
    for (const auto& [modelId, stream] : state_->streams_) {
      stream->aborted_ = true;
      stream->wake_.notify_all();
    }
  }
  state_->wake_.notify_all();
  state_->thread_.join();
  state_->server_->Stop();
}

void
EngineStandin::SetFaults(const EngineFaults& aFaults)
{
  state_->SetFaults(aFaults);
}

EngineFaults
EngineStandin::Faults() const
{
  const std::scoped_lock lock(state_->mutex_);
  return state_->faults_;
}

void
EngineStandin::Crash()
{
  state_->Crash();
}

void
EngineStandin::SilenceRunning()
{
  state_->SilenceRunning();
}

EngineStats
EngineStandin::Stats() const
{
  return state_->Stats();
}

std::uint64_t
EngineStandin::RunsOf(std::string_view aPrompt) const
{
  return state_->RunsOf(aPrompt);
}

} // namespace pumiceturn::standin
