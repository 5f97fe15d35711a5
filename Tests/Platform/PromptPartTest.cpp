#include "LibBase/Base64.h"
#include "LibFleet/CrashAttribution.h"
#include "LibHttpStream/Status.h"
#include "Tests/Platform/PromptPartFixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace pumiceturn::adapter {

using namespace std::chrono_literals;

/// Later than kContactTime after the crash number kMaxCrashes, this many
/// requests with a part may still reach endpoints.
constexpr std::size_t kMaxLateSends = 3;

// Guards against requests that have one part of their prompts in common, and
// nothing else, and crash endpoints one after the other.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesEndpoints_ReachesNoMoreOfThem")
{
  StartFleet(3, 12);
  Run({}, 7s);
  Settle();
  INFO(CrashCount() << " endpoints crashed");
  CHECK(CrashCount() > 0);
  CHECK(LateSends("bad") <= kMaxLateSends);
}

// Guards against crashes that aren't counted, as they come after the first
// events of a stream.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesAfterEvents_ReachesNoMoreOfThem")
{
  StartFleet(3, 12);
  Traffic traffic;
  traffic.eventsBeforeCrash_ = 2;
  traffic.crashDelay_ = 180ms;
  Run(traffic, 7s);
  Settle();
  INFO(CrashCount() << " endpoints crashed");
  CHECK(LateSends("bad") <= kMaxLateSends);
}

// Guards against sound requests that are refused or broken off, as they share
// their other parts with requests that crash endpoints.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesEndpoints_OthersAreServed")
{
  StartFleet(3, 12);
  Run({}, 3s);
  const auto since = Clock::now();
  Run({}, 4s);
  Settle();
  CHECK(ServedShare(since) >= 0.9);
}

// Guards against requests that wait, or promise nothing, though it is known
// that they can't be served.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_IsRefused_CallerIsToldWhenToComeBack")
{
  StartFleet(2, 8);
  Run({}, 3s);
  Settle();
  const std::size_t sends = Sends("bad");
  for (const std::size_t host : { 0U, 1U }) {
    const CallerCall& call = SendBadAndWait(host);
    CHECK(call.status_ == httpstream::kStatusUnavailable);
    CHECK(std::stod(call.retryAfter_) >= 1.0);
  }
  CHECK(Sends("bad") == sends);
}

// Guards against a host that starts later and sends such requests on.
TEST_CASE_METHOD(PromptPartFixture, "PromptPart_HostStartsLater_RefusesItToo")
{
  StartFleet(2, 8);
  Run({}, 3s);
  Settle();
  const std::size_t sends = Sends("bad");
  StartReadyHost("entry-3");
  CHECK(SendBadAndWait(2).status_ == httpstream::kStatusUnavailable);
  CHECK(Sends("bad") == sends);
}

// Guards against a part that crashes endpoints anew after all hosts have ended.
TEST_CASE_METHOD(PromptPartFixture, "PromptPart_AllHostsRestart_RefuseItStill")
{
  StartFleet(2, 8);
  Run({}, 3s);
  Settle();
  RunUntil([this] {
    return store_.Get("pumiceturn/refused/features").find("feature") !=
           std::string::npos;
  });
  const std::size_t sends = Sends("bad");
  hosts_.clear();
  incarnation_ = "2";
  StartReadyHost("entry-1");
  CHECK(SendBadAndWait(0).status_ == httpstream::kStatusUnavailable);
  CHECK(Sends("bad") == sends);
}

// Guards against operators who can't see or end a refusal.
TEST_CASE_METHOD(PromptPartFixture, "PromptPart_OperatorLifts_IsServedAgain")
{
  StartFleet(2, 8);
  Run({}, 3s);
  Settle();
  const auto operate = [this](std::size_t aHost,
                              const std::string& aMethod,
                              const std::string& aPath) {
    return SendToAndWait(Loopback(hosts_[aHost]->metricsPort_), aMethod, aPath);
  };
  const nlohmann::json page =
    nlohmann::json::parse(operate(0, "GET", "/refused-features")->body_);
  REQUIRE(page["verdicts"].size() == 1);
  CHECK(page["verdicts"][0]["state"] == "refused");
  RepairServers();
  CHECK(operate(0, "DELETE", "/refused-features/123")->status_ == 404);
  const std::string feature = page["verdicts"][0]["feature"];
  CHECK(operate(0, "DELETE", "/refused-features/" + feature)->status_ == 200);
  for (const std::size_t host : { 0U, 1U }) {
    RunUntil([&] { return SendBadAndWait(host).body_ == WholeStream(); });
  }
}

/// @return the trials of items with one refused part that may begin in a time.
static std::size_t
MaxBatchTrials(base::Duration aTime)
{
  using Crashes = fleet::CrashAttribution;
  std::size_t trials = 0;
  base::Duration pause = Crashes::kFirstBatchTrialPause;
  for (base::Duration at = pause; at <= aTime; at += pause) {
    ++trials;
    pause = std::min(pause * 2, Crashes::kMaxBatchTrialPause);
  }
  return trials;
}

// Guards against items that crash endpoints in turn, and against other items of
// their job that wait for them.
TEST_CASE_METHOD(PromptPartFixture, "PromptPart_OfItems_OtherItemsAreCompleted")
{
  StartFleet(2, 12);
  Run({ "bad", 1h }, 1s);
  nlohmann::json items = nlohmann::json::array();
  constexpr int kItems = 16;
  for (int item = 0; item < kItems; ++item) {
    const std::string part = item % 2 == 0 ? "bad" : "common";
    items.push_back(
      { { "id", fmt::format("item-{}", item) },
        { "path", "/lots/1" },
        { "headers",
          { { "Prompt-Prefix",
              fmt::format("shared:9,{}:9,own-{}:9", part, item) } } },
        { "body", base::EncodeBase64(fmt::format("prompt {}", item)) },
        { "tokens", 9 } });
  }
  const auto submittedAt = Clock::now();
  CHECK(SendAndWait(*hosts_[0],
                    "POST",
                    "/lots/1",
                    "Attempt-Id: job\r\n",
                    nlohmann::json{ { "items", items } }.dump())
          ->status_ == 202);
  RunUntil([&] {
    const auto page = SendAndWait(*hosts_[1], "GET", "/api/lots/job?after=0");
    return page->status_ == 200 &&
           nlohmann::json::parse(page->body_)["results"].size() == kItems / 2;
  });
  Run({ "bad", 1h }, 3s);
  Settle();
  INFO(CrashCount() << " endpoints crashed");
  // Each item once, as they may start at the same time, one that decides, and
  // then trials: items are owed.
  const auto passed =
    std::chrono::duration_cast<base::Duration>(Clock::now() - submittedAt);
  CHECK(CrashCount() <= kItems / 2 + 1 + MaxBatchTrials(passed));
}

} // namespace pumiceturn::adapter
