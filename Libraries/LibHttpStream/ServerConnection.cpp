#include "LibHttpStream/ServerConnection.h"

#include "LibHttpStream/Socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace pumiceturn::httpstream {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = 8192;

/// Maximum number of bytes read from a connection before the others have their
/// turn.
constexpr std::size_t kMaxReadBytes = 65536;

/// Calls of CloseIfIdle() that leave a new connection open, so that a caller
/// that has just connected can send its first request. Calls are counted
/// instead of time: after the process was suspended, time has passed although
/// nothing was read.
constexpr int kMaxCloseIfIdleCalls = 5;

/// Maximum number of bytes read ahead of the current request.
constexpr std::size_t kMaxReadAheadBytes = 65536;

unsigned
StatusFor(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  return 400;
}

std::string
SerializeResponse(const Response& aResponse, bool aHasBody)
{
  std::string bytes = fmt::format(
    "HTTP/1.1 {} {}\r\n",
    aResponse.result_int(),
    std::string_view(aResponse.reason().data(), aResponse.reason().size()));
  for (const auto& field : aResponse) {
    bytes.append(field.name_string().data(), field.name_string().size());
    bytes.append(": ");
    bytes.append(field.value().data(), field.value().size());
    bytes.append("\r\n");
  }
  bytes.append("\r\n");
  if (aHasBody) {
    bytes.append(aResponse.body());
  }
  return bytes;
}

} // namespace

Exchange::Exchange(std::weak_ptr<ServerConnection> aConnection,
                   Request aRequest,
                   base::Instant aReceivedAt)
  : connection_(std::move(aConnection))
  , request_(std::move(aRequest))
  , receivedAt_(aReceivedAt)
{
}

void
Exchange::Respond(Response aResponse)
{
  const auto connection = connection_.lock();
  if (isFinished_ || !connection || connection->isClosed_) {
    return;
  }
  isFinished_ = true;
  if (connection->MustCloseForDraining()) {
    connection->keepAlive_ = false;
  }
  aResponse.content_length(aResponse.body().size());
  if (!connection->keepAlive_) {
    aResponse.set(http::field::connection, "close");
  }
  const bool hasBody = request_.method() != http::verb::head;
  connection->Write(SerializeResponse(aResponse, hasBody));
  connection->EndExchange();
}

void
Exchange::BeginStream(const ResponseHead& aHead)
{
  const auto connection = connection_.lock();
  if (isFinished_ || isStreaming_ || !connection || connection->isClosed_) {
    return;
  }
  isStreaming_ = true;
  Response head;
  head.result(aHead.result_int());
  CopyEndToEndFields(aHead, head);
  // HTTP/1.0 has no chunked encoding: closing the connection ends the response.
  connection->isChunked_ = request_.version() >= 11;
  if (!connection->isChunked_ || connection->MustCloseForDraining()) {
    connection->keepAlive_ = false;
  }
  if (connection->isChunked_) {
    head.set(http::field::transfer_encoding, "chunked");
  } else {
    connection->SetEndsWithConnection(true);
  }
  if (!connection->keepAlive_) {
    head.set(http::field::connection, "close");
  }
  connection->Write(SerializeResponse(head, false));
}

void
Exchange::SendChunk(std::string_view aBytes)
{
  const auto connection = connection_.lock();
  if (isFinished_ || !isStreaming_ || !connection || connection->isClosed_ ||
      aBytes.empty()) {
    return;
  }
  connection->Write(connection->isChunked_ ? MakeChunk(aBytes)
                                           : std::string(aBytes));
}

void
Exchange::EndStream()
{
  const auto connection = connection_.lock();
  if (isFinished_ || !isStreaming_ || !connection || connection->isClosed_) {
    return;
  }
  isFinished_ = true;
  if (connection->isChunked_) {
    connection->Write(std::string(kLastChunk));
  }
  connection->EndExchange();
}

void
Exchange::Abort()
{
  if (isFinished_) {
    return;
  }
  isFinished_ = true;
  if (const auto connection = connection_.lock()) {
    connection->Close(CloseCause::Aborted);
  }
}

std::size_t
Exchange::UnsentBytes() const
{
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes() : 0;
}

ServerConnection::ServerConnection(asio::ip::tcp::socket aSocket,
                                   ServerConnectionOwner& aOwner)
  : socket_(std::move(aSocket))
  , owner_(aOwner)
  , timeouts_(aOwner.Limits(), base::MonotonicNow())
{
}

void
ServerConnection::Start()
{
  TuneSocket(socket_, Initiator::Peer);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  Read();
}

bool
ServerConnection::MustCloseForDraining() const
{
  return owner_.IsDraining() && input_.size() == 0 &&
         CountUnreadBytes(socket_) == 0;
}

bool
ServerConnection::IsIdle() const
{
  const bool isAwaitingFirstRequest =
    !hasReceivedBytes_ && closeIfIdleCalls_ < kMaxCloseIfIdleCalls;
  return !exchange_ && !isReceiving_ && !isWriting_ &&
         !isAwaitingFirstRequest && input_.size() == 0 &&
         CountUnreadBytes(socket_) == 0;
}

