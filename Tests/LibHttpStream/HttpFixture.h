#pragma once

#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace pumiceturn::httpstream {

/// Records the response of one call.
class RecordingObserver : public CallObserver
{
public:
  void OnHead(const ResponseHead& aHead) override
  {
    status_ = aHead.result_int();
    echoed_ = ValueOf(aHead, "X-Id");
  }
  void OnBody(std::string_view aBytes) override { body_.append(aBytes); }
  void OnEnd(CallOutcome aOutcome) override { outcome_ = aOutcome; }

  unsigned status_ = 0;
  std::string echoed_;
  std::string body_;
  std::optional<CallOutcome> outcome_;
};

/// Runs an event loop until a condition holds.
class HttpFixture
{
protected:
  template<typename Predicate>
  void RunUntil(Predicate&& aPredicate)
  {
    // Stops a test that hangs; the result doesn't depend on it.
    constexpr std::chrono::seconds kHangTimeout{ 30 };
    const auto end = std::chrono::steady_clock::now() + kHangTimeout;
    while (!aPredicate() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds(20));
      context_.restart();
    }
    REQUIRE(aPredicate());
  }

  static boost::asio::ip::tcp::endpoint Loopback(std::uint16_t aPort)
  {
    return { boost::asio::ip::address_v4::loopback(), aPort };
  }

  boost::asio::io_context context_;
};

} // namespace pumiceturn::httpstream
