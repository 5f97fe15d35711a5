#include "LibHttpStream/HttpClient.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace pumiceturn::httpstream {

namespace {

/// Shorter than the 1 s after which a lost SYN is retransmitted, so that
/// callers can try another path instead of waiting for it.
constexpr std::chrono::milliseconds kMaxConnectTimeout{ 500 };

/// Largest response that is buffered: the store's largest page, about 1.4 MB,
/// with room.
constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;

/// Time for a whole body after its head.
constexpr std::chrono::seconds kMaxBodyTime{ 30 };

const std::string kPoolKey = "server";

/// A call in flight. Deletes itself in OnEnd().
class BufferedCall : public CallObserver
{
public:
  BufferedCall(std::shared_ptr<ConnectionPool> aPool,
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
    result_.head_ = std::make_shared<const ResponseHead>(aHead);
  }
  void OnBody(std::string_view aBytes) override
  {
    result_.body_.append(aBytes);
  }
  void OnEnd(CallOutcome aOutcome) override
  {
    const std::unique_ptr<BufferedCall> self(this);
    result_.outcome_ = aOutcome;
    pool_->Release(kPoolKey, std::move(connection_));
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
HttpClient::Send(const Request& aRequest,
                 base::Duration aTimeout,
                 std::function<void(CallResult)> aDone)
{
  struct Call call;
  call.bytes_ = Serialize(aRequest);
  call.firstByteTimeout_ = aTimeout;
  call.gapTimeout_ = aTimeout;
  call.limits_ = { kMaxBodyBytes, kMaxBodyTime };
  pool_->CloseExpired(base::MonotonicNow());
  pool_->Acquire(
    kPoolKey,
    server_,
    std::min<base::Duration>(aTimeout, kMaxConnectTimeout),
    [pool = pool_, call = std::move(call), done = std::move(aDone)](
      std::shared_ptr<ClientConnection> aConnection) mutable {
      if (!aConnection) {
        done(CallResult{});
        return;
      }
      // Deleted by its OnEnd(), which is called exactly once.
      auto* buffered = new BufferedCall(pool, std::move(done));
      buffered->Start(std::move(aConnection), std::move(call));
    });
}

} // namespace pumiceturn::httpstream
