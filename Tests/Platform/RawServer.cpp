#include "Tests/Platform/RawServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <utility>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using asio::ip::tcp;

RawServer::RawServer(asio::io_context& aContext, std::string aAnswer, End aEnd)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , answer_(std::move(aAnswer))
  , end_(aEnd)
{
  Accept();
}

std::string
RawServer::Address() const
{
  return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
}

void
RawServer::Accept()
{
  acceptor_.async_accept(
    [this](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      Read(std::make_shared<Connection>(Connection{ std::move(aSocket) }));
      Accept();
    });
}

void
RawServer::Read(const std::shared_ptr<Connection>& aConnection)
{
  // The tests' requests have no bodies that matter.
  asio::async_read_until(
    aConnection->socket_,
    asio::dynamic_buffer(aConnection->input_),
    "\r\n\r\n",
    [this, aConnection](const boost::system::error_code& aError, std::size_t) {
      if (!aError) {
        requests_.push_back(aConnection->input_);
        Answer(aConnection);
      }
    });
}

void
RawServer::Answer(const std::shared_ptr<Connection>& aConnection)
{
  asio::async_write(
    aConnection->socket_,
    asio::buffer(answer_),
    [this, aConnection](const boost::system::error_code& /*aError*/,
                        std::size_t) {
      boost::system::error_code ignored;
      if (end_ == End::Process) {
        acceptor_.close(ignored);
      }
      if (end_ == End::Reset) {
        aConnection->socket_.set_option(asio::socket_base::linger(true, 0),
                                        ignored);
      } else {
        aConnection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      }
      aConnection->socket_.close(ignored);
    });
}

} // namespace pumiceturn::adapter
