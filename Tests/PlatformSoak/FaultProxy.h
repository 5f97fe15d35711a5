#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace pumiceturn::adapter {

/// Stands between two processes and does to their connections what a network
/// does on a bad day. Belongs to the event thread.
class FaultProxy
{
public:
  FaultProxy(boost::asio::io_context& aContext,
             const boost::asio::ip::tcp::endpoint& aTarget);

  [[nodiscard]] boost::asio::ip::tcp::endpoint Address() const
  {
    return acceptor_.local_endpoint();
  }

  /// Holds each piece back for a time.
  void SetDelay(std::chrono::milliseconds aDelay) { fault_->delay_ = aDelay; }

  /// Holds all bytes back until it is called again with false.
  void SetCut(bool aIsCutForward, bool aIsCutBack)
  {
    fault_->isCutForward_ = aIsCutForward;
    fault_->isCutBack_ = aIsCutBack;
  }

  /// Open connections carry nothing any more; new ones work.
  void SilenceOpenConnections();

  void ResetConnections();

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Fault
  {
    std::chrono::milliseconds delay_{ 0 };
    bool isCutForward_ = false;
    bool isCutBack_ = false;
  };
  struct Connection
  {
    Connection(Socket aCaller, boost::asio::io_context& aContext)
      : caller_(std::move(aCaller))
      , target_(aContext)
    {
    }
    Socket caller_;
    Socket target_;
    bool isSilent_ = false;
  };
  enum class Direction : std::uint8_t
  {
    Forward,
    Back,
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using FaultPtr = std::shared_ptr<Fault>;

  boost::asio::awaitable<void> Accept();
  void Carry(const ConnectionPtr& aConnection);
  static boost::asio::awaitable<void> Pump(ConnectionPtr aConnection,
                                           FaultPtr aFault,
                                           Direction aDirection);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  FaultPtr fault_ = std::make_shared<Fault>();
  std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace pumiceturn::adapter
