#include "LibStandin/KeyValueStandin.h"

#include "LibPlatform/KeyValueClient.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// The system's own key-value client against the stand-in.
namespace pumiceturn::standin {

namespace {

using base::ResultCode;
using platform::KeyValueClient;

struct PlatformFixture
{
  PlatformFixture()
  {
    auto started = base::Capture([] { return KeyValueStandin::Start({}); });
    standin_ = std::get<0>(std::move(started));
    KeyValueClient::Options options;
    options.addresses_ = { "127.0.0.1:" + std::to_string(standin_->Port()) };
    options.callsPerSecond_ = 10000.0;
    client_ = KeyValueClient::Make(std::move(options));
  }

  ~PlatformFixture() { client_->Stop(); }

  ResultCode Swap(const std::string& aValue, std::uint64_t aExpected)
  {
    const auto outcome = base::Capture([&] {
      return client_->CompareAndSwap({ { "p/k", aValue, aExpected } });
    });
    const auto* failure = std::get_if<base::Failure>(&outcome);
    return failure == nullptr ? ResultCode::Ok : failure->code_;
  }

  std::string Read()
  {
    const auto outcome = base::Capture([&] { return client_->Get("p/k"); });
    const auto* entry = std::get_if<0>(&outcome);
    return entry == nullptr || !*entry ? "" : (*entry)->value_;
  }

  std::unique_ptr<KeyValueStandin> standin_;
  std::unique_ptr<KeyValueClient> client_;
};

} // namespace

TEST_CASE_METHOD(PlatformFixture,
                 "KeyValueClient_SwapsAndReads_AgreeWithStandin")
{
  CHECK(Swap("first", 0) == ResultCode::Ok);
  CHECK(Swap("second", 0) == ResultCode::PlatformConflict);
  CHECK(Read() == "first");
}

TEST_CASE_METHOD(PlatformFixture,
                 "KeyValueClient_LostAnswer_IsUnknownNotRefused")
{
  // An operator's change takes effect, but its answer is lost. Reported as a
  // refusal, it would be applied a second time.
  standin_->SetFaults({ .loseAnswers_ = 1 });
  CHECK(Swap("mine", 0) == ResultCode::PlatformOutcomeUnknown);
  CHECK(Read() == "mine");
}

TEST_CASE_METHOD(PlatformFixture, "KeyValueClient_Outage_IsUnavailable")
{
  standin_->SetFaults({ .outage_ = Outage::Error });
  const ResultCode code = Swap("x", 0);
  CHECK((code == ResultCode::PlatformUnavailable ||
         code == ResultCode::PlatformOutcomeUnknown));
  standin_->SetFaults({});
  CHECK(Read().empty());
}

TEST_CASE_METHOD(PlatformFixture,
                 "KeyValueClient_DroppedWatch_HearsLaterChanges")
{
  std::mutex mutex;
  std::vector<std::string> heard;
  const auto hasHeard = [&](const std::string& aValue) {
    const std::scoped_lock lock(mutex);
    return std::find(heard.begin(), heard.end(), aValue) != heard.end();
  };
  client_->Watch(
    "p/",
    0,
    [&](const platform::WatchEvent& aEvent) {
      const std::scoped_lock lock(mutex);
      heard.push_back(aEvent.entry_.value_);
    },
    [] {});
  REQUIRE(Swap("one", 0) == ResultCode::Ok);
  while (!hasHeard("one")) {
    std::this_thread::yield();
  }
  standin_->DropWatches();
  const auto entry = base::Capture([&] { return client_->Get("p/k"); });
  REQUIRE(Swap("two", std::get<0>(entry)->modRevision_) == ResultCode::Ok);
  while (!hasHeard("two")) {
    std::this_thread::yield();
  }
  client_->Stop();
}

} // namespace pumiceturn::standin
