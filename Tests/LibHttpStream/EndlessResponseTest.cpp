#include "LibHttpStream/HttpClient.h"
#include "Tests/EndlessServer.h"
#include "Tests/LibHttpStream/HttpFixture.h"

#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::httpstream {

using namespace std::chrono_literals;

/// Waits on for silent servers, as there is no other.
class PatientObserver : public RecordingObserver
{
public:
  SilenceDecision OnSilence(const Silence& /*aSilence*/) override
  {
    return SilenceDecision::KeepWaiting;
  }
};

/// A server that answers without end, and calls to it.
class EndlessResponseFixture : protected HttpFixture
{
protected:
  using Clock = std::chrono::steady_clock;

  /// What the kernel's buffers may hold beyond what was read.
  static constexpr std::size_t kSocketBufferBytes = 16ULL * 1024 * 1024;

  static const std::vector<EndlessAnswer>& Floods()
  {
    static const std::vector<EndlessAnswer> kAnswers = {
      { "no HTTP", "", "garbage " },
      { "header line", "HTTP/1.1 200 OK\r\nX-A: ", "aaaa" },
      { "headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
      { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
      { "body of 2^63 bytes",
        "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n",
        "body" },
      { "chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "5\r\nhello\r\n" },
      { "chunk extension",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        "aaaa" },
      { "trailer",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-A: b\r\n" },
      { "body until the end", "HTTP/1.1 200 OK\r\n\r\n", "body" },
      { "answers to another call",
        "",
        "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok" },
    };
    return kAnswers;
  }

  /// @return the outcome of a call.
  CallOutcome Call(const EndlessServer& aServer)
  {
    auto connection =
      std::make_shared<ClientConnection>(context_.get_executor());
    bool isConnected = false;
    connection->Connect(
      Loopback(aServer.Port()), 5s, [&](bool aIs) { isConnected = aIs; });
    RunUntil([&] { return isConnected; });
    PatientObserver observer;
    struct Call call;
    call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    call.echoField_ = "X-Id";
    call.echoValue_ = "own";
    call.firstByteTimeout_ = 1s;
    call.gapTimeout_ = 1s;
    connection->Start(std::move(call), observer);
    RunUntil([&] { return observer.outcome_.has_value(); });
    CHECK_FALSE(connection->IsReusable());
    return *observer.outcome_;
  }

  void CheckIsClosed(const EndlessServer& aServer)
  {
    RunUntil([&] { return aServer.OpenCount() == 0; });
    CHECK(aServer.RequestCount() == 1);
  }
};

// Guards against a server that sends without end, and takes up the memory and
// the processor time of this process until its caller's deadline.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "EndlessResponse_BytesWithoutEnd_CallEndsAsMalformed")
{
  for (const EndlessAnswer& answer : Floods()) {
    INFO(answer.name_);
    const EndlessServer server(context_, answer);
    const auto start = Clock::now();
    CHECK(Call(server) == CallOutcome::Malformed);
    CHECK(Clock::now() - start < 5s);
    CheckIsClosed(server);
    // Chunks of a few bytes take as many for their framing.
    CHECK(server.SentBytes() <
          2 * ResponseLimits{}.maxBodyBytes_ + kSocketBufferBytes);
  }
}

// Guards against a server whose bytes come one by one, each of which restarts
// the timeout for the next.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "EndlessResponse_HeadByteByByte_CallEnds")
{
  const EndlessServer server(context_,
                             { "head", "HTTP/1.1 200 OK\r\nX-A: ", "a", 50ms });
  const auto start = Clock::now();
  CHECK(Call(server) == CallOutcome::Malformed);
  CHECK(Clock::now() - start < 8s);
  CheckIsClosed(server);
}

// Guards against a store or a peer that answers without end: its calls are
// buffered as a whole.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "EndlessResponse_ToBufferedCall_CallEndsAsMalformed")
{
  for (const EndlessAnswer& answer : Floods()) {
    INFO(answer.name_);
    if (answer.name_ == "answers to another call") {
      // Buffered calls have no ids.
      continue;
    }
    const EndlessServer server(context_, answer);
    HttpClient client(context_.get_executor(), Loopback(server.Port()));
    Request request(boost::beast::http::verb::get, "/", 11);
    std::optional<CallResult> result;
    client.Send(
      request, 2s, [&](CallResult aResult) { result = std::move(aResult); });
    RunUntil([&] { return result.has_value(); });
    CHECK(result->outcome_ == CallOutcome::Malformed);
    CheckIsClosed(server);
    CHECK(result->body_.size() <= 8ULL * 1024 * 1024);
  }
}

} // namespace pumiceturn::httpstream
