#include "Tests/Platform/RawServer.h"

#include "LibBase/Numbers.h"
#include "Tests/Platform/RawHttp.h"
#include "platform/Names.h"

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

constexpr std::string_view kFullAnswer =
  "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

constexpr std::chrono::milliseconds kTimeToClose{ 300 };

/// Time from the bytes of an answer to its end, and from there to that of the
/// process.
constexpr std::chrono::milliseconds kTimeToEnd{ 600 };
constexpr std::chrono::milliseconds kTimeToExit{ 100 };

/// Long enough for a host to notice that it was suspended.
constexpr std::chrono::milliseconds kTimeToRestart{ 700 };

} // namespace

RawServer::RawServer(asio::io_context& aContext,
                     std::string aId,
                     std::string aAnswer,
                     End aEnd)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , closeTimer_(aContext)
  , id_(std::move(aId))
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
      if (resetsNewConnections_ && !requests_.empty()) {
        Reset(aSocket);
      } else {
        Read(std::make_shared<Connection>(Connection{ std::move(aSocket) }));
      }
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
      if (aError) {
        return;
      }
      if (isEnding_) {
        unanswered_.push_back(aConnection);
        return;
      }
      const bool isHealth = aConnection->input_.starts_with("GET /health ");
      if (isHealth || aConnection->input_.starts_with("GET /api/report ")) {
        const std::string target =
          FieldOf(aConnection->input_, kTargetInstanceField);
        const bool isMisdirected = !target.empty() && target != id_ &&
                                   (isHealth || rejectsMisdirectedReports_);
        const bool isWaiting = isHealth && health_ == Health::Waiting;
        if (isWaiting || health_ == Health::Silent) {
          unanswered_.push_back(aConnection);
          return;
        }
        const bool isRefused = isHealth && health_ == Health::Refused;
        AnswerProbe(aConnection,
                    isRefused ? std::string(kFullAnswer)
                    : isMisdirected
                      ? fmt::format("HTTP/1.1 421 Misdirected\r\n{}: {}\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    kInstanceIdField,
                                    id_)
                    : isHealth ? HealthAnswer()
                               : ReportAnswer());
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

std::string
RawServer::HealthAnswer() const
{
  return fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\nContent-Length: 0\r\n\r\n",
                     kInstanceIdField,
                     id_);
}

std::string
RawServer::ReportAnswer() const
{
  const std::string report =
    reportsStart_ ? fmt::format("{{\"born\":{}}}", process_) : "{}";
  return fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", report.size(), report);
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
      CloseAfter(kTimeToClose);
      break;
    case End::Exit:
      CloseAfter(kTimeToExit);
      break;
    case End::RestartWhileSuspended:
      ++process_;
      std::this_thread::sleep_for(kTimeToRestart);
      break;
    case End::Restart:
      ++process_;
      id_ += "-next";
      health_ = nextHealth_;
      break;
    default:
      break;
  }
}

void
RawServer::Answer(const std::shared_ptr<Connection>& aConnection)
{
  const auto limit =
    base::ParseNumber<int>(FieldOf(aConnection->input_, kDeadlineField));
  const auto arrivedAt = std::chrono::steady_clock::now();
  const bool isForRest = !FieldOf(aConnection->input_, kLastEventField).empty();
  const bool isLater = firstOnes_ && requests_.size() > *firstOnes_;
  if (isLater && laterAnswer_.empty()) {
    unanswered_.push_back(aConnection);
    return;
  }
  const std::string& answer = isForRest && rest_ ? *rest_ : answer_;
  asio::async_write(
    aConnection->socket_,
    asio::buffer(isLater ? laterAnswer_ : answer),
    [this, aConnection, arrivedAt, limit](
      const boost::system::error_code& /*aError*/, std::size_t) {
      if (end_ == End::Late || end_ == End::Exit) {
        EndAnswerAt(aConnection, arrivedAt + kTimeToEnd);
      } else if (end_ == End::AtTimeLimit && limit) {
        EndAnswerAt(aConnection, arrivedAt + std::chrono::milliseconds(*limit));
      } else {
        EndAnswer(aConnection);
      }
    });
}

void
RawServer::EndAnswerAt(const std::shared_ptr<Connection>& aConnection,
                       std::chrono::steady_clock::time_point aTime)
{
  aConnection->endTimer_.emplace(aConnection->socket_.get_executor(), aTime);
  aConnection->endTimer_->async_wait(
    [this, aConnection](const boost::system::error_code& aError) {
      if (!aError) {
        EndAnswer(aConnection);
      }
    });
}

void
RawServer::CloseAfter(std::chrono::milliseconds aTime)
{
  closeTimer_.expires_after(aTime);
  closeTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      boost::system::error_code ignored;
      acceptor_.close(ignored);
      unanswered_.clear();
    }
  });
}

void
RawServer::EndAnswer(const std::shared_ptr<Connection>& aConnection)
{
  boost::system::error_code ignored;
  asio::write(aConnection->socket_, asio::buffer(lastBytes_), ignored);
  if (end_ == End::Reset) {
    Reset(aConnection->socket_);
  } else {
    aConnection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
    aConnection->socket_.close(ignored);
  }
  EndProcess();
}

} // namespace pumiceturn::adapter
