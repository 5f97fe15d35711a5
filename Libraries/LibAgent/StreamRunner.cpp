#include "LibAgent/StreamRunner.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::agent {

using base::Ran;
using base::ResultCode;
using dispatch::StreamEnd;
using dispatch::StreamResult;

namespace {

constexpr base::Duration kMaxPlainCallTime{ std::chrono::seconds{ 60 } };

/// @return the stream's id at the engine. It contains the generation, so that a
/// late cancellation of a preempted stream does not cancel the
/// resumed one.
std::string
EngineStreamIdOf(const dispatch::StreamId& aStream)
{
  return base::ToString(aStream.run_) + "/" +
         std::to_string(aStream.generation_);
}

StreamResult
ResultOf(ResultCode aCode, Ran aRan)
{
  switch (aCode) {
    case ResultCode::Ok:
      return StreamResult::Finished;
    case ResultCode::Cancelled:
      return StreamResult::Cancelled;
    case ResultCode::NoEndpoint:
      return StreamResult::NotSent;
    case ResultCode::EndpointCrashed:
      return StreamResult::Broken;
    default:
      return aRan == Ran::NotRun ? StreamResult::Rejected
                                 : StreamResult::Failed;
  }
}

/// Runs one stream on either kind of endpoint.
struct StreamVisitor
{
  const dispatch::StartStream& start_;
  const std::string& model_;
  const std::atomic<bool>& cancelled_;
  const StreamRunner::Handlers& handlers_;

  StreamEnd operator()(
    const std::shared_ptr<endpoint::EngineClient>& aEngine) const
  {
    endpoint::CompletionRequest request;
    request.id_ = EngineStreamIdOf(start_.stream_);
    request.model_ = model_;
    request.prompt_ = start_.payload_;
    request.maxTokens_ = start_.maxTokens_;
    request.resumeTokens_ = start_.resumeTokens_;
    const auto onToken = [this](std::string_view aText) {
      handlers_.chunk_(start_.stream_,
                       dispatch::ResponseChunk{ std::string(aText), 1 });
      return cancelled_ ? endpoint::TokenDecision::Stop
                        : endpoint::TokenDecision::Continue;
    };
    const auto shouldStop = [this] { return cancelled_.load(); };
    const endpoint::CompletionEnd end =
      aEngine->StreamCompletion(request, onToken, shouldStop);
    return StreamEnd{
      ResultOf(end.code_, end.ran_), end.ran_, end.code_, end.detail_
    };
  }

  StreamEnd operator()(const endpoint::PlainServiceClient& aService) const
  {
    if (cancelled_) {
      return StreamEnd{
        StreamResult::Cancelled, Ran::NotRun, ResultCode::Cancelled, {}
      };
    }
    const base::Duration timeLeft = start_.timeLeft_ > base::Duration::zero()
                                      ? start_.timeLeft_
                                      : kMaxPlainCallTime;
    // All attempts at an item have the same key, by which the service can
    // detect repeated calls.
    const std::string key = base::ToString(start_.stream_.run_.job_) + "/" +
                            std::to_string(start_.stream_.run_.item_);
    endpoint::PlainCallEnd end = aService.Call(start_.payload_, key, timeLeft);
    if (end.code_ == ResultCode::Ok) {
      handlers_.chunk_(start_.stream_,
                       dispatch::ResponseChunk{ std::move(end.body_), 1 });
    }
    return StreamEnd{
      ResultOf(end.code_, end.ran_), end.ran_, end.code_, end.detail_
    };
  }
};

struct HealthVisitor
{
  bool operator()(const std::shared_ptr<endpoint::EngineClient>& aEngine) const
  {
    return aEngine->IsHealthy();
  }
  bool operator()(const endpoint::PlainServiceClient& aService) const
  {
    return aService.IsHealthy();
  }
};

} // namespace

StreamRunner::StreamRunner(EndpointClient aEndpointClient, Handlers aHandlers)
  : endpointClient_(std::move(aEndpointClient))
  , handlers_(std::move(aHandlers))
{
}

StreamRunner::~StreamRunner()
{
  Stop();
}

void
StreamRunner::Start(dispatch::StartStream aStart, std::string aModel)
{
  auto cancelled = std::make_shared<std::atomic<bool>>(false);
  {
    const std::scoped_lock lock(mutex_);
    streams_[EngineStreamIdOf(aStart.stream_)] = cancelled;
  }
  Post(
    [this,
     start = std::move(aStart),
     model = std::move(aModel),
     cancelled = std::move(cancelled)] { RunStream(start, model, cancelled); });
}

void
StreamRunner::RunStream(const dispatch::StartStream& aStart,
                        const std::string& aModel,
                        const CancelFlag& aCancelled)
{
  const StreamEnd end = std::visit(
    StreamVisitor{ aStart, aModel, *aCancelled, handlers_ }, endpointClient_);
  {
    const std::scoped_lock lock(mutex_);
    streams_.erase(EngineStreamIdOf(aStart.stream_));
  }
  handlers_.ended_(aStart.stream_, end);
}

void
StreamRunner::Cancel(const dispatch::StreamId& aStream)
{
  const std::string name = EngineStreamIdOf(aStream);
  {
    const std::scoped_lock lock(mutex_);
    const auto found = streams_.find(name);
    if (found == streams_.end()) {
      return;
    }
    // A stream checks this flag before it sends its request.
    found->second->store(true);
  }
  const auto* engine =
    std::get_if<std::shared_ptr<endpoint::EngineClient>>(&endpointClient_);
  if (engine == nullptr) {
    return;
  }
  Post([engine = *engine, name] {
    // If the engine does not confirm, Cancel() closes the connection, which
    // ends the stream.
    static_cast<void>(base::Capture([&] { return engine->Cancel(name); }));
  });
}

void
StreamRunner::Post(std::function<void()> aTask)
{
  const std::scoped_lock lock(mutex_);
  if (stopping_) {
    return;
  }
  tasks_.push_back(std::move(aTask));
  if (idle_ < tasks_.size()) {
    threads_.emplace_back([this] { RunThread(); });
  }
  wake_.notify_one();
}

bool
StreamRunner::IsHealthy() const
{
  return std::visit(HealthVisitor{}, endpointClient_);
}

void
StreamRunner::RunThread()
{
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

void
StreamRunner::Stop()
{
  std::vector<std::string> running;
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    for (const auto& [name, cancelled] : streams_) {
      cancelled->store(true);
      running.push_back(name);
    }
    threads.swap(threads_);
  }
  wake_.notify_all();
  const auto* engine =
    std::get_if<std::shared_ptr<endpoint::EngineClient>>(&endpointClient_);
  for (const std::string& name : running) {
    if (engine != nullptr) {
      static_cast<void>(base::Capture([&] { return (*engine)->Cancel(name); }));
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace pumiceturn::agent
