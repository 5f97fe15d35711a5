#include "LibEndpoint/EngineClient.h"

#include "LibEndpoint/CompletionStream.h"
#include "LibEndpoint/ConnectionPool.h"
#include "LibEndpoint/HttpFailure.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace pumiceturn::endpoint {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr const char* kJsonType = "application/json";

/// A running stream. Its thread keeps both pointers valid until it has removed
/// the entry from the table under the table's lock.
struct RunningStream
{
  httplib::Client* client_ = nullptr;
  std::atomic<bool>* cancelled_ = nullptr;
};

std::string_view
NameOfCommand(CommandType aType)
{
  switch (aType) {
    case CommandType::LoadModel:
      return "load_model";
    case CommandType::LoadAdapter:
      return "load_adapter";
    case CommandType::SetRole:
      break;
  }
  return "set_role";
}

CompletionEnd
MakeNotSent(base::ResultCode aCode, std::string aDetail)
{
  CompletionEnd end;
  end.code_ = aCode;
  end.ran_ = base::Ran::NotRun;
  end.detail_ = std::move(aDetail);
  return end;
}

template<typename Parse>
auto
ParseResponse(const std::string& aBody, Parse aParse)
  -> base::Result<decltype(aParse(nlohmann::json{}))>
{
  try {
    return aParse(nlohmann::json::parse(aBody));
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ResultCode::EndpointFailed, error.what());
  }
}

EngineLoad
ParseLoad(const nlohmann::json& aResponse)
{
  EngineLoad load;
  load.running_ = aResponse.at("running").get<std::uint32_t>();
  load.waiting_ = aResponse.at("waiting").get<std::uint32_t>();
  load.maxRunning_ = aResponse.value("max_running", 0U);
  load.ageMs_ = aResponse.value("age_ms", std::uint64_t{ 0 });
  return load;
}

CacheEvent
ParseCacheEvent(const nlohmann::json& aEvent)
{
  CacheEvent event;
  event.sequence_ = aEvent.at("sequence").get<std::uint64_t>();
  event.change_ = aEvent.at("change").get<std::string>() == "evicted"
                    ? CacheChange::Evicted
                    : CacheChange::Stored;
  event.prefixHash_ = aEvent.at("prefix_hash").get<std::uint64_t>();
  event.prefixBytes_ = aEvent.at("prefix_bytes").get<std::uint32_t>();
  return event;
}

CacheEventPage
ParseCacheEvents(const nlohmann::json& aResponse, std::uint64_t aAfter)
{
  CacheEventPage page;
  page.lastSequence_ = aAfter;
  for (const nlohmann::json& element : aResponse.at("events")) {
    const CacheEvent event = ParseCacheEvent(element);
    // A restarted engine counts from 1 again and has an empty cache.
    page.hasGap_ = page.hasGap_ || event.sequence_ != page.lastSequence_ + 1;
    page.lastSequence_ = event.sequence_;
    page.events_.push_back(event);
  }
  return page;
}

} // namespace

struct EngineClient::State
{
  State(Options aOptions, ConnectionPool::Options aPoolOptions)
    : options_(std::move(aOptions))
    , pool_(std::move(aPoolOptions))
  {
  }

  /// Sends one control request and reads its response.
  template<typename Send>
  base::Result<httplib::Response> Exchange(Send aSend);

  /// Adds a running stream.
  /// @return false if the id is in use.
  bool Register(const std::string& aId, RunningStream aStream);
  void Unregister(const std::string& aId);

  /// Closes the connection of a stream, if it is running.
  void Disconnect(const std::string& aId);

  CompletionEnd RunStream(httplib::Client& aClient,
                          const std::string& aBody,
                          CompletionStream& aStream,
                          const std::atomic<bool>& aCancelled) const;

  const Options options_;
  ConnectionPool pool_;
  std::mutex mutex_; ///< Guards running_.
  std::map<std::string, RunningStream> running_;
};

