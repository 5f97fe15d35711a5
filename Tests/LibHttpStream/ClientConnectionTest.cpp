#include "LibHttpStream/ConnectionPool.h"
#include "Tests/LibHttpStream/HttpFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <thread>
#include <vector>

namespace pumiceturn::httpstream {

namespace asio = boost::asio;

/// A server that sends scripted bytes after each request.
class ClientConnectionFixture : protected HttpFixture
{
protected:
  ClientConnectionFixture()
    : acceptor_(context_, Loopback(0))
    , server_(context_)
    , pool_(context_.get_executor())
  {
  }

  /// Reads one request and sends bytes, then closes the connection if aCloses.
  void Serve(const std::string& aBytes, bool aCloses)
  {
    const auto respond = [this, aBytes, aCloses] {
      asio::async_read_until(
        server_,
        input_,
        "\r\n\r\n",
        [this, aBytes, aCloses](const boost::system::error_code&,
                                std::size_t aRead) {
          input_.consume(aRead);
          asio::write(server_, asio::buffer(aBytes));
          if (aCloses) {
            server_.close();
          }
        });
    };
    if (server_.is_open()) {
      respond();
      return;
    }
    acceptor_.async_accept(
      server_, [respond](const boost::system::error_code&) { respond(); });
  }

  std::shared_ptr<ClientConnection> Connect()
  {
    std::shared_ptr<ClientConnection> result;
    bool done = false;
    pool_.Acquire("server",
                  Loopback(acceptor_.local_endpoint().port()),
                  std::chrono::seconds(5),
                  [&](std::shared_ptr<ClientConnection> aConnection) {
                    result = std::move(aConnection);
                    done = true;
                  });
    RunUntil([&done] { return done; });
    return result;
  }

  RecordingObserver SendRequest(
    const std::shared_ptr<ClientConnection>& aConnection,
    const std::string& aId)
  {
    RecordingObserver observer;
    Call call;
    call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    call.echoField_ = "X-Id";
    call.echoValue_ = aId;
    aConnection->Start(std::move(call), observer);
    RunUntil([&observer] { return observer.outcome_.has_value(); });
    return observer;
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket server_;
  asio::streambuf input_;
  ConnectionPool pool_;
};

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_CompleteResponse_IsReusable")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 2\r\n\r\nhi",
        false);
  const auto connection = Connect();
  REQUIRE(connection);
  const RecordingObserver response = SendRequest(connection, "1");
  CHECK(response.outcome_ == CallOutcome::Complete);
  CHECK(response.body_ == "hi");
  CHECK(connection->IsReusable());
}

// Guards against a crash from calling an empty callback when a connection is
// refused.
TEST_CASE_METHOD(ClientConnectionFixture, "ClientConnection_Refused_IsReported")
{
  acceptor_.close();
  asio::ip::tcp::acceptor unused(context_, Loopback(0));
  const auto port = unused.local_endpoint().port();
  unused.close();
  bool done = false;
  bool isConnected = true;
  pool_.Acquire("server",
                Loopback(port),
                std::chrono::seconds(5),
                [&](const std::shared_ptr<ClientConnection>& aConnection) {
                  isConnected = aConnection != nullptr;
                  done = true;
                });
  RunUntil([&done] { return done; });
  CHECK_FALSE(isConnected);
}

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_ChunkedResponseCutOff_IsBroken")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nhi\r\n",
        true);
  const RecordingObserver response = SendRequest(Connect(), "1");
  CHECK(response.body_ == "hi");
  CHECK(response.outcome_ == CallOutcome::Broken);
}

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_ResponseWithoutLength_EndsWithConnection")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhi", true);
  const auto connection = Connect();
  const RecordingObserver response = SendRequest(connection, "1");
  CHECK(response.body_ == "hi");
  CHECK(response.outcome_ == CallOutcome::Complete);
  CHECK_FALSE(connection->IsReusable());
}

