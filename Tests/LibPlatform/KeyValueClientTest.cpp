#include "LibPlatform/KeyValueClient.h"
#include "LibStandin/KeyValueStandin.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

namespace pumiceturn::platform {

using namespace std::chrono_literals;
using base::Capture;
using base::Failure;
using base::ResultCode;

namespace {

/// Nothing listens on the lowest port, so connections to it are refused.
constexpr const char* kRefusingAddress = "127.0.0.1:1";

struct KeyValueFixture
{
  KeyValueFixture()
    : service_(std::get<0>(
        Capture([] { return standin::KeyValueStandin::Start({}); })))
    , client_(MakeClient({ Address() }))
  {
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(service_->Port());
  }

  void SetFaults(standin::Outage aOutage, std::uint32_t aLoseAnswers)
  {
    standin::KeyValueFaults faults;
    faults.outage_ = aOutage;
    faults.loseAnswers_ = aLoseAnswers;
    service_->SetFaults(faults);
  }

  static std::unique_ptr<KeyValueClient> MakeClient(
    std::vector<std::string> aAddresses,
    double aCallsPerSecond = 1000.0)
  {
    KeyValueClient::Options options;
    options.addresses_ = std::move(aAddresses);
    options.callsPerSecond_ = aCallsPerSecond;
    options.callTimeout_ = 30s; // Bounds a hang; no test waits for it.
    return KeyValueClient::Make(std::move(options));
  }

  ResultCode Put(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aExpected)
  {
    return CodeOf(Capture([&] {
      return client_->CompareAndSwap({ Swap{ aKey, aValue, aExpected } });
    }));
  }

  KeyValue Read(const std::string& aKey)
  {
    const auto outcome = Capture([&] { return client_->Get(aKey); });
    REQUIRE(outcome.index() == 0);
    return std::get<0>(outcome).value_or(KeyValue{});
  }

  template<typename T>
  static ResultCode CodeOf(const base::Outcome<T>& aOutcome)
  {
    const auto* failure = std::get_if<Failure>(&aOutcome);
    return failure == nullptr ? ResultCode::Ok : failure->code_;
  }

  std::unique_ptr<standin::KeyValueStandin> service_;
  std::unique_ptr<KeyValueClient> client_;
};

/// What a watch reported, for a test to wait on.
struct WatchLog
{
  void Arm(KeyValueClient& aClient, std::uint64_t aAfter)
  {
    aClient.Watch(
      "k/",
      aAfter,
      [this](const WatchEvent& aEvent) {
        const std::lock_guard lock(mutex_);
        values_.push_back(aEvent.deleted_ ? "(deleted)" : aEvent.entry_.value_);
        changed_.notify_all();
      },
      [this] {
        const std::lock_guard lock(mutex_);
        ++broken_;
        changed_.notify_all();
      });
  }

