#include "Tests/PlatformSoak/FaultyServer.h"

#include "LibBase/Numbers.h"
#include "Tests/Platform/RawHttp.h"
#include "platform/Names.h"
#include "platform/Standin/ServerStandin.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <utility>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// So that what was sent before a reset is read.
constexpr milliseconds kTimeToRead{ 5 };

/// Longer than a host waits for the rest of a response.
constexpr milliseconds kSilence{ 4000 };

constexpr unsigned kOk = 200;
constexpr int kSlots = 8;

std::size_t
NumberOf(std::string_view aHead, std::string_view aName)
{
  return base::ParseNumber<std::size_t>(FieldOf(aHead, aName)).value_or(0);
}

bool
HasPeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  (void)aSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block;
}

/// @return the events that follow one.
std::string
EventsAfter(std::uint64_t aEvent)
{
  std::string text;
  for (std::uint64_t event = aEvent + 1; event <= ServerStandin::kEventCount;
       ++event) {
    text += ServerStandin::EventText(event, ServerStandin::kDefaultVersion, 0);
  }
  return text;
}

std::string
WithLength(std::string_view aHead, std::string_view aBody)
{
  return fmt::format(
    "HTTP/1.1 {}Content-Length: {}\r\n\r\n{}", aHead, aBody.size(), aBody);
}

} // namespace

FaultyServer::FaultyServer(asio::io_context& aContext,
                           std::string aId,
                           int aStart,
                           std::uint16_t aPort,
                           Planner aPlanner)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), aPort))
  , acceptTimer_(aContext)
  , id_(std::move(aId))
  , start_(aStart)
  , port_(acceptor_.local_endpoint().port())
  , planner_(std::move(aPlanner))
{
  Accept();
}

std::string
FaultyServer::Registration() const
{
  return nlohmann::json{
    { "service", "service" }, { "address", fmt::format("127.0.0.1:{}", port_) },
    { "zone", "a" },          { "version", ServerStandin::kDefaultVersion },
    { "slots", kSlots },      { "state", "ready" },
    { "coldLeftMs", 0 },      { "seq", 1 },
    { "born", start_ }
  }.dump();
}

void
FaultyServer::StopAccepting(milliseconds aTime)
{
  isAccepting_ = false;
  acceptTimer_.expires_after(aTime);
  acceptTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !std::exchange(isAccepting_, true) && !endedAt_) {
      Accept();
    }
  });
  boost::system::error_code ignored;
  acceptor_.cancel(ignored);
}

void
FaultyServer::Accept()
{
  acceptor_.async_accept([this](const boost::system::error_code& aError,
                                tcp::socket aSocket) {
    if (aError || endedAt_) {
      return;
    }
    if (resetsNew_) {
      ++resets_;
      Reset(aSocket);
    } else {
      const auto connection = std::make_shared<Connection>(std::move(aSocket));
      connections_.push_back(connection);
      ReadHead(connection);
    }
    if (isAccepting_) {
      Accept();
    }
  });
}

