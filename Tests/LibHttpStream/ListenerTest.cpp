#include "LibHttpStream/Status.h"
#include "Tests/LibHttpStream/ListenerFixture.h"

#include <vector>

#include <fmt/format.h>

namespace pumiceturn::httpstream {

namespace asio = boost::asio;

TEST_CASE_METHOD(ListenerFixture, "Listener_ChunkedRequest_ArrivesWhole")
{
  Send("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  CHECK(exchanges_[0]->GetRequest().body() == "abcde");
}

TEST_CASE_METHOD(ListenerFixture,
                 "Listener_PipelinedRequests_AreAnsweredInOrder")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(MakeResponse(200, "one", "text/plain"));
  RunUntil([this] { return exchanges_.size() == 2; });
  exchanges_[1]->Respond(MakeResponse(200, "two", "text/plain"));
  ReadUntil("two");
  CHECK(received_.find("one") < received_.find("two"));
}

TEST_CASE_METHOD(ListenerFixture, "Listener_MalformedRequest_GetsA400")
{
  Send("nonsense\r\n\r\n");
  ReadUntil("HTTP/1.1 400");
  CHECK(exchanges_.empty());
}

TEST_CASE_METHOD(ListenerFixture, "Listener_HeaderOverTheLimit_GetsA431")
{
  listener_.SetLimits(
    { 64, 64, std::chrono::seconds(3), std::chrono::seconds(9) });
  Send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  ReadUntil("HTTP/1.1 431");
}

TEST_CASE_METHOD(ListenerFixture, "Listener_BodyOverTheLimit_GetsA413")
{
  listener_.SetLimits(
    { 4096, 4, std::chrono::seconds(3), std::chrono::seconds(9) });
  Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123456789");
  ReadUntil("HTTP/1.1 413");
}

TEST_CASE_METHOD(ListenerFixture, "Listener_HalfRequestThenClose_IsDropped")
{
  Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123");
  RunUntil([this] { return listener_.ConnectionCount() == 1; });
  caller_.close();
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
  CHECK(exchanges_.empty());
}

// Guards against an aborted stream that looks complete to the caller.
TEST_CASE_METHOD(ListenerFixture, "Listener_StreamAborted_DoesNotLookComplete")
{
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  ResponseHead head;
  head.result(200);
  exchanges_[0]->BeginStream(head);
  exchanges_[0]->SendChunk("half");
  exchanges_[0]->Abort();
  ReadUntilClosed();
  CHECK(received_.find("half") != std::string::npos);
  CHECK(received_.find(kLastChunk) == std::string::npos);
}

TEST_CASE_METHOD(ListenerFixture, "Listener_StreamEnded_IsComplete")
{
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  ResponseHead head;
  head.result(200);
  exchanges_[0]->BeginStream(head);
  exchanges_[0]->SendChunk("whole");
  exchanges_[0]->EndStream();
  ReadUntil(std::string(kLastChunk));
}

TEST_CASE_METHOD(ListenerFixture,
                 "Listener_CallerClosesBeforeResponse_IsReported")
{
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  bool isDisconnected = false;
  exchanges_[0]->SetOnCallerDisconnected(
    [&isDisconnected] { isDisconnected = true; });
  caller_.close();
  RunUntil([&isDisconnected] { return isDisconnected; });
}

TEST_CASE_METHOD(ListenerFixture, "Listener_Draining_SendsConnectionClose")
{
  listener_.SetDraining();
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  ReadUntilClosed();
  CHECK(received_.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(ListenerFixture, "Listener_CloseIdle_KeepsBusyConnections")
{
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  listener_.CloseIdle();
  CHECK(listener_.ConnectionCount() == 1);
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  ReadUntil("x");
  listener_.CloseIdle();
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
}

// Guards against closing a new connection before its first request arrives.
TEST_CASE_METHOD(ListenerFixture, "Listener_CloseIdle_KeepsNewConnection")
{
  RunUntil([this] { return listener_.ConnectionCount() == 1; });
  listener_.CloseIdle();
  CHECK(listener_.ConnectionCount() == 1);
  CHECK(listener_.BusyCount() == 1);
  Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(MakeResponse(200, "x", "text/plain"));
  ReadUntil("x");
  listener_.CloseIdle();
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
}

TEST_CASE_METHOD(ListenerFixture,
                 "Listener_ConnectionWithoutRequest_IsClosedEventually")
{
  RunUntil([this] { return listener_.ConnectionCount() == 1; });
  RunUntil([this] {
    listener_.CloseIdle();
    return listener_.ConnectionCount() == 0;
  });
}

// Guards against responses that stay in memory for as long as a caller keeps
// its connection open without reading.
TEST_CASE_METHOD(
  ListenerFixture,
  "Listener_CallerReadsNothing_ResponseIsDroppedAfterIdleTimeout")
{
  constexpr std::size_t kBodyBytes = 8388608;
  ServerLimits limits;
  limits.idleTimeout_ = std::chrono::seconds(1);
  listener_.SetLimits(limits);
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  CHECK(listener_.UnsentBytes() > kBodyBytes / 4);
  RunUntil([this] { return listener_.ConnectionCount() == 0; });
  CHECK(listener_.UnsentBytes() == 0);
}

// Guards against cutting off a caller that reads slowly but steadily.
TEST_CASE_METHOD(ListenerFixture,
                 "Listener_CallerReadsSlowly_ReceivesTheWholeResponse")
{
  constexpr std::size_t kBodyBytes = 8388608;
  constexpr std::size_t kReads = 8;
  ServerLimits limits;
  limits.idleTimeout_ = std::chrono::milliseconds(1000);
  listener_.SetLimits(limits);
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  std::vector<char> part(kBodyBytes / kReads);
  std::size_t received = 0;
  while (received < kBodyBytes) {
    const auto resumeAt =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    RunUntil([&] { return std::chrono::steady_clock::now() >= resumeAt; });
    bool isRead = false;
    caller_.async_read_some(
      asio::buffer(part),
      [&](const boost::system::error_code& aError, std::size_t aBytes) {
        REQUIRE_FALSE(aError);
        received += aBytes;
        isRead = true;
      });
    RunUntil([&isRead] { return isRead; });
  }
  CHECK(listener_.ConnectionCount() == 1);
}

// Guards against handling an earlier request again in place of the next one,
// after requests were sent without waiting for their responses.
TEST_CASE_METHOD(ListenerFixture,
                 "Listener_RequestAfterPipelinedOnes_IsHandledOnce")
{
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    const std::string first = fmt::format("/{}/first", round);
    const std::string second = fmt::format("/{}/second", round);
    exchanges_.clear();
    Send(fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET {} HTTP/1.1\r\nHost: a\r\nX-Filler: {:x>200}\r\n\r\n",
                     first,
                     second,
                     ""));
    RunUntil([this] { return exchanges_.size() == 1; });
    CHECK(TargetOf(exchanges_[0]->GetRequest()) == first);
    exchanges_[0]->Respond(MakeResponse(200, first));
    RunUntil([this] { return exchanges_.size() == 2; });
    CHECK(TargetOf(exchanges_[1]->GetRequest()) == second);
    exchanges_[1]->Respond(MakeResponse(200, second));
    ReadUntil(second);
  }
}

// Guards against cutting callers that take nothing for a few seconds, but are
// there, while they read a large response.
TEST_CASE_METHOD(ListenerFixture, "Listener_CallerPausesReading_GetsAll")
{
  // Longer than the kernel waits for a peer that this host connected to.
  constexpr std::chrono::milliseconds kPause{ 4000 };
  constexpr std::size_t kBytes = 8'000'000;
  caller_.set_option(boost::asio::socket_base::receive_buffer_size(16'384));
  Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RunUntil([this] { return !exchanges_.empty(); });
  exchanges_.front()->Respond(
    MakeResponse(kStatusOk, std::string(kBytes, 'x')));
  const auto end = std::chrono::steady_clock::now() + kPause;
  RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  ReadUntilClosed();
  CHECK(received_.size() > kBytes);
}

} // namespace pumiceturn::httpstream
