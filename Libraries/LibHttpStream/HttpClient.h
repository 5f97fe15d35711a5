#pragma once

#include "LibHttpStream/ConnectionPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

/// How a whole call went.
struct CallResult
{
  CallOutcome end_ = CallOutcome::NotConnected;
  unsigned status_ = 0;
  std::string body_;
};

/// Makes calls whose answers are read whole, over kept connections to one
/// server. Belongs to the event thread.
class HttpClient
{
public:
  HttpClient(boost::asio::any_io_executor aExecutor,
             boost::asio::ip::tcp::endpoint aServer)
    : pool_(std::make_shared<ConnectionPool>(std::move(aExecutor)))
    , server_(std::move(aServer))
  {
  }

  /// Sends a request and reads its whole answer.
  /// @param aTimeout For connecting, the first byte, and each further one.
  void Call(const Request& aRequest,
            base::Duration aTimeout,
            std::function<void(CallResult)> aDone);

private:
  /// Shared with the calls under way, which may outlive this object.
  std::shared_ptr<ConnectionPool> pool_;
  boost::asio::ip::tcp::endpoint server_;
};

} // namespace pumiceturn::httpstream
