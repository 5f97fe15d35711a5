#pragma once

#include "LibBase/Time.h"
#include "LibHttpStream/ConnectionEnd.h"
#include "LibHttpStream/ConnectionTimeouts.h"
#include "LibHttpStream/Message.h"
#include "LibHttpStream/ServerLimits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

class ServerConnection;

/// A request and its response, which is sent exactly once, either complete or
/// as a stream. Sending does nothing once the response has ended or the
/// connection has closed. Must be used only on the thread that runs the
/// io_context.
class Exchange
{
public:
  Exchange(std::weak_ptr<ServerConnection> aConnection,
           Request aRequest,
           base::Instant aReceivedAt);

  [[nodiscard]] const Request& GetRequest() const { return request_; }
  [[nodiscard]] Request& GetRequest() { return request_; }

  /// @return when the last byte of the request was read.
  [[nodiscard]] base::Instant ReceivedAt() const { return receivedAt_; }

  /// Sends a complete response with a Content-Length.
  void Respond(Response aResponse);

  /// Sends the head of a streamed response.
  void BeginStream(const ResponseHead& aHead);

  /// Sends bytes of a streamed response at once. Bytes that the socket doesn't
  /// accept yet are buffered; see UnsentBytes().
  void SendChunk(std::string_view aBytes);

  /// Completes a streamed response.
  void EndStream();

  /// Closes the connection, so that the caller sees an unfinished response as
  /// incomplete.
  void Abort();

  [[nodiscard]] bool IsFinished() const { return isFinished_; }
  [[nodiscard]] bool IsStreaming() const { return isStreaming_; }

  /// @return the number of response bytes not yet written to the socket.
  [[nodiscard]] std::size_t UnsentBytes() const;

  /// @param aCallback Called once if the connection closes before the response
  ///                  has ended.
  void SetOnCallerDisconnected(std::function<void()> aCallback)
  {
    onCallerDisconnected_ = std::move(aCallback);
  }

  /// @param aCallback Called each time all pending bytes have been written.
  void SetOnAllWritten(std::function<void()> aCallback)
  {
    onAllWritten_ = std::move(aCallback);
  }

private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  Request request_;
  base::Instant receivedAt_;
  bool isFinished_ = false;
  bool isStreaming_ = false;
  std::function<void()> onCallerDisconnected_;
  std::function<void()> onAllWritten_;
};

/// Interface through which a connection reaches its listener.
class ServerConnectionOwner
{
public:
  virtual ~ServerConnectionOwner() = default;

  /// Handles a completely received request.
  virtual void OnRequest(std::shared_ptr<Exchange> aExchange) = 0;
  virtual void OnClosed(ServerConnection& aConnection,
                        const ConnectionEnd& aEnd) = 0;

  /// Takes over the socket of a closed connection whose caller may still be
  /// reading the last response.
  virtual void Linger(boost::asio::ip::tcp::socket aSocket) = 0;
  [[nodiscard]] virtual const ServerLimits& Limits() const = 0;

  /// @return whether responses carry "Connection: close" because the host is
  /// shutting down.
  [[nodiscard]] virtual bool IsDraining() const = 0;
};

/// A caller's connection. Handles one request at a time, and keeps reading
/// while a response is sent in order to detect a close at once.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(boost::asio::ip::tcp::socket aSocket,
                   ServerConnectionOwner& aOwner);

  void Start();

  /// Closes the connection if a time limit has passed, also if the caller reads
  /// nothing of a response for the idle timeout. If the header of a request is
  /// incomplete, first responds with 408. Bytes that have arrived but haven't
  /// been read yet count as received in time. Called periodically.
  void CheckTimeouts(base::Instant aNow);

  /// Closes the connection without a report, as its owner ends.
  void Detach();

  /// Closes the connection if no request is being read or answered. A
  /// connection that hasn't sent a request yet is left open by the first few
  /// calls of this function, since its first request may be on its way.
  void CloseIfIdle();

  /// @return whether no request is being read or answered, and no bytes have
  ///         arrived that may be one.
  [[nodiscard]] bool IsIdle() const;

  /// @return the number of response bytes not yet passed to the kernel.
  [[nodiscard]] std::size_t UnsentBytes() const
  {
    return pending_.size() + writing_.size() - written_;
  }

private:
  friend class Exchange;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  [[nodiscard]] ConnectionPhase Phase() const;
  void UpdateDelivered(base::Instant aNow);
  void RespondRequestTimeout();
  /// @return whether the response that begins now is the connection's last, as
  ///         the host shuts down. A request that has already arrived behind it
  ///         is answered first.
  [[nodiscard]] bool MustCloseForDraining() const;
  void Read();
  void OnReadable(const boost::system::error_code& aError);
  [[nodiscard]] boost::system::error_code ReadAvailable();
  void Parse();
  void BeginRequest();
  void RejectRequest(const boost::system::error_code& aError);
  void SendContinueIfExpected();
  void Dispatch();
  void Write(std::string aBytes);
  void Flush();
  void WriteSome();
  void OnWritten(const boost::system::error_code& aError);
  void EndExchange();
  void SetEndsWithConnection(bool aEnds);

  /// Closes the connection after its last response was passed to the kernel.
  void CloseAfterResponse();
  void Close(CloseCause aCause);
  void ReportClosed(const ConnectionEnd& aEnd);
  [[nodiscard]] ConnectionEnd DescribeEnd(CloseCause aCause);

  boost::asio::ip::tcp::socket socket_;
  ServerConnectionOwner& owner_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  std::shared_ptr<Exchange> exchange_;
  std::string pending_;     ///< Not passed to the kernel yet.
  std::string writing_;     ///< Owned by the asynchronous write in progress.
  std::size_t written_ = 0; ///< Bytes of writing_ that were written.
  std::uint64_t passedBytes_ = 0;    ///< To the kernel, since the start.
  std::uint64_t deliveredBytes_ = 0; ///< Known to be at the caller's host.
  bool isReading_ = false;
  bool isWriting_ = false;
  bool keepAlive_ = true;
  bool isChunked_ = true; ///< Whether the streamed response is chunked.
  /// Whether the caller takes the end of the connection for that of the
  /// response in progress. Closing it early then has to reset it.
  bool endsWithConnection_ = false;
  /// Set once the last response of the connection is being written.
  std::optional<CloseCause> closeAfterWrite_;
  bool isClosed_ = false;
  bool isContinueSent_ = false;
  bool hasReceivedBytes_ = false; ///< At least one request has begun.
  bool isReceiving_ = false;      ///< Some bytes of a request were read.
  int closeIfIdleCalls_ = 0;
  ConnectionTimeouts timeouts_;
};

} // namespace pumiceturn::httpstream
