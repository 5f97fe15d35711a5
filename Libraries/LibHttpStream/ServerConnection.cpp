#include "LibHttpStream/ServerConnection.h"

#include "LibHttpStream/Socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <array>
#include <utility>

namespace pumiceturn::httpstream {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = 8192;

/// Requests to close that a new connection outlives, so that a caller who has
/// just connected gets its first request across. Counted in calls, which come
/// with pauses, as a host that stood still has read nothing in the meantime.
constexpr int kSparedCloses = 5;

/// Bytes that a caller may send ahead while its request is being answered.
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
  if (answered_ || !connection || connection->closed_) {
    return;
  }
  answered_ = true;
  if (connection->owner_.IsDraining()) {
    connection->keepOpen_ = false;
  }
  aResponse.content_length(aResponse.body().size());
  if (!connection->keepOpen_) {
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
  if (answered_ || streaming_ || !connection || connection->closed_) {
    return;
  }
  streaming_ = true;
  Response head;
  head.result(aHead.result_int());
  CopyEndToEndFields(aHead, head);
  // A caller of HTTP/1.0 knows no chunks: its answer ends with the connection.
  connection->chunked_ = request_.version() >= 11;
  if (!connection->chunked_ || connection->owner_.IsDraining()) {
    connection->keepOpen_ = false;
  }
  if (connection->chunked_) {
    head.set(http::field::transfer_encoding, "chunked");
  }
  if (!connection->keepOpen_) {
    head.set(http::field::connection, "close");
  }
  connection->Write(SerializeResponse(head, false));
}

void
Exchange::SendChunk(std::string_view aBytes)
{
  const auto connection = connection_.lock();
  if (answered_ || !streaming_ || !connection || connection->closed_ ||
      aBytes.empty()) {
    return;
  }
  connection->Write(connection->chunked_ ? MakeChunk(aBytes)
                                         : std::string(aBytes));
}

void
Exchange::EndStream()
{
  const auto connection = connection_.lock();
  if (answered_ || !streaming_ || !connection || connection->closed_) {
    return;
  }
  answered_ = true;
  if (connection->chunked_) {
    connection->Write(std::string(kLastChunk));
  }
  connection->EndExchange();
}

void
Exchange::Abort()
{
  answered_ = true;
  if (const auto connection = connection_.lock()) {
    connection->Close();
  }
}

std::size_t
Exchange::UnsentBytes() const
{
  const auto connection = connection_.lock();
  return connection ? connection->pending_.size() + connection->writing_.size()
                    : 0;
}

ServerConnection::ServerConnection(asio::ip::tcp::socket aSocket,
                                   ServerConnectionOwner& aOwner)
  : socket_(std::move(aSocket))
  , owner_(aOwner)
  , lastActivity_(base::MonotonicNow())
{
}

void
ServerConnection::Start()
{
  TuneSocket(socket_);
  Read();
}

bool
ServerConnection::IsIdle() const
{
  const bool isExpected = !hasAsked_ && sparedCloses_ < kSparedCloses;
  return !exchange_ && !requestBegan_ && !isWriting_ && !isExpected;
}

void
ServerConnection::CloseIfIdle()
{
  if (IsIdle()) {
    Close();
    return;
  }
  if (!hasAsked_) {
    ++sparedCloses_;
  }
}

void
ServerConnection::CheckTimeouts(base::Instant aNow)
{
  if (closed_ || exchange_ || isWriting_) {
    return;
  }
  const ServerLimits& limits = owner_.Limits();
  if (requestBegan_ && parser_ && !parser_->is_header_done() &&
      aNow - *requestBegan_ > limits.headerTimeout_) {
    keepOpen_ = false;
    closeWhenSent_ = true;
    Write("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
          "Content-Length: 0\r\n\r\n");
    return;
  }
  if (aNow - lastActivity_ > limits.idleTimeout_) {
    Close();
  }
}

void
ServerConnection::Read()
{
  if (isReading_ || closed_) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    input_.prepare(kReadBytes),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->isReading_ = false;
      self->OnRead(aError, aBytes);
    });
}

