#include "LibHttp/StatusServer.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <atomic>

namespace pumiceturn::http {

namespace {

using Server = std::unique_ptr<StatusServer>;

class StatusServerFixture
{
protected:
  base::Outcome<Server> Start(const std::string& aAddress)
  {
    return base::Capture([&] {
      return StatusServer::Start(aAddress,
                                 { [] { return std::string("runs 1\n"); },
                                   [] { return true; },
                                   [this] { return ready_.load(); } });
    });
  }

  std::atomic<bool> ready_{ false };
};

} // namespace

TEST_CASE_METHOD(StatusServerFixture, "StatusServer_Pages_ShowTheCallbacks")
{
  auto started = Start("127.0.0.1:0");
  REQUIRE(std::holds_alternative<Server>(started));
  httplib::Client client("127.0.0.1", std::get<Server>(started)->Port());
  CHECK(client.Get("/metrics")->body == "runs 1\n");
  CHECK(client.Get("/healthz")->status == 200);
  CHECK(client.Get("/readyz")->status == 503);
  ready_ = true;
  CHECK(client.Get("/readyz")->status == 200);
  CHECK(client.Get("/other")->status == 404);
}

TEST_CASE_METHOD(StatusServerFixture, "StatusServer_PortTaken_IsRefused")
{
  auto first = Start("127.0.0.1:0");
  REQUIRE(std::holds_alternative<Server>(first));
  const auto port = std::get<Server>(first)->Port();
  const auto second = Start("127.0.0.1:" + std::to_string(port));
  REQUIRE(std::holds_alternative<base::Failure>(second));
  CHECK(std::get<base::Failure>(second).code_ == base::ResultCode::InputOutput);
}

TEST_CASE_METHOD(StatusServerFixture, "StatusServer_HostName_IsRefused")
{
  const auto started = Start("localhost:80");
  REQUIRE(std::holds_alternative<base::Failure>(started));
  CHECK(std::get<base::Failure>(started).code_ == base::ResultCode::OutOfRange);
}

} // namespace pumiceturn::http