template<typename Send>
base::Result<httplib::Response>
EngineClient::State::Exchange(Send aSend)
{
  auto client = pool_.Acquire();
  client->set_read_timeout(options_.controlTimeout_);
  const base::Instant begin = base::MonotonicNow();
  httplib::Result result = aSend(*client);
  if (!result) {
    const base::Duration idleTime = base::MonotonicNow() - begin;
    const HttpFailure failure =
      ClassifyError(result.error(), idleTime, options_.controlTimeout_);
    return base::Fail(failure.code_, httplib::to_string(result.error()));
  }
  pool_.Release(std::move(client));
  return std::move(*result);
}

bool
EngineClient::State::Register(const std::string& aId, RunningStream aStream)
{
  const std::scoped_lock lock(mutex_);
  return running_.emplace(aId, aStream).second;
}

void
EngineClient::State::Unregister(const std::string& aId)
{
  const std::scoped_lock lock(mutex_);
  running_.erase(aId);
}

void
EngineClient::State::Disconnect(const std::string& aId)
{
  const std::scoped_lock lock(mutex_);
  const auto found = running_.find(aId);
  if (found != running_.end()) {
    found->second.client_->stop();
  }
}

CompletionEnd
EngineClient::State::RunStream(httplib::Client& aClient,
                               const std::string& aBody,
                               CompletionStream& aStream,
                               const std::atomic<bool>& aCancelled) const
{
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers.emplace("Content-Type", kJsonType);
  request.headers.emplace("Accept", "text/event-stream");
  request.body = aBody;
  request.response_handler = [&](const httplib::Response& aHead) {
    return aStream.OnStatus(aHead.status, base::MonotonicNow());
  };
  request.content_receiver = [&](const char* aData,
                                 std::size_t aLength,
                                 std::uint64_t /*aOffset*/,
                                 std::uint64_t /*aTotal*/) {
    return aStream.OnBody({ aData, aLength }, base::MonotonicNow());
  };
  const base::Instant begin = base::MonotonicNow();
  aClient.set_read_timeout(options_.idleTimeout_);
  const httplib::Result result = aClient.send(request);
  CompletionEnd end = aStream.End();
  if (result || aStream.IsStopped() || aStream.IsDone()) {
    return end;
  }
  // Apart from a stop, only a malformed body aborts the exchange; End() reports
  // it.
  if (result.error() == httplib::Error::Canceled) {
    return end;
  }
  const base::Duration idleTime =
    base::MonotonicNow() - std::max(begin, aStream.LastReceived());
  const HttpFailure failure =
    ClassifyError(result.error(), idleTime, options_.idleTimeout_);
  end.code_ = failure.code_;
  end.ran_ = failure.ran_;
  end.detail_ = httplib::to_string(result.error());
  if (aCancelled.load() && failure.ran_ != base::Ran::NotRun) {
    end.code_ = base::ResultCode::Cancelled;
  }
  return end;
}

base::Result<std::unique_ptr<EngineClient>>
EngineClient::Make(Options aOptions)
{
  BOOST_LEAF_AUTO(poolOptions, ConnectionPool::ParseAddress(aOptions.address_));
  poolOptions.connectTimeout_ = aOptions.connectTimeout_;
  auto state =
    std::make_unique<State>(std::move(aOptions), std::move(poolOptions));
  return std::unique_ptr<EngineClient>(new EngineClient(std::move(state)));
}

