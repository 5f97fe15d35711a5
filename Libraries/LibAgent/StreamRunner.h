#pragma once

#include "LibBase/Result.h"
#include "LibDispatch/Action.h"
#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/PlainServiceClient.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace pumiceturn::agent {

/// Client of the endpoint.
using EndpointClient = std::variant<std::shared_ptr<endpoint::EngineClient>,
                                    endpoint::PlainServiceClient>;

/// Growing thread pool for the blocking HTTP exchanges with the endpoint: one
/// thread for each blocking task. Idle threads are reused. Thread-safe;
/// handlers are called on these threads without a lock held.
class StreamRunner
{
public:
  struct Handlers
  {
    std::function<void(const dispatch::StreamId&, dispatch::ResponseChunk)>
      chunk_;
    std::function<void(const dispatch::StreamId&, const dispatch::StreamEnd&)>
      ended_;
  };

  StreamRunner(EndpointClient aEndpointClient, Handlers aHandlers);
  ~StreamRunner();
  StreamRunner(const StreamRunner&) = delete;
  StreamRunner& operator=(const StreamRunner&) = delete;

  /// Starts a stream on its own thread.
  /// @param aModel Model name sent to the engine.
  void Start(dispatch::StartStream aStart, std::string aModel);

  /// Cancels a stream, even if its request has not been sent yet.
  void Cancel(const dispatch::StreamId& aStream);

  /// Runs a blocking task on a thread of the pool. Does nothing after Stop().
  void Post(std::function<void()> aTask);

  /// @return whether the endpoint responds to a health check. Blocks.
  [[nodiscard]] bool IsHealthy() const;

  /// Cancels all streams and joins the threads. Handlers may be called until it
  /// returns.
  void Stop();

private:
  using CancelFlag = std::shared_ptr<std::atomic<bool>>;

  void RunThread();
  void RunStream(const dispatch::StartStream& aStart,
                 const std::string& aModel,
                 const CancelFlag& aCancelled);

  const EndpointClient endpointClient_;
  const Handlers handlers_;
  std::mutex mutex_; ///< Guards the members below.
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::map<std::string, CancelFlag> streams_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace pumiceturn::agent
