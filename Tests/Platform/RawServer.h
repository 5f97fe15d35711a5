#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// A server that answers each request with given bytes and then ends the
/// connection. Must be used only on the thread that runs the io_context.
class RawServer
{
public:
  enum class End : std::uint8_t
  {
    Orderly, ///< As at the end of an answer that has no length.
    Reset,
    Process, ///< The server's process ends with its first answer.
    /// As Process, but the listening socket closes a moment later: the kernel
    /// closes the sockets of a process one after the other.
    ProcessSlowly,
    /// As Process, but this thread doesn't run meanwhile, and the server's next
    /// process answers when it goes on.
    RestartWhileSuspended,
  };

  RawServer(boost::asio::io_context& aContext, std::string aAnswer, End aEnd);

  [[nodiscard]] std::string Address() const;

  /// @return the heads of all requests but those for its health and report.
  [[nodiscard]] const std::vector<std::string>& Requests() const
  {
    return requests_;
  }

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket socket_;
    std::string input_{};
  };

  void Accept();
  void Read(const std::shared_ptr<Connection>& aConnection);
  void Answer(const std::shared_ptr<Connection>& aConnection);
  /// Answers a request for the server's health or report.
  void AnswerProbe(const std::shared_ptr<Connection>& aConnection,
                   std::string_view aAnswer);
  void EndProcess();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer closeTimer_;
  int process_ = 1;       ///< Start time that it reports, one digit.
  bool isEnding_ = false; ///< Connections are no longer served.
  std::string answer_;
  End end_;
  std::vector<std::string> requests_;
};

} // namespace pumiceturn::adapter