EngineClient::EngineClient(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

EngineClient::~EngineClient() = default;

CompletionEnd
EngineClient::StreamCompletion(const CompletionRequest& aRequest,
                               const OnToken& aOnToken,
                               const ShouldStop& aShouldStop)
{
  std::string body;
  try {
    body = CompletionStream::MakeBody(aRequest);
  } catch (const nlohmann::json::exception& error) {
    return MakeNotSent(base::ResultCode::InvalidRequest, error.what());
  }
  std::atomic<bool> cancelled = false;
  auto client = state_->pool_.Acquire();
  if (!state_->Register(aRequest.id_, { client.get(), &cancelled })) {
    return MakeNotSent(base::ResultCode::InvalidRequest, "stream id is in use");
  }
  const ShouldStop shouldStop = [&] {
    return cancelled.load() || aShouldStop();
  };
  CompletionStream stream(aOnToken, shouldStop);
  CompletionEnd end =
    shouldStop()
      ? MakeNotSent(base::ResultCode::Cancelled, "stopped before it was sent")
      : state_->RunStream(*client, body, stream, cancelled);
  state_->Unregister(aRequest.id_);
  if (stream.IsDone()) {
    state_->pool_.Release(std::move(client));
  }
  return end;
}

base::Result<void>
EngineClient::Cancel(const std::string& aId)
{
  {
    const std::scoped_lock lock(state_->mutex_);
    const auto found = state_->running_.find(aId);
    if (found != state_->running_.end()) {
      *found->second.cancelled_ = true;
    }
  }
  const std::string body = nlohmann::json{ { "id", aId } }.dump();
  auto outcome = base::Capture([&]() -> base::Result<bool> {
    BOOST_LEAF_AUTO(response, state_->Exchange([&](httplib::Client& aClient) {
      return aClient.Post("/v1/cancel", body, kJsonType);
    }));
    if (response.status != kHttpOk) {
      return base::Fail(base::ResultCode::EndpointFailed, response.body);
    }
    return ParseResponse(response.body, [](const nlohmann::json& aResponse) {
      return aResponse.value("cancelled", false);
    });
  });
  const bool* wasCancelled = std::get_if<bool>(&outcome);
  if (wasCancelled != nullptr && *wasCancelled) {
    return {};
  }
  // The engine does not respond, or the stream has not reached it yet. Closing
  // the connection ends the stream there.
  state_->Disconnect(aId);
  BOOST_LEAF_CHECK(base::Release(std::move(outcome)));
  return {};
}

base::Result<EngineLoad>
EngineClient::ReadLoad()
{
  BOOST_LEAF_AUTO(response, state_->Exchange([](httplib::Client& aClient) {
    return aClient.Get("/v1/load");
  }));
  if (response.status != kHttpOk) {
    return base::Fail(base::ResultCode::EndpointFailed, response.body);
  }
  return ParseResponse(response.body, ParseLoad);
}

base::Result<CacheEventPage>
EngineClient::ReadCacheEvents(std::uint64_t aAfter)
{
  const std::string path = "/v1/cache_events?after=" + std::to_string(aAfter);
  BOOST_LEAF_AUTO(response, state_->Exchange([&](httplib::Client& aClient) {
    return aClient.Get(path);
  }));
  if (response.status != kHttpOk) {
    return base::Fail(base::ResultCode::EndpointFailed, response.body);
  }
  return ParseResponse(response.body, [&](const nlohmann::json& aResponse) {
    return ParseCacheEvents(aResponse, aAfter);
  });
}

base::Result<void>
EngineClient::SendCommand(const EngineCommand& aCommand)
{
  const std::string body =
    nlohmann::json{
      { "kind", NameOfCommand(aCommand.type_) },
      { "name", aCommand.name_ },
      { "version", aCommand.version_ },
      { "fence", aCommand.fence_ },
    }
      .dump();
  auto outcome = base::Capture([&] {
    return state_->Exchange([&](httplib::Client& aClient) {
      return aClient.Post("/v1/orders", body, kJsonType);
    });
  });
  if (auto* failure = std::get_if<base::Failure>(&outcome)) {
    // The engine may have executed a command that was sent.
    const bool notSent = failure->code_ == base::ResultCode::NoEndpoint;
    return base::Fail(notSent ? failure->code_
                              : base::ResultCode::OutcomeUnknown,
                      std::move(failure->detail_));
  }
  const auto& response = std::get<0>(outcome);
  if (response.status == kHttpConflict) {
    return base::Fail(base::ResultCode::StaleFence, response.body);
  }
  if (response.status != kHttpOk) {
    return base::Fail(base::ResultCode::EndpointFailed, response.body);
  }
  return {};
}

bool
EngineClient::IsHealthy()
{
  const auto outcome = base::Capture([&] {
    return state_->Exchange(
      [](httplib::Client& aClient) { return aClient.Get("/healthz"); });
  });
  const auto* response = std::get_if<httplib::Response>(&outcome);
  return response != nullptr && response->status == kHttpOk;
}

} // namespace pumiceturn::endpoint
