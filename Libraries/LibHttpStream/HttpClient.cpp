#include "LibHttpStream/HttpClient.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace pumiceturn::httpstream {

namespace {

/// Longest wait for a connection; a lost opening packet is sent again after 1
/// s.
constexpr std::chrono::milliseconds kLongestConnect{ 500 };

const std::string kOnlyServer = "server";

/// One call under way; owns itself until its end.
class WholeCall : public CallObserver
{
public:
  WholeCall(std::shared_ptr<ConnectionPool> aPool,
            std::function<void(CallResult)> aDone)
    : pool_(std::move(aPool))
    , done_(std::move(aDone))
  {
  }

  void Start(std::shared_ptr<ClientConnection> aConnection, struct Call aCall)
  {
    connection_ = std::move(aConnection);
    connection_->Start(std::move(aCall), *this);
  }

  void OnHead(const ResponseHead& aHead) override
  {
    result_.status_ = aHead.result_int();
  }
  void OnBody(std::string_view aBytes) override
  {
    result_.body_.append(aBytes);
  }
  void OnEnd(CallOutcome aEnd) override
  {
    const std::unique_ptr<WholeCall> self(this);
    result_.end_ = aEnd;
    pool_->Release(kOnlyServer, std::move(connection_));
    done_(std::move(result_));
  }

private:
  std::shared_ptr<ConnectionPool> pool_;
  std::function<void(CallResult)> done_;
  std::shared_ptr<ClientConnection> connection_;
  CallResult result_;
};

} // namespace

void
HttpClient::Call(const Request& aRequest,
                 base::Duration aTimeout,
                 std::function<void(CallResult)> aDone)
{
  struct Call call;
  call.bytes_ = Serialize(aRequest);
  call.firstByteTimeout_ = aTimeout;
  call.gapTimeout_ = aTimeout;
  pool_->Sweep(base::MonotonicNow());
  pool_->Acquire(
    kOnlyServer,
    server_,
    std::min<base::Duration>(aTimeout, kLongestConnect),
    [pool = pool_, call = std::move(call), done = std::move(aDone)](
      std::shared_ptr<ClientConnection> aConnection) mutable {
      if (!aConnection) {
        done(CallResult{});
        return;
      }
      // Freed by its OnEnd(), which comes exactly once.
      auto* whole = new WholeCall(pool, std::move(done));
      whole->Start(std::move(aConnection), std::move(call));
    });
}

} // namespace pumiceturn::httpstream
