#include "Tests/LibHttpStream/ListenerFixture.h"
#include "Tests/LibHttpStream/ServerConnectionFixture.h"

#include <thread>

namespace pumiceturn::httpstream {

// Guards against closing a connection as idle while a whole request waits in
// its socket, because this process was too busy to read it.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_RequestUnreadAtIdleTimeout_IsAnswered")
{
  RunReady();
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  RunUntilRequests(1);
  CHECK_FALSE(end_);
}

// Guards against rejecting a request whose header arrived in time and wasn't
// read in time.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_HeaderUnreadAtHeaderTimeout_IsAnswered")
{
  Send("GET /1 HTTP/1.1\r\n");
  RunReady();
  Send("Host: a\r\n\r\n");
  connection_->CheckTimeouts(After(limits_.headerTimeout_));
  RunUntilRequests(1);
  CHECK_FALSE(end_);
}

// Guards against dropping a request whose body arrived and wasn't read in time.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_BodyUnreadAtIdleTimeout_IsAnswered")
{
  Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n12");
  RunReady();
  Send("34");
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  RunUntilRequests(1);
  CHECK(exchanges_.at(0)->GetRequest().body() == "1234");
}

TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_NothingUnreadAtIdleTimeout_IsClosed")
{
  RunReady();
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  REQUIRE(end_);
  CHECK(end_->cause_ == CloseCause::IdleTimeout);
}

TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_HeaderIncompleteAtHeaderTimeout_GetsA408")
{
  Send("GET /1 HTTP/1.1\r\n");
  RunReady();
  connection_->CheckTimeouts(After(limits_.headerTimeout_));
  CHECK(ReceiveAll().starts_with("HTTP/1.1 408"));
  CHECK(end_->cause_ == CloseCause::RequestTimeout);
}

// Guards against closing a connection while draining although a request has
// arrived in its socket.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_RequestUnreadWhileDraining_IsAnswered")
{
  respondsAtOnce_ = true;
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  RunReady();
  isDraining_ = true;
  Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  connection_->CloseIfIdle();
  RunUntilRequests(2);
  CHECK(ReceiveAll().find("Connection: close") != std::string::npos);
}

// Guards against dropping a pipelined request that was read with the one before
// it, if the host drains between the two.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_RequestReadAheadWhileDraining_IsAnswered")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
       "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  REQUIRE(connection_);
  CHECK_FALSE(connection_->IsIdle());
  connection_->CloseIfIdle();
  RunUntilRequests(2);
}

// Guards against a pipelined request that is dropped as the response before it
// is sent with "Connection: close".
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_PipelinedRequestWhileDraining_IsAnswered")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
       "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  isDraining_ = true;
  exchanges_[0]->Respond(MakeResponse(200, "first", "text/plain"));
  RunUntilRequests(2);
  exchanges_[1]->Respond(MakeResponse(200, "second", "text/plain"));
  const std::string received = ReceiveAll();
  CHECK(received.find("second") != std::string::npos);
  CHECK(received.find("Connection: close") > received.find("first"));
}

// Guards against a request that was taken from the socket but not yet handled,
// and so is neither in the socket nor in the connection's buffer.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_RequestBetweenTwoHandlers_IsAnswered")
{
  // The first request takes one read exactly, so that the second is read alone.
  constexpr std::size_t kReadBytes = 8192;
  const std::string begin = "GET /1 HTTP/1.1\r\nHost: a\r\nX: ";
  const std::string end = "\r\n\r\n";
  respondsAtOnce_ = true;
  Send(begin + std::string(kReadBytes - begin.size() - end.size(), 'x') + end +
       "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  while (connection_ && exchanges_.size() < 2) {
    context_.restart();
    context_.run_one();
    if (connection_) {
      connection_->CloseIfIdle();
    }
  }
  CHECK(exchanges_.size() == 2);
}

// Guards against closing a connection that its caller is about to use, as it
// relies on the timeout that held when the connection became idle.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_IdleTimeoutLoweredWhileIdle_KeepsTheOldOne")
{
  const base::Duration oldTimeout = limits_.idleTimeout_;
  RunReady();
  limits_.idleTimeout_ = oldTimeout / 10;
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  CHECK(connection_);
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  RunReady();
  connection_->CheckTimeouts(base::MonotonicNow());
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  CHECK_FALSE(connection_);
}

TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_IdleTimeoutRaisedWhileIdle_HoldsAtOnce")
{
  const base::Duration oldTimeout = limits_.idleTimeout_;
  RunReady();
  limits_.idleTimeout_ = oldTimeout * 10;
  connection_->CheckTimeouts(After(oldTimeout));
  CHECK(connection_);
}

