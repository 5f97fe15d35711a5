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

/// What stands at the endpoint.
using Backend = std::variant<std::shared_ptr<endpoint::EngineClient>,
                             endpoint::PlainServiceClient>;

/// Threads that hold the HTTP exchanges with the endpoint: one for each running
/// stream, and as many more as there are cancels and probes under way. Threads
/// are kept for reuse. Thread-safe; handlers are called on these threads with
/// no lock held.
class StreamRunner
{
public:
  struct Handlers
  {
    std::function<void(const dispatch::StreamId&, dispatch::AnswerPart)>
      tokens_;
    std::function<void(const dispatch::StreamId&, const dispatch::StreamEnd&)>
      ended_;
  };

  StreamRunner(Backend aBackend, Handlers aHandlers);
  ~StreamRunner();
  StreamRunner(const StreamRunner&) = delete;
  StreamRunner& operator=(const StreamRunner&) = delete;

  /// @param aModel Model name in engine requests.
  void Start(dispatch::StartStream aStart, std::string aModel);

  /// Ends a stream; also one whose request has not been sent yet.
  void Cancel(const dispatch::StreamId& aStream);

  /// Runs a blocking exchange on a thread of its own.
  void Run(std::function<void()> aExchange);

  [[nodiscard]] bool IsHealthy() const;

  /// Ends all streams and threads. Handlers may be called until it returns.
  void Stop();

private:
  using CancelFlag = std::shared_ptr<std::atomic<bool>>;

  void RunThread();
  void RunStream(const dispatch::StartStream& aStart,
                 const std::string& aModel,
                 const CancelFlag& aCancelled);

  const Backend backend_;
  const Handlers handlers_;
  std::mutex mutex_; ///< Guards what follows.
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::map<std::string, CancelFlag> streams_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace pumiceturn::agent
