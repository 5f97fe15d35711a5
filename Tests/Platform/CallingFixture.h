#pragma once

#include "Tests/Platform/CallerCall.h"
#include "Tests/Platform/StandinText.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pumiceturn::adapter {

/// Sends HTTP calls over loopback in an event loop.
class CallingFixture
{
protected:
  /// Runs the event loop until the predicate holds; fails the test if that
  /// takes too long.
  template<typename Predicate>
  void RunUntil(Predicate&& aPredicate)
  {
    // Ends a test that hangs; no result depends on this timeout.
    constexpr std::chrono::seconds kTimeout{ 90 };
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!aPredicate() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds(20));
      context_.restart();
    }
    REQUIRE(aPredicate());
  }

  /// Sends a call without waiting; use RunUntil() with HasEnded().
  std::unique_ptr<CallerCall> SendTo(
    const boost::asio::ip::tcp::endpoint& aAddress,
    const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aFields,
    const std::string& aBody)
  {
    auto call = std::make_unique<CallerCall>();
    call->connection_ =
      std::make_shared<httpstream::ClientConnection>(context_.get_executor());
    const std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}"
                                          "Content-Length: {}\r\n\r\n{}",
                                          aMethod,
                                          aTarget,
                                          hostField_,
                                          aFields,
                                          aBody.size(),
                                          aBody);
    call->connection_->Connect(
      aAddress,
      std::chrono::seconds(10),
      [observer = call.get(), bytes](bool aIsConnected) {
        if (!aIsConnected) {
          observer->OnEnd(httpstream::CallOutcome::NotConnected);
          return;
        }
        httpstream::Call sentCall;
        sentCall.bytes_ = bytes;
        observer->connection_->Start(std::move(sentCall), *observer);
      });
    return call;
  }

  /// Sends a call and waits until it ends.
  std::unique_ptr<CallerCall> SendToAndWait(
    const boost::asio::ip::tcp::endpoint& aAddress,
    const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aFields = {},
    const std::string& aBody = {})
  {
    auto call = SendTo(aAddress, aMethod, aTarget, aFields, aBody);
    RunUntil([&call] { return call->HasEnded(); });
    return call;
  }

  static boost::asio::ip::tcp::endpoint Loopback(std::uint16_t aPort)
  {
    return { boost::asio::ip::address_v4::loopback(), aPort };
  }

  boost::asio::io_context context_;
  std::string hostField_ = "a.example"; ///< Of the calls.
};

} // namespace pumiceturn::adapter
