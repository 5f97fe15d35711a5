#pragma once

#include "LibBase/Time.h"
#include "LibHttpStream/Message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

/// How a call ended.
enum class CallOutcome : std::uint8_t
{
  Complete,     ///< The whole answer was read.
  NotConnected, ///< No connection was made: nothing was sent.
  Broken,       ///< The connection ended before the answer did.
  TimedOut,     ///< No byte came for the time allowed.
  Malformed     ///< The bytes are no answer.
};

/// What one call sends and how patient it is.
struct Call
{
  std::string bytes_; ///< The whole request.

  /// Field that an answer repeats, and its value. An answer with another value
  /// belongs to an earlier call on this connection and is skipped. Empty: any
  /// answer is taken.
  std::string echoField_;
  std::string echoValue_;

  bool isHead_ = false; ///< The answer has no body whatever its length says.

  /// Longest wait for the first byte, and between bytes. Zero: no limit.
  base::Duration firstByteTimeout_{ 0 };
  base::Duration gapTimeout_{ 0 };
};

/// Receives one call's answer. Callbacks come in the order head, body, end.
class CallObserver
{
public:
  virtual ~CallObserver() = default;
  virtual void OnHead(const ResponseHead& aHead) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;

  /// Nothing follows. May destroy or reuse the observer.
  virtual void OnEnd(CallOutcome aEnd) = 0;
};

/// One connection to a server, with one call at a time. Belongs to the event
/// thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(const boost::asio::any_io_executor& aExecutor);

  /// Connects, then calls aReady with whether that worked.
  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint,
               base::Duration aTimeout,
               std::function<void(bool)> aReady);

  /// Sends a call. The observer must outlive it or call Cancel().
  void Start(Call aCall, CallObserver& aObserver);

  /// Closes the connection and calls back no more.
  void Cancel();

  /// Stops or goes on reading, for a receiver that is slower than the server.
  void SetPaused(bool aIsPaused);

  /// @return whether another call may follow: the last answer was whole, all of
  /// its request was sent, and neither side wants to close.
  [[nodiscard]] bool IsReusable() const;

  /// Looks whether bytes or a close came while nothing was asked: both make
  /// the connection useless.
  [[nodiscard]] bool IsQuiet();

  /// @return until when the server keeps the connection open while idle.
  [[nodiscard]] base::Instant UsableUntil() const { return usableUntil_; }

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ArmTimer(base::Duration aTimeout);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void Parse();
  bool AcceptHead();
  void PassBody();
  void OnEndOfInput(const boost::system::error_code& aError);
  void NoteKeepAlive();
  void Finish(CallOutcome aEnd);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  Call call_;
  CallObserver* observer_ = nullptr;
  std::function<void(bool)> ready_;
  base::Instant usableUntil_;
  std::uint64_t timerRound_ = 0;
  bool headSeen_ = false;
  bool isForeign_ = false; ///< The present answer belongs to an earlier call.
  bool isWriting_ = false;
  bool isReading_ = false;
  bool isPaused_ = false;
  bool isReusable_ = false;
  bool closed_ = false;
};

} // namespace pumiceturn::httpstream
