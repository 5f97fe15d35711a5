#include "LibEndpoint/PlainServiceClient.h"

#include "LibStandin/PlainServiceStandin.h"

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
