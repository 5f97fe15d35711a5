#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pumiceturn {

/// Bytes that a faulty server sends in place of an answer.
struct EndlessAnswer
{
  std::string name_;
  std::string begin_;
  std::string repeated_; ///< Sent until the client closes the connection.
  /// Pause before each repetition; zero: as fast as they are read.
  std::chrono::milliseconds pause_{ 0 };
};

/// A server that answers each request without end. Must be used only on the
/// thread that runs the io_context.
class EndlessServer
{
public:
  EndlessServer(boost::asio::io_context& aContext, EndlessAnswer aAnswer)
    : acceptor_(aContext,
                { boost::asio::ip::address_v4::loopback(), std::uint16_t{ 0 } })
    , answer_(std::move(aAnswer))
  {
    constexpr std::size_t kBlockBytes = 16384;
    block_ = answer_.repeated_;
    while (answer_.pause_ == std::chrono::milliseconds::zero() &&
           block_.size() < kBlockBytes) {
      block_ += answer_.repeated_;
    }
    Accept();
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] std::size_t RequestCount() const { return requests_; }

  /// @return the connections on which an answer is being sent.
  [[nodiscard]] std::size_t OpenCount() const { return open_; }

  /// @return the bytes that were sent on all connections.
  [[nodiscard]] std::size_t SentBytes() const { return sentBytes_; }

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string input_{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    acceptor_.async_accept([this](const boost::system::error_code& aError,
                                  boost::asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      boost::asio::steady_timer timer(aSocket.get_executor());
      Read(std::make_shared<Connection>(
        Connection{ std::move(aSocket), std::move(timer) }));
      Accept();
    });
  }

  void Read(const ConnectionPtr& aConnection)
  {
    boost::asio::async_read_until(
      aConnection->socket_,
      boost::asio::dynamic_buffer(aConnection->input_),
      "\r\n\r\n",
      [this, aConnection](const boost::system::error_code& aError,
                          std::size_t) {
        if (!aError) {
          ++requests_;
          ++open_;
          Write(aConnection, answer_.begin_);
        }
      });
  }

  void Write(const ConnectionPtr& aConnection, const std::string& aBytes)
  {
    boost::asio::async_write(
      aConnection->socket_,
      boost::asio::buffer(aBytes),
      [this, aConnection](const boost::system::error_code& aError,
                          std::size_t aSent) {
        sentBytes_ += aSent;
        if (aError) {
          --open_;
          return;
        }
        WriteBlockLater(aConnection);
      });
  }

  void WriteBlockLater(const ConnectionPtr& aConnection)
  {
    aConnection->timer_.expires_after(answer_.pause_);
    aConnection->timer_.async_wait(
      [this, aConnection](const boost::system::error_code& aError) {
        if (!aError) {
          Write(aConnection, block_);
        }
      });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  EndlessAnswer answer_;
  std::string block_;
  std::size_t requests_ = 0;
  std::size_t open_ = 0;
  std::size_t sentBytes_ = 0;
};

} // namespace pumiceturn
