#include "Tests/Platform/RawServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kHealthAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kReportHead =
  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

constexpr std::chrono::milliseconds kTimeToClose{ 300 };

/// Long enough for a host to notice that it was suspended.
constexpr std::chrono::milliseconds kTimeToRestart{ 700 };

} // namespace

RawServer::RawServer(asio::io_context& aContext, std::string aAnswer, End aEnd)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , closeTimer_(aContext)
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
      if (aError || isEnding_) {
        return;
      }
      if (aConnection->input_.starts_with("GET /health ")) {
        AnswerProbe(aConnection, kHealthAnswer);
        return;
      }
      if (aConnection->input_.starts_with("GET /api/report ")) {
        AnswerProbe(aConnection,
                    fmt::format("{}{{\"born\":{}}}", kReportHead, process_));
        return;
      }
      requests_.push_back(aConnection->input_);
      Answer(aConnection);
    });
}

void
RawServer::AnswerProbe(const std::shared_ptr<Connection>& aConnection,
                       std::string_view aAnswer)
{
  aConnection->input_.clear();
  const auto answer = std::make_shared<std::string>(aAnswer);
  asio::async_write(aConnection->socket_,
                    asio::buffer(*answer),
                    [this, aConnection, answer](
                      const boost::system::error_code& aError, std::size_t) {
                      if (!aError) {
                        Read(aConnection);
                      }
                    });
}

void
RawServer::EndProcess()
{
  boost::system::error_code ignored;
  switch (end_) {
    case End::Process:
      acceptor_.close(ignored);
      break;
    case End::ProcessSlowly:
      isEnding_ = true;
      closeTimer_.expires_after(kTimeToClose);
      closeTimer_.async_wait([this](const boost::system::error_code& aError) {
        if (!aError) {
          boost::system::error_code alsoIgnored;
          acceptor_.close(alsoIgnored);
        }
      });
      break;
    case End::RestartWhileSuspended:
      ++process_;
      std::this_thread::sleep_for(kTimeToRestart);
      break;
    default:
      break;
  }
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
      if (end_ == End::Reset) {
        aConnection->socket_.set_option(asio::socket_base::linger(true, 0),
                                        ignored);
      } else {
        aConnection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      }
      aConnection->socket_.close(ignored);
      EndProcess();
    });
}

} // namespace pumiceturn::adapter