void
FaultyServer::End()
{
  endedAt_ = Clock::now();
  acceptTimer_.cancel();
  for (const auto& weak : std::exchange(connections_, {})) {
    if (const auto connection = weak.lock()) {
      connection->timer_.cancel();
      Reset(connection->socket_);
    }
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void
FaultyServer::ReadHead(const ConnectionPtr& aConnection)
{
  asio::async_read_until(
    aConnection->socket_,
    asio::dynamic_buffer(aConnection->input_),
    "\r\n\r\n",
    [this, aConnection](const boost::system::error_code& aError,
                        std::size_t aBytes) {
      if (!aError && !endedAt_) {
        ReadBody(aConnection, aBytes);
      }
    });
}

void
FaultyServer::ReadBody(const ConnectionPtr& aConnection, std::size_t aHeadBytes)
{
  const std::size_t size =
    aHeadBytes +
    NumberOf(std::string_view(aConnection->input_).substr(0, aHeadBytes),
             "Content-Length");
  const std::size_t have = aConnection->input_.size();
  asio::async_read(aConnection->socket_,
                   asio::dynamic_buffer(aConnection->input_),
                   asio::transfer_exactly(size > have ? size - have : 0),
                   [this, aConnection, aHeadBytes, size](
                     const boost::system::error_code& aError, std::size_t) {
                     if (aError || endedAt_) {
                       return;
                     }
                     const std::string head =
                       aConnection->input_.substr(0, aHeadBytes);
                     aConnection->input_.erase(0, size);
                     Handle(aConnection, head);
                   });
}

void
FaultyServer::Handle(const ConnectionPtr& aConnection, std::string_view aHead)
{
  const std::string target = FieldOf(aHead, kTargetInstanceField);
  if (!target.empty() && target != id_) {
    Send(aConnection,
         WithLength("421 Misdirected\r\nNot-Run: 1\r\n", {}),
         After::ReadNext);
    return;
  }
  if (aHead.starts_with("GET /api/report ")) {
    Send(aConnection,
         WithLength("200 OK\r\n", fmt::format("{{\"born\":{}}}", start_)),
         After::ReadNext);
    return;
  }
  if (aHead.starts_with("GET ")) {
    Send(aConnection,
         WithLength(fmt::format("200 OK\r\n{}: {}\r\n", kInstanceIdField, id_),
                    {}),
         After::ReadNext);
    return;
  }
  const std::string id = FieldOf(aHead, kRequestIdField);
  const ServerPlan plan = planner_(id);
  runs_.push_back({ id, Clock::now() });
  CallAfter(
    aConnection,
    plan.work_,
    [this,
     aConnection,
     head = std::string(aHead),
     plan,
     run = runs_.size() - 1] { Respond(aConnection, head, plan, run); });
}

void
FaultyServer::Respond(const ConnectionPtr& aConnection,
                      const std::string& aHead,
                      const ServerPlan& aPlan,
                      std::size_t aRun)
{
  if (HasPeerClosed(aConnection->socket_)) {
    return;
  }
  if (aPlan.end_ == ResponseEnd::Lost) {
    Reset(aConnection->socket_);
    return;
  }
  if (aPlan.end_ == ResponseEnd::Garbled) {
    Send(aConnection, "no response\r\n\r\n", After::Close);
    return;
  }
  runs_[aRun].answeredStatus_ = aPlan.status_;
  const bool isStream = aPlan.status_ == kOk;
  const std::string body =
    isStream ? EventsAfter(NumberOf(aHead, kLastEventField)) : "failed";
  const std::string head =
    fmt::format("{} X\r\nServer-Seal: seal\r\n{}: {}\r\n{}",
                aPlan.status_,
                kRequestIdField,
                runs_[aRun].requestId_,
                isStream ? "Content-Type: text/event-stream\r\n" : "");
  if (aPlan.end_ == ResponseEnd::Unmarked) {
    Send(
      aConnection, fmt::format("HTTP/1.1 {}\r\n{}", head, body), After::Close);
    return;
  }
  std::string whole = WithLength(head, body);
  if (aPlan.end_ == ResponseEnd::Whole || body.empty()) {
    Send(aConnection, std::move(whole), After::ReadNext);
    return;
  }
  whole.resize(whole.size() - body.size() / 2 - 1);
  if (aPlan.end_ == ResponseEnd::Silent) {
    boost::system::error_code ignored;
    asio::write(aConnection->socket_, asio::buffer(whole), ignored);
    CallAfter(
      aConnection, kSilence, [aConnection] { Reset(aConnection->socket_); });
    return;
  }
  Send(aConnection,
       std::move(whole),
       aPlan.end_ == ResponseEnd::Reset ? After::Reset : After::Close);
}

void
FaultyServer::Send(const ConnectionPtr& aConnection,
                   std::string aBytes,
                   After aAfter)
{
  const auto bytes = std::make_shared<std::string>(std::move(aBytes));
  asio::async_write(
    aConnection->socket_,
    asio::buffer(*bytes),
    [this, aConnection, bytes, aAfter](const boost::system::error_code& aError,
                                       std::size_t) {
      if (aError || endedAt_) {
        return;
      }
      boost::system::error_code ignored;
      switch (aAfter) {
        case After::ReadNext:
          ReadHead(aConnection);
          break;
        case After::Close:
          aConnection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
          break;
        case After::Reset:
          CallAfter(aConnection, kTimeToRead, [aConnection] {
            Reset(aConnection->socket_);
          });
      }
    });
}

void
FaultyServer::CallAfter(const ConnectionPtr& aConnection,
                        milliseconds aTime,
                        std::function<void()> aFunction)
{
  aConnection->timer_.expires_after(aTime);
  aConnection->timer_.async_wait(
    [this, aConnection, function = std::move(aFunction)](
      const boost::system::error_code& aError) {
      if (!aError && !endedAt_) {
        function();
      }
    });
}

} // namespace pumiceturn::adapter
