#include "LibGateway/ProcessQuery.h"
#include "Tests/Platform/CallingFixture.h"
#include "platform/RequestCodec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server that answers the first request with given bytes.
class ProcessQueryFixture : protected CallingFixture
{
protected:
  /// What the process does after it has sent its answer.
  enum class AfterAnswer : std::uint8_t
  {
    KeepConnection,
    EndConnection,
  };

  gateway::ProcessAnswer Ask(
    const std::string& aAnswer,
    AfterAnswer aAfterAnswer = AfterAnswer::KeepConnection)
  {
    tcp::acceptor acceptor(context_, Loopback(0));
    tcp::socket server(context_);
    std::string input;
    acceptor.async_accept(server, [&](const boost::system::error_code&) {
      asio::async_read_until(
        server,
        asio::dynamic_buffer(input),
        "\r\n\r\n",
        [&](const boost::system::error_code&, std::size_t) {
          asio::write(server, asio::buffer(aAnswer));
          if (aAfterAnswer == AfterAnswer::EndConnection) {
            server.close();
          }
        });
    });
    std::optional<gateway::ProcessAnswer> answer;
    gateway::ProcessQuery query(
      codec_,
      [](const httpstream::Silence&) {
        return httpstream::SilenceDecision::EndCall;
      },
      [&answer](const gateway::ProcessAnswer& aResult) { answer = aResult; });
    const auto connection =
      std::make_shared<httpstream::ClientConnection>(context_.get_executor());
    connection->Connect(
      acceptor.local_endpoint(), std::chrono::seconds(5), [&](bool aIsOpen) {
        REQUIRE(aIsOpen);
        query.Start(*connection, "i-1", "127.0.0.1:1", std::chrono::seconds(5));
      });
    RunUntil([&answer] { return answer.has_value(); });
    connection->Cancel();
    return *answer;
  }

  RequestCodec codec_;
};

// Guards against taking a late copy of an earlier response for the report, and
// the report for the response to the next request.
TEST_CASE_METHOD(ProcessQueryFixture,
                 "ProcessQuery_LateCopyOfResponseComesFirst_ReportIsRead")
{
  const auto answer =
    Ask("HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 2\r\n\r\nab"
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":7}");
  const auto* start = std::get_if<gateway::ProcessStart>(&answer);
  REQUIRE(start != nullptr);
  CHECK(start->startedAtMs_ == 7);
}

// Guards against taking the report of a process that ends within it for one
// without a start: the next process would then not be asked.
TEST_CASE_METHOD(ProcessQueryFixture,
                 "ProcessIdentity_UnframedReportIsCut_HasNotBeenAnswered")
{
  CHECK(std::holds_alternative<gateway::ProcessQueryFailed>(Ask(
    "HTTP/1.1 200 OK\r\n\r\n{\"phase\":\"colo", AfterAnswer::EndConnection)));
}

} // namespace pumiceturn::adapter
