#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
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
  };

  RawServer(boost::asio::io_context& aContext, std::string aAnswer, End aEnd);

  [[nodiscard]] std::string Address() const;

  /// @return the heads of all requests.
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

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
  End end_;
  std::vector<std::string> requests_;
};

} // namespace pumiceturn::adapter