// Guards against a part of a body that looks whole: its server answers before
// it has read a long request, and resets the connection. Which of the pending
// write and read gets the reset's error is up to the kernel.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_ResetDuringUpload_IsBroken")
{
  constexpr int kRounds = 20;
  constexpr std::size_t kUploadBytes = 32ULL * 1024 * 1024;
  for (int round = 0; round < kRounds; ++round) {
    Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart", true);
    const auto connection = Connect();
    RecordingObserver observer;
    Call call;
    call.bytes_ = fmt::format(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", kUploadBytes);
    call.bytes_.append(kUploadBytes, 'u');
    call.echoField_ = "X-Id";
    call.echoValue_ = "1";
    connection->Start(std::move(call), observer);
    RunUntil([&observer] { return observer.outcome_.has_value(); });
    CHECK(observer.outcome_ == CallOutcome::Broken);
  }
}

// Guards against a response with a status that isn't one: it must neither be
// passed on nor be taken for an interim response.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_StatusIsNoStatus_IsMalformed")
{
  const std::string status = GENERATE("000", "001", "099");
  const std::string framing = GENERATE("", "Content-Length: 2\r\n");
  Serve(
    fmt::format("HTTP/1.1 {} Trouble\r\nX-Id: 1\r\n{}\r\nhi", status, framing),
    true);
  const RecordingObserver response = SendRequest(Connect(), "1");
  CHECK(response.outcome_ == CallOutcome::Malformed);
  CHECK(response.body_.empty());
}

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_MalformedResponse_IsReported")
{
  Serve("nonsense\r\n\r\n", false);
  CHECK(SendRequest(Connect(), "1").outcome_ == CallOutcome::Malformed);
}

// Guards against passing a late duplicate response to the next caller.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_ResponseToEarlierCall_IsSkipped")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nnew",
        false);
  const RecordingObserver response = SendRequest(Connect(), "2");
  CHECK(response.outcome_ == CallOutcome::Complete);
  CHECK(response.echoed_ == "2");
  CHECK(response.body_ == "new");
}

// Guards against passing a late copy of a response to a request without an id
// to the next caller: like the request, it has none.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_CopyOfUnnamedResponse_IsSkipped")
{
  const std::string unnamed = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
                              "Content-Length: 3\r\n\r\nold";
  Serve(unnamed, false);
  const auto connection = Connect();
  REQUIRE(SendRequest(connection, "").body_ == "old");
  Serve(unnamed + "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nnew",
        false);
  CHECK(SendRequest(connection, "2").body_ == "new");
}

// Guards against passing bytes that a faulty server sends late, in the form of
// a success, to the next caller as the response.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_SurplusSuccessComesLate_IsSkipped")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 2\r\n\r\nhi",
        false);
  const auto connection = Connect();
  REQUIRE(SendRequest(connection, "1").body_ == "hi");
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"
        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nnew",
        false);
  CHECK(SendRequest(connection, "2").body_ == "new");
}

// Guards against waiting for a response that a server without names has sent.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_ServerNamesNoCalls_ResponsesAreAccepted")
{
  const std::string unnamed = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
                              "Content-Length: 2\r\n\r\nhi";
  Serve(unnamed, false);
  const auto connection = Connect();
  REQUIRE(SendRequest(connection, "1").body_ == "hi");
  Serve(unnamed, false);
  CHECK(SendRequest(connection, "2").body_ == "hi");
}

// Guards against sending a request on a connection whose late responses can't
// be told from its own.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_SameIdAgain_IsKnown")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 2\r\n\r\nhi",
        false);
  const auto connection = Connect();
  CHECK_FALSE(connection->HasCarried("1"));
  REQUIRE(SendRequest(connection, "1").outcome_ == CallOutcome::Complete);
  CHECK(connection->HasCarried("1"));
  CHECK_FALSE(connection->HasCarried("2"));
}

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_SurplusBytes_PreventReuse")
{
  Serve("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
        false);
  const auto connection = Connect();
  CHECK(SendRequest(connection, "1").body_ == "hi");
  CHECK_FALSE(connection->IsReusable());
}

TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_NoResponse_TimesOut")
{
  Serve("", false);
  const auto connection = Connect();
  RecordingObserver observer;
  Call call;
  call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  call.firstByteTimeout_ = std::chrono::milliseconds(50);
  connection->Start(std::move(call), observer);
  RunUntil([&observer] { return observer.outcome_.has_value(); });
  CHECK(observer.outcome_ == CallOutcome::TimedOut);
}