  template<typename Condition>
  bool WaitFor(Condition aCondition)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, 30s, aCondition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> values_;
  int broken_ = 0;
};

} // namespace

TEST_CASE_METHOD(KeyValueFixture, "CompareAndSwap_NewKey_IsReadBack")
{
  const std::string bytes("a\0\xff\n", 4);
  CHECK(Put("k/one", bytes, 0) == ResultCode::Ok);
  CHECK(Read("k/one").value_ == bytes);
  CHECK(Read("k/two").modRevision_ == 0);
}

TEST_CASE_METHOD(KeyValueFixture, "CompareAndSwap_OneKeyChanged_PutsNothing")
{
  REQUIRE(Put("k/one", "first", 0) == ResultCode::Ok);
  const auto outcome = Capture([&] {
    return client_->CompareAndSwap(
      { Swap{ "k/two", "new", 0 }, Swap{ "k/one", "second", 0 } });
  });
  CHECK(CodeOf(outcome) == ResultCode::PlatformConflict);
  CHECK(Read("k/two").modRevision_ == 0);
  CHECK(Read("k/one").value_ == "first");
}

// An operator applies a change and hears "unknown". The service took the write
// and its answer was lost on the way: the value must be found by reading back,
// and the client must not have sent the write a second time by itself.
TEST_CASE_METHOD(KeyValueFixture,
                 "CompareAndSwap_AnswerLost_SaysOutcomeUnknown")
{
  SetFaults(standin::Outage::None, 1);
  CHECK(Put("k/one", "value", 0) == ResultCode::PlatformOutcomeUnknown);
  CHECK(Read("k/one").value_ == "value");
  CHECK(client_->CallCount() == 2);
}

TEST_CASE("CompareAndSwap_ConnectionRefused_SaysUnavailable")
{
  const auto client = KeyValueFixture::MakeClient({ kRefusingAddress });
  const auto outcome = Capture([&] {
    return client->CompareAndSwap({ Swap{ "k", "v", 0 } });
  });
  CHECK(KeyValueFixture::CodeOf(outcome) == ResultCode::PlatformUnavailable);
}

// The service answers 503 to a write. It may have begun it before it gave up,
// so nobody may tell an operator that the change is surely not in force.
TEST_CASE_METHOD(KeyValueFixture,
                 "CompareAndSwap_ServiceFails_SaysOutcomeUnknown")
{
  SetFaults(standin::Outage::Error, 0);
  CHECK(Put("k/one", "value", 0) == ResultCode::PlatformOutcomeUnknown);
  const auto read = Capture([&] { return client_->Get("k/one"); });
  CHECK(CodeOf(read) == ResultCode::PlatformUnavailable);
}

TEST_CASE_METHOD(KeyValueFixture, "CompareAndSwap_RateLimited_SaysUnavailable")
{
  standin::KeyValueFaults faults;
  faults.writesPerSecond_ = 0.001;
  service_->SetFaults(faults);
  REQUIRE(Put("k/one", "value", 0) == ResultCode::Ok);
  CHECK(Put("k/two", "value", 0) == ResultCode::PlatformUnavailable);
  CHECK(Read("k/two").modRevision_ == 0);
}

TEST_CASE_METHOD(KeyValueFixture,
                 "CompareAndSwap_FirstAddressRefuses_UsesTheNext")
{
  client_ = MakeClient({ kRefusingAddress, Address() });
  CHECK(Put("k/one", "value", 0) == ResultCode::Ok);
  CHECK(Read("k/one").value_ == "value");
}

TEST_CASE("Get_BudgetSpent_MakesNoCall")
{
  const auto client = KeyValueFixture::MakeClient({ kRefusingAddress }, 0.001);
  const auto outcome = Capture([&] { return client->Get("k/one"); });
  CHECK(KeyValueFixture::CodeOf(outcome) == ResultCode::BudgetExhausted);
  CHECK(client->CallCount() == 0);
}

TEST_CASE_METHOD(KeyValueFixture, "Range_SeveralKeys_GivesThePrefixInOrder")
{
  REQUIRE(Put("k/b", "2", 0) == ResultCode::Ok);
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  REQUIRE(Put("l", "3", 0) == ResultCode::Ok);
  const auto outcome = Capture([&] { return client_->Range("k/"); });
  REQUIRE(outcome.index() == 0);
  const RangeReply& reply = std::get<0>(outcome);
  REQUIRE(reply.entries_.size() == 2);
  CHECK(reply.entries_[0].key_ == "k/a");
  CHECK(reply.entries_[1].value_ == "2");
  CHECK(reply.revision_ > reply.entries_[0].modRevision_);
}

TEST_CASE_METHOD(KeyValueFixture, "GetMany_OneKeyMissing_GivesTheOthers")
{
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  REQUIRE(Put("k/c", "3", 0) == ResultCode::Ok);
  const auto outcome = Capture([&] {
    return client_->GetMany({ "k/c", "k/b", "k/a" });
  });
  REQUIRE(outcome.index() == 0);
  const auto& entries = std::get<0>(outcome);
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].value_ == "3");
  CHECK(entries[1].value_ == "1");
}

TEST_CASE_METHOD(KeyValueFixture, "Delete_ExpectedRevision_RemovesTheKey")
{
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  const auto revision = Read("k/a").modRevision_;
  const auto stale = Capture([&] { return client_->Delete("k/a", 1); });
  CHECK(CodeOf(stale) == ResultCode::PlatformConflict);
  const auto fresh = Capture([&] { return client_->Delete("k/a", revision); });
  CHECK(CodeOf(fresh) == ResultCode::Ok);
  CHECK(Read("k/a").modRevision_ == 0);
}

// A change made while the watch's stream was cut would be missed by a process
// that only listens from now on. The watch is armed again from the last
// revision it saw, so each change is reported once and in order.
TEST_CASE_METHOD(KeyValueFixture, "Watch_StreamBreaks_MissesNoChange")
{
  WatchLog log;
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  log.Arm(*client_, 0);
  REQUIRE(log.WaitFor([&] { return log.values_.size() == 1; }));
  service_->DropWatches();
  REQUIRE(Put("k/b", "2", 0) == ResultCode::Ok);
  REQUIRE(Put("k/c", "3", 0) == ResultCode::Ok);
  REQUIRE(log.WaitFor([&] { return log.values_.size() == 3; }));
  client_->Stop();
  CHECK(log.values_ == std::vector<std::string>{ "1", "2", "3" });
  CHECK(log.broken_ == 0);
}

// A host was cut off for so long that the service has compacted the changes it
// missed. The watch cannot report them, so it must say that the prefix is to be
// read again, and go on with later changes.
TEST_CASE_METHOD(KeyValueFixture, "Watch_ChangesCompacted_SaysBroken")
{
  WatchLog log;
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  REQUIRE(Put("k/a", "2", Read("k/a").modRevision_) == ResultCode::Ok);
  service_->Compact();
  log.Arm(*client_, 0);
  REQUIRE(log.WaitFor([&] { return log.broken_ == 1; }));
  REQUIRE(Put("k/b", "3", 0) == ResultCode::Ok);
  REQUIRE(log.WaitFor([&] { return !log.values_.empty(); }));
  client_->Stop();
  CHECK(log.values_.back() == "3");
}

TEST_CASE_METHOD(KeyValueFixture, "Stop_WatchWaiting_EndsIt")
{
  WatchLog log;
  REQUIRE(Put("k/a", "1", 0) == ResultCode::Ok);
  log.Arm(*client_, 0);
  REQUIRE(log.WaitFor([&] { return log.values_.size() == 1; }));
  client_->Stop();
  CHECK(Put("k/b", "2", 0) == ResultCode::PlatformUnavailable);
  CHECK(log.values_.size() == 1);
}

} // namespace pumiceturn::platform
