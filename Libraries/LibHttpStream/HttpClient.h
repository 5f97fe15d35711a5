#pragma once

#include "LibHttpStream/ConnectionPool.h"
#include "LibHttpStream/Message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

/// The outcome of a call and its buffered response.
struct CallResult
{
  CallOutcome outcome_ = CallOutcome::NotConnected;
  unsigned status_ = 0;
  std::string body_;
  std::shared_ptr<const ResponseHead> head_{}; ///< Empty without a response.
};

/// Sends requests to one server over pooled connections and buffers each
/// response. Must be used only on the thread that runs the io_context.
class HttpClient
{
public:
  HttpClient(boost::asio::any_io_executor aExecutor,
             boost::asio::ip::tcp::endpoint aServer)
    : pool_(std::make_shared<ConnectionPool>(std::move(aExecutor)))
    , server_(std::move(aServer))
  {
  }

  /// Sends a request and buffers its response.
  /// @param aTimeout Limit for the first byte and for each gap between reads.
  ///                 Connecting is limited to the smaller of this and
  ///                 500 ms.
  /// @param aDone    Called once with the result.
  void Send(const Request& aRequest,
            base::Duration aTimeout,
            std::function<void(CallResult)> aDone);

private:
  /// Shared with calls in flight, which may outlive this object.
  std::shared_ptr<ConnectionPool> pool_;
  boost::asio::ip::tcp::endpoint server_;
};

} // namespace pumiceturn::httpstream
