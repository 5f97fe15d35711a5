#pragma once

#include "LibHttpStream/LingeringSockets.h"
#include "LibHttpStream/ServerConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace pumiceturn::httpstream {

/// Accepts callers' connections and passes their requests to a handler. Must be
/// used only on the thread that runs the io_context.
class Listener : public ServerConnectionOwner
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  using EndHandler = std::function<void(const ConnectionEnd&)>;

  Listener(boost::asio::io_context& aContext, Handler aHandler);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Binds and listens.
  /// @return the system's error if the address can't be used.
  [[nodiscard]] boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /// Open connections follow from their next request on.
  void SetLimits(const ServerLimits& aLimits) { limits_ = aLimits; }

  /// @param aHandler Called each time a connection has been closed.
  void SetOnConnectionEnded(EndHandler aHandler)
  {
    endHandler_ = std::move(aHandler);
  }

  /// Adds "Connection: close" to all further responses.
  void SetDraining() { isDraining_ = true; }

  /// Closes the connections without a request in progress. A connection that
  /// hasn't sent a request yet is closed only after several calls.
  void CloseIdle();

  /// Stops accepting connections; open ones stay open.
  void Close();

  [[nodiscard]] std::size_t ConnectionCount() const
  {
    return connections_.size();
  }
  /// @return the number of closed connections whose callers may still be
  ///         reading the last response.
  [[nodiscard]] std::size_t LingeringCount() const
  {
    return lingering_.Count();
  }
  /// @return the number of connections that CloseIdle() would leave open.
  [[nodiscard]] std::size_t BusyCount() const;
  [[nodiscard]] std::uint16_t Port() const;

  /// @return the response bytes of all connections that callers haven't read
  ///         and the kernel doesn't hold.
  [[nodiscard]] std::size_t UnsentBytes() const;

  void OnRequest(std::shared_ptr<Exchange> aExchange) override;
  void OnClosed(ServerConnection& aConnection,
                const ConnectionEnd& aEnd) override;
  void Linger(boost::asio::ip::tcp::socket aSocket) override;
  [[nodiscard]] const ServerLimits& Limits() const override { return limits_; }
  [[nodiscard]] bool IsDraining() const override { return isDraining_; }

private:
  void Accept();
  void ScheduleTimeoutCheck();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timeoutTimer_;
  Handler handler_;
  EndHandler endHandler_;
  ServerLimits limits_;
  bool isDraining_ = false;
  LingeringSockets lingering_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

} // namespace pumiceturn::httpstream