void
ServerConnection::CloseIfIdle()
{
  if (IsIdle()) {
    Close(CloseCause::Draining);
    return;
  }
  if (!hasReceivedBytes_) {
    ++closeIfIdleCalls_;
  }
}

ConnectionPhase
ServerConnection::Phase() const
{
  if (isWriting_) {
    return ConnectionPhase::Sending;
  }
  if (exchange_) {
    return ConnectionPhase::Answering;
  }
  if (!isReceiving_) {
    return deliveredBytes_ < passedBytes_ ? ConnectionPhase::Sending
                                          : ConnectionPhase::Idle;
  }
  return parser_->is_header_done() ? ConnectionPhase::Body
                                   : ConnectionPhase::Header;
}

void
ServerConnection::UpdateDelivered(base::Instant aNow)
{
  if (deliveredBytes_ == passedBytes_) {
    return;
  }
  const std::uint64_t delivered =
    passedBytes_ -
    std::min<std::uint64_t>(CountUnacknowledgedBytes(socket_), passedBytes_);
  if (delivered > deliveredBytes_) {
    deliveredBytes_ = delivered;
    timeouts_.OnActivity(aNow);
  }
}

void
ServerConnection::CheckTimeouts(base::Instant aNow)
{
  if (isClosed_) {
    return;
  }
  UpdateDelivered(aNow);
  const ConnectionPhase phase = Phase();
  const auto cause = timeouts_.FindExpired(phase, owner_.Limits(), aNow);
  if (!cause) {
    return;
  }
  // This process may have been too busy to read.
  if (!isWriting_ && CountUnreadBytes(socket_) > 0) {
    return;
  }
  if (phase == ConnectionPhase::Header) {
    RespondRequestTimeout();
    return;
  }
  Close(*cause);
}

void
ServerConnection::RespondRequestTimeout()
{
  keepAlive_ = false;
  closeAfterWrite_ = CloseCause::RequestTimeout;
  Write("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n");
}

void
ServerConnection::Read()
{
  if (isReading_ || isClosed_) {
    return;
  }
  isReading_ = true;
  // Bytes stay in the socket until the handler runs. An asynchronous read would
  // take them out earlier, and the connection would look idle meanwhile.
  socket_.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      self->isReading_ = false;
      self->OnReadable(aError);
    });
}

boost::system::error_code
ServerConnection::ReadAvailable()
{
  boost::system::error_code error;
  std::size_t bytes = kReadBytes;
  for (std::size_t total = 0; bytes == kReadBytes && total < kMaxReadBytes;
       total += bytes) {
    bytes = socket_.read_some(input_.prepare(kReadBytes), error);
    input_.commit(bytes);
  }
  return error;
}

void
ServerConnection::OnReadable(const boost::system::error_code& aError)
{
  if (isClosed_) {
    return;
  }
  const std::size_t before = input_.size();
  const boost::system::error_code error = aError ? aError : ReadAvailable();
  if (input_.size() == before) {
    if (error == asio::error::would_block) {
      Read();
      return;
    }
    // The caller has closed or reset the connection and won't read a response.
    Close(CloseCause::Caller);
    return;
  }
  timeouts_.OnActivity(base::MonotonicNow());
  if (exchange_) {
    if (input_.size() < kMaxReadAheadBytes) {
      Read();
    }
    return;
  }
  Parse();
}

void
ServerConnection::Parse()
{
  if (isClosed_ || exchange_ || closeAfterWrite_) {
    return;
  }
  if (input_.size() > 0) {
    if (!isReceiving_) {
      BeginRequest();
    }
    boost::system::error_code error;
    const std::size_t consumed = parser_->put(input_.data(), error);
    input_.consume(consumed);
    if (error && error != http::error::need_more) {
      RejectRequest(error);
      return;
    }
  }
  if (isReceiving_ && parser_->is_done()) {
    Dispatch();
    return;
  }
  SendContinueIfExpected();
  Read();
}

void
ServerConnection::BeginRequest()
{
  isReceiving_ = true;
  hasReceivedBytes_ = true;
  isContinueSent_ = false;
  const ServerLimits& limits = owner_.Limits();
  timeouts_.OnRequestBegun(limits, base::MonotonicNow());
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits.maxHeaderBytes_);
  parser_->body_limit(limits.maxBodyBytes_);
}

void
ServerConnection::RejectRequest(const boost::system::error_code& aError)
{
  keepAlive_ = false;
  closeAfterWrite_ = CloseCause::RequestRejected;
  Response response = MakeResponse(StatusFor(aError), {});
  response.set(http::field::connection, "close");
  response.content_length(0);
  Write(SerializeResponse(response, true));
}

