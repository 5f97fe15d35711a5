#pragma once

#include "LibBase/Time.h"
#include "LibHttpStream/Message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

/// What a caller may send and how long it may take. Operators change it at run
/// time.
struct ServerLimits
{
  std::uint32_t maxHeaderBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  base::Duration headerTimeout_{ std::chrono::seconds{ 3 } };
  base::Duration idleTimeout_{ std::chrono::seconds{ 15 } };
};

class ServerConnection;

/// One request and the means to answer it, exactly once: whole, or as a stream.
/// Belongs to the event thread.
class Exchange
{
public:
  Exchange(std::weak_ptr<ServerConnection> aConnection,
           Request aRequest,
           base::Instant aReceivedAt);

  [[nodiscard]] const Request& GetRequest() const { return request_; }
  [[nodiscard]] Request& GetRequest() { return request_; }

  /// When the last byte of the request had been read.
  [[nodiscard]] base::Instant ReceivedAt() const { return receivedAt_; }

  /// Answers with a body of known length.
  void Respond(Response aResponse);

  /// Begins a streamed answer; its body is sent in chunks.
  void BeginStream(const ResponseHead& aHead);

  /// Sends bytes of a streamed answer at once.
  void SendChunk(std::string_view aBytes);

  /// Ends a streamed answer as complete.
  void EndStream();

  /// Closes the connection, so that an unfinished answer looks broken.
  void Abort();

  [[nodiscard]] bool IsAnswered() const { return answered_; }
  [[nodiscard]] bool IsStreaming() const { return streaming_; }

  /// @return bytes that the caller has not taken yet.
  [[nodiscard]] std::size_t UnsentBytes() const;

  /// @param aCallback Called once if the caller closes before the answer ends.
  void OnCallerDisconnected(std::function<void()> aCallback)
  {
    callerDisconnected_ = std::move(aCallback);
  }

  /// @param aCallback Called each time that all bytes have been taken.
  void OnDrained(std::function<void()> aCallback)
  {
    drained_ = std::move(aCallback);
  }

private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  Request request_;
  base::Instant receivedAt_;
  bool answered_ = false;
  bool streaming_ = false;
  std::function<void()> callerDisconnected_;
  std::function<void()> drained_;
};

/// What a connection asks of its listener.
class ServerConnectionOwner
{
public:
  virtual ~ServerConnectionOwner() = default;

  /// Handles a whole request.
  virtual void OnRequest(std::shared_ptr<Exchange> aExchange) = 0;
  virtual void OnClosed(ServerConnection& aConnection) = 0;
  [[nodiscard]] virtual const ServerLimits& Limits() const = 0;

  /// @return whether answers tell the caller to close, as the host is leaving.
  [[nodiscard]] virtual bool IsDraining() const = 0;
};

/// One caller's connection: reads requests one after the other, and goes on
/// reading during an answer, so that a close is noticed at once.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(boost::asio::ip::tcp::socket aSocket,
                   ServerConnectionOwner& aOwner);

  void Start();

  /// Applies the time limits; called a few times a second.
  void CheckTimeouts(base::Instant aNow);

  /// Closes if no request is being read or answered. A connection that has not
  /// brought a request yet is spared a few times.
  void CloseIfIdle();

  [[nodiscard]] bool IsIdle() const;

private:
  friend class Exchange;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void Parse();
  void RefuseMalformed(const boost::system::error_code& aError);
  void ContinueIfExpected();
  void Dispatch();
  void Write(std::string aBytes);
  void Flush();
  void OnWritten(const boost::system::error_code& aError);
  void EndExchange();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  ServerConnectionOwner& owner_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  std::shared_ptr<Exchange> exchange_;
  std::string pending_; ///< Not handed to the kernel yet.
  std::string writing_; ///< Being written.
  bool isReading_ = false;
  bool isWriting_ = false;
  bool keepOpen_ = true;
  bool chunked_ = true; ///< The streamed answer's framing.
  bool closeWhenSent_ = false;
  bool closed_ = false;
  bool sentContinue_ = false;
  bool hasAsked_ = false; ///< Part of a request has come at least once.
  int sparedCloses_ = 0;
  base::Instant lastActivity_;
  std::optional<base::Instant> requestBegan_;
};

} // namespace pumiceturn::httpstream