// Guards against rejecting a request that its caller sends within the timeout
// that held when the request began.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_HeaderTimeoutLoweredMidway_KeepsTheOldOne")
{
  const base::Duration oldTimeout = limits_.headerTimeout_;
  Send("GET /1 HTTP/1.1\r\n");
  RunReady();
  limits_.headerTimeout_ = oldTimeout / 10;
  connection_->CheckTimeouts(After(limits_.headerTimeout_));
  Send("Host: a\r\n\r\n");
  RunUntilRequests(1);
}

// Guards against cutting off a response because the timeout was lowered while
// it was sent.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_IdleTimeoutLoweredWhileSending_KeepsTheOld")
{
  constexpr std::size_t kBodyBytes = 33554432;
  const base::Duration oldTimeout = limits_.idleTimeout_;
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  REQUIRE(connection_->UnsentBytes() > 0);
  RunReady();
  limits_.idleTimeout_ = oldTimeout / 10;
  connection_->CheckTimeouts(After(limits_.idleTimeout_));
  CHECK(connection_);
}

// Guards against rejecting a body that the limits in force allow, because the
// connection was opened under lower ones.
TEST_CASE_METHOD(
  ServerConnectionFixture,
  "ServerConnection_BodyLimitRaisedWhileIdle_HoldsForNextRequest")
{
  limits_.maxBodyBytes_ = 4;
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  RunReady();
  limits_.maxBodyBytes_ = 8;
  Send("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n12345678");
  RunReady();
  CHECK(exchanges_.size() == 2);
}

// Guards against closing a connection as idle while its caller still reads, at
// a steady pace, what the kernel holds of a response.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_CallerReadsWhatTheKernelHolds_IsNotIdle")
{
  constexpr std::size_t kBodyBytes = 8388608;
  constexpr std::size_t kPartBytes = 1048576;
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  while (connection_->UnsentBytes() > 0) {
    ReceiveBytes(kPartBytes);
    RunReady();
  }
  const base::Instant writtenAt = base::MonotonicNow();
  ReceiveBytes(kPartBytes);
  connection_->CheckTimeouts(writtenAt + limits_.idleTimeout_ * 6 / 10);
  ReceiveBytes(kPartBytes);
  connection_->CheckTimeouts(writtenAt + limits_.idleTimeout_ * 12 / 10);
  CHECK(connection_);
}

// Guards against an aborted response that looks complete to a caller of
// HTTP/1.0, for which the end of the connection ends the response.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_Http10StreamAborted_ResetsTheConnection")
{
  Send("GET /1 HTTP/1.0\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  ResponseHead head;
  head.result(200);
  exchanges_[0]->BeginStream(head);
  exchanges_[0]->SendChunk("half");
  exchanges_[0]->Abort();
  (void)ReceiveAll();
  CHECK(receiveError_ == boost::asio::error::connection_reset);
}

TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_Http10StreamEnded_EndsTheConnection")
{
  Send("GET /1 HTTP/1.0\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  ResponseHead head;
  head.result(200);
  exchanges_[0]->BeginStream(head);
  exchanges_[0]->SendChunk("whole");
  exchanges_[0]->EndStream();
  CHECK(ReceiveAll().ends_with("whole"));
  CHECK(receiveError_ == boost::asio::error::eof);
}

// Guards against a late abort that ends the next request of the connection.
TEST_CASE_METHOD(ServerConnectionFixture,
                 "ServerConnection_AbortAfterTheResponse_KeepsTheNextRequest")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
       "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntilRequests(1);
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  RunUntilRequests(2);
  exchanges_[0]->Abort();
  CHECK(connection_);
  CHECK_FALSE(exchanges_[1]->IsFinished());
}

// Guards against closing connections whose requests arrived while the event
// loop stood still: more than the event loop is told of at once.
TEST_CASE_METHOD(ListenerFixture,
                 "Listener_RequestsArriveDuringAStall_AllAreAnswered")
{
  constexpr std::size_t kCallers = 300;
  constexpr std::chrono::milliseconds kIdleTimeout{ 1000 };
  ServerLimits limits;
  limits.idleTimeout_ = kIdleTimeout;
  listener_.SetLimits(limits);
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(context_).connect(Loopback(listener_.Port()));
  }
  RunUntil([this] { return listener_.ConnectionCount() == kCallers + 1; });
  std::this_thread::sleep_for(kIdleTimeout + std::chrono::milliseconds(100));
  for (auto& caller : callers) {
    boost::asio::write(
      caller, boost::asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27));
  }
  std::size_t closed = 0;
  listener_.SetOnConnectionEnded(
    [&closed](const ConnectionEnd& aEnd) { closed += aEnd.unreadBytes_ > 0; });
  RunUntil([this, &closed] { return exchanges_.size() + closed == kCallers; });
  CHECK(exchanges_.size() == kCallers);
}

} // namespace pumiceturn::httpstream
