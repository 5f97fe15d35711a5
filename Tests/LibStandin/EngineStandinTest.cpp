#include "LibStandin/EngineStandin.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

struct EngineHttpFixture
{
  EngineHttpFixture()
  {
    auto started = base::Capture([] { return EngineStandin::Start({}); });
    engine_ = std::get<0>(std::move(started));
    client_ = std::make_unique<httplib::Client>("127.0.0.1", engine_->Port());
  }

  int StatusOf(const std::string& aPath, const std::string& aBody)
  {
    const auto result = client_->Post(aPath, aBody, "application/json");
    return result ? result->status : 0;
  }

  std::unique_ptr<EngineStandin> engine_;
  std::unique_ptr<httplib::Client> client_;
};

} // namespace

TEST_CASE_METHOD(EngineHttpFixture, "EngineStandin_MalformedCall_IsRefused")
{
  for (const char* body : { "{",
                            "[]",
                            R"({"stream":true})",
                            R"({"stream":true,"prompt":3})",
                            R"({"prompt":"x"})" }) {
    CHECK(StatusOf("/v1/completions", body) == 400);
  }
  CHECK(StatusOf("/v1/orders", R"({"kind":"dance","name":"x","fence":1})") ==
        400);
  CHECK(StatusOf("/v1/kv/export", "{}") == 501);
  CHECK(engine_->Stats().submitted_ == 0);
}

TEST_CASE_METHOD(EngineHttpFixture, "EngineStandin_FaultsByHttp_TakeHold")
{
  CHECK(StatusOf("/standin/faults",
                 R"({"reject_completions":true,"load_lag_ms":70,
                     "event_delay_ms":80,"event_lose_one_of":3,
                     "ignore_fence":true,"slow_factor":2.5})") == 200);
  const EngineFaults faults = engine_->Faults();
  CHECK(faults.rejectCompletions_);
  CHECK(faults.ignoreFence_);
  CHECK(faults.loadLag_ == std::chrono::milliseconds{ 70 });
  CHECK(faults.eventDelay_ == std::chrono::milliseconds{ 80 });
  CHECK(faults.loseOneOf_ == 3);
  CHECK(faults.slowFactor_ == 2.5);
  CHECK(StatusOf("/standin/faults", R"({"slow_factor":"x"})") == 400);
  CHECK(StatusOf("/standin/faults", R"({"slo_factor":1})") == 400);
  CHECK(engine_->Faults().slowFactor_ == 2.5);
  CHECK(StatusOf("/v1/completions", R"({"stream":true,"prompt":"x"})") == 503);
}

TEST_CASE_METHOD(EngineHttpFixture, "EngineStandin_CrashByHttp_RefusesForATime")
{
  CHECK(StatusOf("/standin/faults", R"({"crash_restart_ms":3600000})") == 200);
  CHECK(StatusOf("/standin/faults", R"({"crash":true})") == 0);
  const auto refused = client_->Get("/healthz");
  CHECK(refused.error() == httplib::Error::Connection);
  CHECK(engine_->Stats().crashes_ == 1);
}

TEST_CASE("EngineStandin_StoppedRightAfterStart_Ends")
{
  // A stop that came before the server's accept loop once waited for that loop
  // while it kept the loop from beginning: the process hung.
  for (int round = 0; round < 200; ++round) {
    auto started = base::Capture([] { return EngineStandin::Start({}); });
    std::get<0>(started)->Stop();
  }
  SUCCEED("every stand-in ended");
}

} // namespace pumiceturn::standin