void
ServerConnection::SendContinueIfExpected()
{
  if (isContinueSent_ || !isReceiving_ || !parser_->is_header_done()) {
    return;
  }
  isContinueSent_ = true;
  if (boost::beast::iequals(parser_->get()[http::field::expect],
                            "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
ServerConnection::Dispatch()
{
  keepAlive_ = parser_->keep_alive();
  exchange_ = std::make_shared<Exchange>(
    weak_from_this(), parser_->release(), base::MonotonicNow());
  parser_.reset();
  isReceiving_ = false;
  Read();
  owner_.OnRequest(exchange_);
}

void
ServerConnection::Write(std::string aBytes)
{
  if (isClosed_) {
    return;
  }
  if (pending_.empty()) {
    pending_ = std::move(aBytes);
  } else {
    pending_.append(aBytes);
  }
  Flush();
}

void
ServerConnection::Flush()
{
  if (isWriting_ || pending_.empty() || isClosed_) {
    return;
  }
  // Most writes fit the socket buffer, so try without an asynchronous wait.
  boost::system::error_code error;
  const std::size_t sent = socket_.write_some(asio::buffer(pending_), error);
  passedBytes_ += sent;
  if (!error && sent == pending_.size()) {
    pending_.clear();
    OnWritten({});
    return;
  }
  if (error && error != asio::error::would_block) {
    Close(CloseCause::WriteFailed);
    return;
  }
  writing_ = pending_.substr(error ? 0 : sent);
  pending_.clear();
  written_ = 0;
  isWriting_ = true;
  timeouts_.OnActivity(base::MonotonicNow());
  WriteSome();
}

void
ServerConnection::WriteSome()
{
  socket_.async_write_some(
    asio::buffer(writing_) + written_,
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->written_ += aBytes;
      self->passedBytes_ += aBytes;
      if (!aError && self->written_ < self->writing_.size()) {
        self->timeouts_.OnActivity(base::MonotonicNow());
        self->WriteSome();
        return;
      }
      self->isWriting_ = false;
      self->writing_.clear();
      self->written_ = 0;
      self->OnWritten(aError);
    });
}

void
ServerConnection::OnWritten(const boost::system::error_code& aError)
{
  if (isClosed_) {
    return;
  }
  if (aError) {
    Close(CloseCause::WriteFailed);
    return;
  }
  timeouts_.OnActivity(base::MonotonicNow());
  if (!pending_.empty()) {
    Flush();
    return;
  }
  if (closeAfterWrite_) {
    CloseAfterResponse();
    return;
  }
  if (exchange_ && exchange_->onAllWritten_) {
    exchange_->onAllWritten_();
  }
}

void
ServerConnection::EndExchange()
{
  exchange_.reset();
  if (!keepAlive_) {
    closeAfterWrite_ = CloseCause::ResponseEnded;
    if (!isWriting_ && pending_.empty()) {
      CloseAfterResponse();
    }
    return;
  }
  if (isClosed_) {
    return;
  }
  // Posted, because handling a pipelined request here would recurse.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Parse(); });
}

ConnectionEnd
ServerConnection::DescribeEnd(CloseCause aCause)
{
  ConnectionEnd end;
  end.cause_ = aCause;
  if (exchange_ && (aCause == CloseCause::Aborted || !exchange_->isFinished_)) {
    end.progress_ = RequestProgress::Unanswered;
    end.request_ = &exchange_->GetRequest();
  } else if (isReceiving_ && !closeAfterWrite_) {
    end.progress_ = RequestProgress::Incomplete;
  }
  end.sinceActivity_ = base::MonotonicNow() - timeouts_.LastActivity();
  end.unreadBytes_ = input_.size() + CountUnreadBytes(socket_);
  end.unsentBytes_ = UnsentBytes();
  end.unacknowledgedBytes_ = CountUnacknowledgedBytes(socket_);
  return end;
}

void
ServerConnection::SetEndsWithConnection(bool aEnds)
{
  endsWithConnection_ = aEnds;
  SetResetsOnClose(socket_, aEnds);
}

void
ServerConnection::CloseAfterResponse()
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  if (endsWithConnection_) {
    SetEndsWithConnection(false);
  }
  const ConnectionEnd end = DescribeEnd(*closeAfterWrite_);
  boost::system::error_code ignored;
  socket_.cancel(ignored);
  owner_.Linger(std::move(socket_));
  ReportClosed(end);
}

void
ServerConnection::Close(CloseCause aCause)
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  const ConnectionEnd end = DescribeEnd(aCause);
  if (!endsWithConnection_) {
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  CloseSocket(socket_);
  ReportClosed(end);
}

void
ServerConnection::Detach()
{
  isClosed_ = true;
  CloseSocket(socket_);
}

void
ServerConnection::ReportClosed(const ConnectionEnd& aEnd)
{
  const std::shared_ptr<Exchange> exchange = std::move(exchange_);
  const auto self = shared_from_this();
  owner_.OnClosed(*this, aEnd);
  if (exchange && !exchange->isFinished_) {
    exchange->isFinished_ = true;
    if (exchange->onCallerDisconnected_) {
      exchange->onCallerDisconnected_();
    }
  }
}

} // namespace pumiceturn::httpstream
