#include "LibHttpStream/LingeringSockets.h"
#include "Tests/LibHttpStream/ListenerFixture.h"

#include <boost/asio/read.hpp>

namespace pumiceturn::httpstream {

namespace asio = boost::asio;

/// Several callers' connections, all lingering.
class LingeringSocketsFixture : protected HttpFixture
{
protected:
  LingeringSocketsFixture()
    : acceptor_(context_, Loopback(0))
  {
  }

  asio::ip::tcp::socket& Connect()
  {
    callers_.emplace_back(context_);
    callers_.back().connect(Loopback(acceptor_.local_endpoint().port()));
    lingering_.Add(acceptor_.accept(), now_);
    return callers_.back();
  }

  asio::ip::tcp::acceptor acceptor_;
  std::list<asio::ip::tcp::socket> callers_;
  LingeringSockets lingering_;
  base::Instant now_{};
};

TEST_CASE_METHOD(LingeringSocketsFixture,
                 "LingeringSockets_CallerCloses_IsClosedAtOnce")
{
  asio::ip::tcp::socket& caller = Connect();
  CHECK(lingering_.Count() == 1);
  caller.close();
  RunUntil([this] { return lingering_.Count() == 0; });
}

// Guards against descriptors held by callers that never close.
TEST_CASE_METHOD(LingeringSocketsFixture,
                 "LingeringSockets_CallerNeverCloses_IsClosedAfterMaxTime")
{
  Connect();
  lingering_.CloseExpired(now_ + LingeringSockets::kMaxTime -
                          base::Duration(1));
  CHECK(lingering_.Count() == 1);
  lingering_.CloseExpired(now_ + LingeringSockets::kMaxTime);
  CHECK(lingering_.Count() == 0);
}

TEST_CASE_METHOD(LingeringSocketsFixture,
                 "LingeringSockets_TooMany_OldestIsClosed")
{
  for (std::size_t i = 0; i <= LingeringSockets::kMaxSockets; ++i) {
    Connect();
  }
  CHECK(lingering_.Count() == LingeringSockets::kMaxSockets);
}

// Guards against a caller that keeps this host reading.
TEST_CASE_METHOD(LingeringSocketsFixture,
                 "LingeringSockets_CallerKeepsSending_IsClosed")
{
  asio::ip::tcp::socket& caller = Connect();
  caller.non_blocking(true);
  const std::string bytes(65536, 'x');
  std::size_t sent = 0;
  while (lingering_.Count() > 0 &&
         sent <= 2 * LingeringSockets::kMaxDroppedBytes) {
    boost::system::error_code error;
    sent += caller.write_some(asio::buffer(bytes), error);
    context_.restart();
    context_.poll();
  }
  CHECK(lingering_.Count() == 0);
  CHECK(sent >= LingeringSockets::kMaxDroppedBytes);
}

// Guards against losing a response, written whole, to the reset that follows if
// a connection is closed while its caller still sends.
TEST_CASE_METHOD(ListenerFixture,
                 "Listener_CallerSendsAfterLastResponse_ReceivesAllOfIt")
{
  constexpr std::size_t kBodyBytes = 1048576;
  Send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
  Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  ReadUntilClosed();
  CHECK(received_.size() > kBodyBytes);
  CHECK(exchanges_.size() == 1);
}

// Guards against a reset while a caller sends the body of a request that was
// rejected: its next write would fail before it reads the response.
TEST_CASE_METHOD(ListenerFixture,
                 "Listener_BodyArrivesAfterRejection_CallerReadsTheResponse")
{
  listener_.SetLimits(
    { 4096, 4, std::chrono::seconds(3), std::chrono::seconds(9) });
  Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
  for (int i = 0; i < 10; ++i) {
    Send(std::string(100000, 'x'));
    context_.poll();
    context_.restart();
  }
  ReadUntilClosed();
  CHECK(received_.starts_with("HTTP/1.1 413"));
}

// Guards against a shutdown that waits for callers which don't close.
TEST_CASE_METHOD(ListenerFixture, "Listener_Lingering_DoesNotDelayDraining")
{
  listener_.SetDraining();
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  ReadUntilClosed();
  CHECK(listener_.LingeringCount() == 1);
  CHECK(listener_.ConnectionCount() == 0);
  CHECK(listener_.BusyCount() == 0);
  caller_.close();
  RunUntil([this] { return listener_.LingeringCount() == 0; });
}

} // namespace pumiceturn::httpstream