void
ServerConnection::OnRead(const boost::system::error_code& aError,
                         std::size_t aBytes)
{
  if (closed_) {
    return;
  }
  if (aError) {
    // The caller has closed or reset: what it asked for is of no use now.
    Close();
    return;
  }
  input_.commit(aBytes);
  lastActivity_ = base::MonotonicNow();
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
  if (closed_ || exchange_ || closeWhenSent_) {
    return;
  }
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(owner_.Limits().maxHeaderBytes_);
    parser_->body_limit(owner_.Limits().maxBodyBytes_);
    sentContinue_ = false;
  }
  if (input_.size() > 0) {
    if (!requestBegan_) {
      requestBegan_ = base::MonotonicNow();
      hasAsked_ = true;
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(input_.data(), error);
    input_.consume(used);
    if (error && error != http::error::need_more) {
      RefuseMalformed(error);
      return;
    }
  }
  if (parser_->is_done()) {
    Dispatch();
    return;
  }
  ContinueIfExpected();
  Read();
}

void
ServerConnection::RefuseMalformed(const boost::system::error_code& aError)
{
  keepOpen_ = false;
  closeWhenSent_ = true;
  Response response = MakeResponse(StatusFor(aError), {});
  response.set(http::field::connection, "close");
  response.content_length(0);
  Write(SerializeResponse(response, true));
}

void
ServerConnection::ContinueIfExpected()
{
  if (sentContinue_ || !parser_->is_header_done()) {
    return;
  }
  sentContinue_ = true;
  if (boost::beast::iequals(parser_->get()[http::field::expect],
                            "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
ServerConnection::Dispatch()
{
  keepOpen_ = parser_->keep_alive();
  exchange_ = std::make_shared<Exchange>(
    weak_from_this(), parser_->release(), base::MonotonicNow());
  parser_.reset();
  requestBegan_.reset();
  Read();
  owner_.OnRequest(exchange_);
}

void
ServerConnection::Write(std::string aBytes)
{
  if (closed_) {
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
  if (isWriting_ || pending_.empty() || closed_) {
    return;
  }
  // Most pieces fit the kernel's buffer: one call, and no wake-up afterwards.
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  const std::size_t sent = socket_.write_some(asio::buffer(pending_), error);
  if (!error && sent == pending_.size()) {
    pending_.clear();
    OnWritten({});
    return;
  }
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  writing_ = pending_.substr(error ? 0 : sent);
  pending_.clear();
  isWriting_ = true;
  asio::async_write(socket_,
                    asio::buffer(writing_),
                    [self = shared_from_this()](
                      const boost::system::error_code& aError, std::size_t) {
                      self->isWriting_ = false;
                      self->writing_.clear();
                      self->OnWritten(aError);
                    });
}

void
ServerConnection::OnWritten(const boost::system::error_code& aError)
{
  if (closed_) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  lastActivity_ = base::MonotonicNow();
  if (!pending_.empty()) {
    Flush();
    return;
  }
  if (closeWhenSent_) {
    Close();
    return;
  }
  if (exchange_ && exchange_->drained_) {
    exchange_->drained_();
  }
}

void
ServerConnection::EndExchange()
{
  exchange_.reset();
  if (!keepOpen_) {
    closeWhenSent_ = true;
    if (!isWriting_ && pending_.empty()) {
      Close();
    }
    return;
  }
  if (closed_) {
    return;
  }
  // Posted, since a request that was sent ahead would nest its handling here.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Parse(); });
}

void
ServerConnection::Close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  CloseSocket(socket_);
  const std::shared_ptr<Exchange> exchange = std::move(exchange_);
  const auto self = shared_from_this();
  owner_.OnClosed(*this);
  if (exchange && !exchange->answered_) {
    exchange->answered_ = true;
    if (exchange->callerDisconnected_) {
      exchange->callerDisconnected_();
    }
  }
}

} // namespace pumiceturn::httpstream
