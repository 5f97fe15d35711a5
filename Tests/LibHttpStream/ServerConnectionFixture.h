#pragma once

#include "LibHttpStream/LingeringSockets.h"
#include "LibHttpStream/ServerConnection.h"
#include "Tests/LibHttpStream/HttpFixture.h"

#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::httpstream {

/// One connection without a listener: tests call its functions at the times
/// that they choose, between two handlers of the event loop.
class ServerConnectionFixture
  : protected HttpFixture
  , public ServerConnectionOwner
{
protected:
  ServerConnectionFixture()
    : acceptor_(context_, Loopback(0))
    , caller_(context_)
  {
    Accept();
  }

  /// Connects the caller and starts the connection.
  void Accept()
  {
    caller_ = boost::asio::ip::tcp::socket(context_);
    caller_.connect(Loopback(acceptor_.local_endpoint().port()));
    end_.reset();
    connection_ = std::make_shared<ServerConnection>(acceptor_.accept(), *this);
    connection_->Start();
  }

  /// Sends bytes; they are in the connection's socket when this returns.
  void Send(const std::string& aBytes)
  {
    boost::asio::write(caller_, boost::asio::buffer(aBytes));
  }

  void RunUntilRequests(std::size_t aCount)
  {
    RunUntil([this, aCount] { return exchanges_.size() >= aCount; });
  }

  /// Runs the handlers that are ready.
  void RunReady()
  {
    context_.restart();
    while (context_.poll() > 0) {
      context_.restart();
    }
  }

  /// Lets the caller read that many bytes.
  void ReceiveBytes(std::size_t aCount)
  {
    std::vector<char> bytes(aCount);
    std::size_t received = 0;
    while (received < aCount) {
      if (caller_.available() == 0) {
        RunReady();
        continue;
      }
      received +=
        caller_.read_some(boost::asio::buffer(bytes.data(), aCount - received));
    }
  }

  /// @return what the caller receives until its connection ends.
  std::string ReceiveAll()
  {
    std::string received;
    bool isEnded = false;
    Receive(received, isEnded);
    RunUntil([&isEnded] { return isEnded; });
    return received;
  }

  void Receive(std::string& aReceived, bool& aIsEnded)
  {
    caller_.async_read_some(
      boost::asio::buffer(buffer_),
      [this, &aReceived, &aIsEnded](const boost::system::error_code& aError,
                                    std::size_t aBytes) {
        aReceived.append(buffer_.data(), aBytes);
        receiveError_ = aError;
        if (aError) {
          aIsEnded = true;
          return;
        }
        Receive(aReceived, aIsEnded);
      });
  }

  /// @return a time at which aTimeout has passed since the last activity.
  static base::Instant After(base::Duration aTimeout)
  {
    return base::MonotonicNow() + aTimeout + std::chrono::milliseconds(1);
  }

  void OnRequest(std::shared_ptr<Exchange> aExchange) override
  {
    exchanges_.push_back(std::move(aExchange));
    if (respondsAtOnce_) {
      exchanges_.back()->Respond(MakeResponse(200, "x", "text/plain"));
    }
  }
  void OnClosed(ServerConnection& /*aConnection*/,
                const ConnectionEnd& aEnd) override
  {
    end_ = aEnd;
    connection_.reset();
  }
  void Linger(boost::asio::ip::tcp::socket aSocket) override
  {
    lingering_.Add(std::move(aSocket), base::MonotonicNow());
  }
  [[nodiscard]] const ServerLimits& Limits() const override { return limits_; }
  [[nodiscard]] bool IsDraining() const override { return isDraining_; }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket caller_;
  std::shared_ptr<ServerConnection> connection_; ///< Null once it is closed.
  LingeringSockets lingering_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  std::optional<ConnectionEnd> end_;
  ServerLimits limits_;
  bool isDraining_ = false;
  bool respondsAtOnce_ = false;
  boost::system::error_code receiveError_;
  std::array<char, 65536> buffer_{};
};

} // namespace pumiceturn::httpstream
