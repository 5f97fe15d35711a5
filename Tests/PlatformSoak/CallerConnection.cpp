#include "Tests/PlatformSoak/CallerConnection.h"

#include "LibHttpStream/Message.h"
#include "platform/Names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void>
Wait(asio::any_io_executor aExecutor, std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(aExecutor, aTime);
  co_await timer.async_wait(kNoThrow);
}

} // namespace

CallerConnection::CallerConnection(asio::io_context& aContext)
  : socket_(aContext)
  , timer_(aContext)
{
}

asio::awaitable<bool>
CallerConnection::Connect(asio::ip::tcp::endpoint aEndpoint, ReadPace aPace)
{
  pace_ = aPace;
  boost::system::error_code failure;
  socket_.open(aEndpoint.protocol(), failure);
  if (pace_.bytes_ > 0) {
    socket_.set_option(
      asio::socket_base::receive_buffer_size(static_cast<int>(pace_.bytes_)),
      failure);
  }
  auto [error] = co_await socket_.async_connect(aEndpoint, kNoThrow);
  isOpen_ = !error;
  co_return isOpen_;
}

bool
CallerConnection::HasPeerClosed()
{
  char byte = 0;
  const ssize_t bytes =
    ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
CallerConnection::IsOpen()
{
  return isOpen_ && !isSending_ && !HasPeerClosed();
}

void
CallerConnection::Close()
{
  isOpen_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void
CallerConnection::ArmTimer(const CallerRequest& aRequest)
{
  auto at = aRequest.progressAt_ + aRequest.patience_;
  if (aRequest.sentAt_) {
    at = std::min(at, *aRequest.sentAt_ + aRequest.deadline_);
  }
  timer_.expires_at(at);
  timer_.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->current_ != nullptr) {
        self->isGivenUp_ = true;
        self->Close();
      }
    });
}

asio::awaitable<bool>
CallerConnection::SendInPieces(CallerRequest& aRequest)
{
  const std::string& bytes = aRequest.bytes_;
  const std::size_t step =
    std::max<std::size_t>(bytes.size() / aRequest.pieces_, 1);
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t size = std::min(step, bytes.size() - at);
    auto [error, written] = co_await asio::async_write(
      socket_, asio::buffer(bytes.data() + at, size), kNoThrow);
    if (error) {
      co_return false;
    }
    at += size;
    if (at < bytes.size()) {
      co_await Wait(socket_.get_executor(), aRequest.pieceInterval_);
    }
  }
  aRequest.sentAt_ = Clock::now();
  aRequest.isSentIntoClose_ = HasPeerClosed();
  co_return true;
}

asio::awaitable<void>
CallerConnection::SendAll(std::shared_ptr<CallerConnection> aSelf,
                          Requests aRequests)
{
  aSelf->isSending_ = true;
  for (const auto& request : aRequests) {
    if (!aSelf->isOpen_ || !co_await aSelf->SendInPieces(*request)) {
      co_return;
    }
    if (aSelf->current_ == request.get()) {
      request->progressAt_ = Clock::now();
      aSelf->ArmTimer(*request);
    }
  }
  aSelf->isSending_ = false;
}

asio::awaitable<CallerEnd>
CallerConnection::ReadMore(CallerRequest& aRequest)
{
  const std::size_t limit = pace_.bytes_ > 0 ? pace_.bytes_ : kReadBytes;
  auto [error, bytes] =
    co_await socket_.async_read_some(input_.prepare(limit), kNoThrow);
  if (error) {
    aRequest.isReset_ = error != asio::error::eof;
    co_return isGivenUp_ ? CallerEnd::GivenUp : CallerEnd::Closed;
  }
  input_.commit(bytes);
  aRequest.progressAt_ = Clock::now();
  ArmTimer(aRequest);
  if (pace_.interval_.count() > 0) {
    co_await Wait(socket_.get_executor(), pace_.interval_);
  }
  co_return CallerEnd::Pending;
}

asio::awaitable<CallerEnd>
CallerConnection::Receive(CallerRequest& aRequest)
{
  Parser parser;
  parser.eager(true);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  CallerEnd end = CallerEnd::Pending;
  while (end == CallerEnd::Pending) {
    if (input_.size() > 0) {
      aRequest.hasResponseBytes_ = true;
      boost::system::error_code error;
      input_.consume(parser.put(input_.data(), error));
      if (error && error != http::error::need_more) {
        end = CallerEnd::Malformed;
        break;
      }
    }
    end = parser.is_done() ? CallerEnd::Complete : co_await ReadMore(aRequest);
  }
  if (parser.is_header_done()) {
    aRequest.status_ = parser.get().result_int();
    aRequest.echoedId_ =
      httpstream::ValueOf(parser.get().base(), kRequestIdField);
    aRequest.body_ = parser.get().body();
  }
  isOpen_ = isOpen_ && end == CallerEnd::Complete && parser.keep_alive();
  co_return end;
}

asio::awaitable<bool>
CallerConnection::Exchange(Requests aRequests)
{
  const auto self = shared_from_this();
  asio::co_spawn(
    socket_.get_executor(), SendAll(self, aRequests), asio::detached);
  for (const auto& request : aRequests) {
    if (!isOpen_) {
      request->end_ = CallerEnd::Unanswerable;
      continue;
    }
    request->progressAt_ = Clock::now();
    current_ = request.get();
    ArmTimer(*request);
    const CallerEnd end = co_await Receive(*request);
    current_ = nullptr;
    request->endedAt_ = Clock::now();
    request->end_ = end == CallerEnd::Closed && !request->sentAt_
                      ? CallerEnd::Unanswerable
                      : end;
  }
  timer_.cancel();
  if (!isOpen_) {
    Close();
  }
  co_return IsOpen();
}

} // namespace pumiceturn::adapter
