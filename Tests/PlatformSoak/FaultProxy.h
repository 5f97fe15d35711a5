#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace pumiceturn::adapter {

/// TCP proxy that injects network faults into the connections between two
/// processes. Must be used only on the thread that runs the io_context.
class FaultProxy
{
public:
  FaultProxy(boost::asio::io_context& aContext,
             const boost::asio::ip::tcp::endpoint& aTarget);

  [[nodiscard]] boost::asio::ip::tcp::endpoint Address() const
  {
    return acceptor_.local_endpoint();
  }

  /// Delays each piece of data.
  void SetDelay(std::chrono::milliseconds aDelay) { fault_->delay_ = aDelay; }

  /// Delays each piece of data by a random time, so that answers on different
  /// connections arrive in another order.
  /// @param aMax Zero: no delay.
  void SetJitter(std::chrono::milliseconds aMax, std::uint32_t aSeed)
  {
    fault_->maxJitter_ = aMax;
    fault_->random_.seed(aSeed);
  }

  /// Blocks or unblocks all data in each direction.
  void SetBlocked(bool aIsForwardBlocked, bool aIsBackBlocked)
  {
    fault_->isForwardBlocked_ = aIsForwardBlocked;
    fault_->isBackBlocked_ = aIsBackBlocked;
  }

  /// Blocks all data on the open connections permanently. New connections are
  /// not affected.
  void BlockOpenConnections();

  void ResetConnections();

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Fault
  {
    std::chrono::milliseconds delay_{ 0 };
    std::chrono::milliseconds maxJitter_{ 0 };
    std::minstd_rand random_;

    [[nodiscard]] std::chrono::milliseconds DrawDelay();
    bool isForwardBlocked_ = false;
    bool isBackBlocked_ = false;
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
    bool isBlocked_ = false;
  };
  enum class Direction : std::uint8_t
  {
    Forward,
    Back,
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using FaultPtr = std::shared_ptr<Fault>;

  boost::asio::awaitable<void> Accept();
  void Relay(const ConnectionPtr& aConnection);
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