// Guards against taking this process's own pause for the silence of all
// servers: after it, timers expire before all sockets with bytes have been
// read.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_OwnProcessPauses_ArrivedBytesAreRead")
{
  // More sockets than the event loop handles before it looks at timers.
  constexpr std::size_t kConnections = 400;
  std::vector<std::shared_ptr<ClientConnection>> clients;
  std::vector<asio::ip::tcp::socket> servers;
  std::vector<RecordingObserver> observers(kConnections);
  for (std::size_t index = 0; index < kConnections; ++index) {
    clients.push_back(
      std::make_shared<ClientConnection>(context_.get_executor()));
    bool isConnected = false;
    clients.back()->Connect(
      Loopback(acceptor_.local_endpoint().port()),
      std::chrono::seconds(5),
      [&](bool aIsConnected) { isConnected = aIsConnected; });
    servers.push_back(acceptor_.accept());
    RunUntil([&] { return isConnected; });
  }
  for (std::size_t index = 0; index < kConnections; ++index) {
    Call call;
    call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    call.firstByteTimeout_ = std::chrono::milliseconds(500);
    clients[index]->Start(std::move(call), observers[index]);
  }
  for (auto& server : servers) {
    asio::write(server,
                asio::buffer(std::string_view(
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  RunUntil([&] {
    return std::ranges::all_of(observers, [](const auto& aObserver) {
      return aObserver.outcome_.has_value();
    });
  });
  CHECK(std::ranges::all_of(observers, [](const auto& aObserver) {
    return aObserver.outcome_ == CallOutcome::Complete;
  }));
}

// Guards against ending a call on its server's silence while this process
// didn't run: the server's bytes may be on their way.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_OwnProcessPauses_WaitsAnew")
{
  auto client = std::make_shared<ClientConnection>(context_.get_executor());
  bool isConnected = false;
  client->Connect(Loopback(acceptor_.local_endpoint().port()),
                  std::chrono::seconds(5),
                  [&](bool aIsConnected) { isConnected = aIsConnected; });
  acceptor_.accept(server_);
  RunUntil([&] { return isConnected; });
  RecordingObserver observer;
  Call call;
  call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  call.firstByteTimeout_ = std::chrono::milliseconds(500);
  client->Start(std::move(call), observer);
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  asio::steady_timer timer(context_, std::chrono::milliseconds(100));
  timer.async_wait([this](const boost::system::error_code&) {
    asio::write(server_,
                asio::buffer(std::string_view(
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  });
  RunUntil([&observer] { return observer.outcome_.has_value(); });
  CHECK(observer.outcome_ == CallOutcome::Complete);
}

/// Pauses reading at the first byte of the body.
class PausingObserver : public RecordingObserver
{
public:
  explicit PausingObserver(ClientConnection& aConnection)
    : connection_(aConnection)
  {
  }
  void OnBody(std::string_view aBytes) override
  {
    RecordingObserver::OnBody(aBytes);
    connection_.SetPaused(true);
  }

private:
  ClientConnection& connection_;
};

// Guards against ending a call whose receiver is slow as if its server were
// silent.
TEST_CASE_METHOD(ClientConnectionFixture,
                 "ClientConnection_PausedByReceiver_DoesNotTimeOut")
{
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", false);
  const auto client = Connect();
  PausingObserver observer(*client);
  Call call;
  call.bytes_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  call.gapTimeout_ = std::chrono::milliseconds(100);
  client->Start(std::move(call), observer);
  RunUntil([&observer] { return !observer.body_.empty(); });
  asio::steady_timer timer(context_, std::chrono::milliseconds(400));
  bool hasExpired = false;
  timer.async_wait(
    [&](const boost::system::error_code&) { hasExpired = true; });
  RunUntil([&hasExpired] { return hasExpired; });
  CHECK_FALSE(observer.outcome_);
  client->Cancel();
}

} // namespace pumiceturn::httpstream
