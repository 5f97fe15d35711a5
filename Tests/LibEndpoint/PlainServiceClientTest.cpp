#include "LibEndpoint/PlainServiceClient.h"

#include "LibStandin/PlainServiceStandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

namespace pumiceturn::endpoint {

namespace {

using base::Ran;
using base::ResultCode;
using standin::PlainServiceStandin;

constexpr base::Duration kDefaultTimeout{ std::chrono::seconds{ 20 } };

struct PlainServiceFixture
{
  PlainServiceFixture()
  {
    auto started = base::Capture([] { return PlainServiceStandin::Start({}); });
    service_ = std::get<0>(std::move(started));
    auto made = base::Capture([&] {
      return PlainServiceClient::Make(
        { .address_ = "127.0.0.1:" + std::to_string(service_->Port()) });
    });
    client_ = std::get<0>(std::move(made));
  }

  [[nodiscard]] PlainCallEnd Call(
    base::Duration aTimeout = kDefaultTimeout) const
  {
    return client_->Call("payload", "key-1", aTimeout);
  }

  std::unique_ptr<PlainServiceStandin> service_;
  std::optional<PlainServiceClient> client_;
};

/// A service whose process ends with its first response, which has no length.
class DyingServiceFixture
{
protected:
  using Tcp = boost::asio::ip::tcp;

  ~DyingServiceFixture() { thread_.join(); }

  void Serve(const std::string& aResponse)
  {
    thread_ = std::thread([this, aResponse] {
      Tcp::socket socket = acceptor_.accept();
      std::string request;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "payload");
      acceptor_.close();
      boost::asio::write(socket, boost::asio::buffer(aResponse));
      socket.shutdown(Tcp::socket::shutdown_send);
    });
  }

  [[nodiscard]] PlainCallEnd Call() const
  {
    auto made = base::Capture([&] {
      return PlainServiceClient::Make(
        { .address_ =
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) });
    });
    return std::get<0>(std::move(made))
      .Call("payload", "key-1", kDefaultTimeout);
  }

private:
  boost::asio::io_context context_;
  Tcp::acceptor acceptor_{
    context_,
    Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)
  };
  std::thread thread_;
};

} // namespace

TEST_CASE_METHOD(PlainServiceFixture, "PlainCall_ServiceResponds_IsOkAndRan")
{
  const PlainCallEnd end = Call();
  CHECK(end.code_ == ResultCode::Ok);
  CHECK(end.ran_ == Ran::Ran);
  CHECK(end.body_.find("\"count\":1") != std::string::npos);
  CHECK(client_->IsHealthy());
}

TEST_CASE_METHOD(PlainServiceFixture,
                 "PlainCall_ResponseLost_IsUnknownAndRanOnce")
{
  // Guards against executing a call twice when its response is lost.
  service_->SetFaults({ .loseAnswers_ = 1 });
  const PlainCallEnd end = Call();
  CHECK(end.code_ == ResultCode::EndpointCrashed);
  CHECK(end.ran_ == Ran::Unknown);
  CHECK(service_->CountOf("key-1") == 1);
}

// Guards against a body that counts as whole though the service ended within
// it.
TEST_CASE_METHOD(DyingServiceFixture,
                 "PlainCall_ServiceEndsWithinBody_IsUnknown")
{
  Serve("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the body");
  const PlainCallEnd end = Call();
  CHECK(end.code_ == ResultCode::EndpointCrashed);
  CHECK(end.ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(PlainServiceFixture, "PlainCall_NoResponseInTime_IsUnknown")
{
  service_->SetFaults({ .slow_ = std::chrono::hours{ 1 } });
  const PlainCallEnd end = Call(std::chrono::milliseconds{ 30 });
  CHECK(end.code_ == ResultCode::TimedOut);
  CHECK(end.ran_ == Ran::Unknown);
  while (service_->CountOf("key-1") == 0) {
    std::this_thread::yield();
  }
}

TEST_CASE_METHOD(PlainServiceFixture, "PlainCall_AfterServiceCrash_IsNotRun")
{
  service_->SetFaults(
    { .crashCalls_ = 1, .crashRestart_ = std::chrono::hours{ 1 } });
  CHECK(Call().ran_ == Ran::Unknown);
  const PlainCallEnd refused = Call();
  CHECK(refused.code_ == ResultCode::NoEndpoint);
  CHECK(refused.ran_ == Ran::NotRun);
  CHECK(service_->CountOf("key-1") == 1);
}

} // namespace pumiceturn::endpoint
