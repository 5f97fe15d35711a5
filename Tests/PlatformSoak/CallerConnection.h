#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// How a caller's request ended.
enum class CallerEnd : std::uint8_t
{
  Pending,
  Complete,  ///< The whole response was read.
  Closed,    ///< The host closed the connection before.
  Malformed, ///< The bytes are not an HTTP response.
  GivenUp,   ///< The caller's patience or its deadline ran out.
  /// Not the first on its connection when the connection ended, or not sent
  /// whole: the host can't have answered it.
  Unanswerable,
};

/// A caller's request and what the caller saw of its response.
struct CallerRequest
{
  using TimePoint = std::chrono::steady_clock::time_point;

  std::string id_;
  std::string bytes_;
  std::size_t pieces_ = 1; ///< The request is sent in this many writes.
  std::chrono::milliseconds pieceInterval_{ 0 };
  std::chrono::milliseconds patience_{ 0 }; ///< Between reads of the response.
  std::chrono::milliseconds deadline_{ 0 }; ///< From the last byte sent.

  std::optional<TimePoint> sentAt_; ///< When the last byte was sent.
  /// The connection was already closed when the last byte was sent.
  bool isSentIntoClose_ = false;
  TimePoint progressAt_; ///< When its turn began or bytes were last read.
  bool hasResponseBytes_ = false;
  unsigned status_ = 0;
  std::string echoedId_; ///< The request id in the response's head.
  std::string body_;
  CallerEnd end_ = CallerEnd::Pending;
  bool isReset_ = false; ///< The host closed with a reset.
  TimePoint endedAt_;
};

/// A caller's connection to a host, which may carry pipelined requests. Must be
/// used only on the thread that runs the io_context.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Requests = std::vector<std::shared_ptr<CallerRequest>>;

  struct ReadPace
  {
    std::chrono::milliseconds interval_{ 0 }; ///< Between two reads.
    std::size_t bytes_ = 0; ///< Limit of a read and of the receive buffer; 0:
                            ///< the defaults.
  };

  explicit CallerConnection(boost::asio::io_context& aContext);

  [[nodiscard]] boost::asio::awaitable<bool> Connect(
    boost::asio::ip::tcp::endpoint aEndpoint,
    ReadPace aPace);

  /// Sends requests one after another without waiting for responses, and reads
  /// until all have ended.
  /// @return IsOpen().
  [[nodiscard]] boost::asio::awaitable<bool> Exchange(Requests aRequests);

  /// @return whether the connection can carry more requests: it is open, all
  ///         requests were sent whole, and the host hasn't asked to close it.
  [[nodiscard]] bool IsOpen();

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  static boost::asio::awaitable<void> SendAll(
    std::shared_ptr<CallerConnection> aSelf,
    Requests aRequests);
  [[nodiscard]] boost::asio::awaitable<bool> SendInPieces(
    CallerRequest& aRequest);
  [[nodiscard]] boost::asio::awaitable<CallerEnd> Receive(
    CallerRequest& aRequest);
  [[nodiscard]] boost::asio::awaitable<CallerEnd> ReadMore(
    CallerRequest& aRequest);
  void ArmTimer(const CallerRequest& aRequest);
  [[nodiscard]] bool HasPeerClosed();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer input_;
  ReadPace pace_;
  CallerRequest* current_ = nullptr; ///< Its response is being read.
  bool isOpen_ = false;
  bool isSending_ = false;
  bool isGivenUp_ = false;
};

} // namespace pumiceturn::adapter
