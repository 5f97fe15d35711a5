#include "LibConfiguration/ConfigurationStore.h"
#include "LibConfiguration/Difference.h"
#include "LibConfiguration/Keys.h"
#include "LibStandin/KeyValueStandin.h"
#include "Samples.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <thread>

namespace pumiceturn::configuration {

using namespace std::chrono_literals;
using base::Capture;
using base::ResultCode;

namespace {

struct StoreFixture
{
  StoreFixture()
    : service_(std::get<0>(
        Capture([] { return standin::KeyValueStandin::Start({}); })))
    , client_(MakeClient())
    , store_(*client_, MakeOptions(), Check)
  {
    // The stand-in serves before a test may end.
    REQUIRE(CodeOf(Capture([&] { return client_->Get("none"); })) ==
            ResultCode::Ok);
  }

  [[nodiscard]] std::unique_ptr<platform::KeyValueClient> MakeClient() const
  {
    platform::KeyValueClient::Options options;
    options.addresses_ = { "127.0.0.1:" + std::to_string(service_->Port()) };
    options.callsPerSecond_ = 1000.0;
    options.callTimeout_ = 30s; // Bounds a hang; no test waits for it.
    return platform::KeyValueClient::Make(std::move(options));
  }

  ConfigurationStore::Options MakeOptions()
  {
    ConfigurationStore::Options options;
    options.attempts_ = 4;
    options.wait_ = [this](base::Duration) { onWait_(); };
    return options;
  }

  static base::Result<void> Check(const declarations::Declarations& aAll)
  {
    if (aAll.services_size() == 0) {
      return base::Fail(ResultCode::InvalidDeclarations, "no service");
    }
    return {};
  }

  base::Outcome<ApplyOutcome> Apply(const declarations::Declarations& aAll,
                                    std::uint64_t aExpected)
  {
    return Capture([&] {
      return store_.Apply(
        { aAll, aExpected, "asta", "a comment", base::FromUnixMs(1000) });
    });
  }

  /// Applies what must be accepted.
  Applied MustApply(const declarations::Declarations& aAll,
                    std::uint64_t aExpected)
  {
    const auto outcome = Apply(aAll, aExpected);
    REQUIRE(outcome.index() == 0);
    REQUIRE(std::holds_alternative<Applied>(std::get<0>(outcome)));
    return std::get<Applied>(std::get<0>(outcome));
  }

  declarations::Configuration Get(std::uint64_t aVersion)
  {
    const auto outcome = Capture([&] { return store_.Get(aVersion); });
    REQUIRE(outcome.index() == 0);
    return std::get<0>(outcome);
  }

  void LoseAnswers(std::uint32_t aCount)
  {
    standin::KeyValueFaults faults;
    faults.loseAnswers_ = aCount;
    service_->SetFaults(faults);
  }

  void SetOutage(standin::Outage aOutage)
  {
    standin::KeyValueFaults faults;
    faults.outage_ = aOutage;
    service_->SetFaults(faults);
  }

  std::function<void()> onWait_ = [] {};
  std::unique_ptr<standin::KeyValueStandin> service_;
  std::unique_ptr<platform::KeyValueClient> client_;
  ConfigurationStore store_;
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "Apply_FirstDeclarations_AreInForce")
{
  const auto all = MakeDeclarations(10);
  CHECK(MustApply(all, 0).version_ == 1);
  const auto configuration = Get(0);
  CHECK(configuration.version() == 1);
  CHECK(configuration.author() == "asta");
  CHECK(DescribeDifference(all, configuration.declarations()).empty());
}

TEST_CASE_METHOD(StoreFixture, "Apply_WhatIsInForce_SaysUnchanged")
{
  const auto all = MakeDeclarations(10);
  MustApply(all, 0);
  const Applied again = MustApply(all, 0);
  CHECK(again.unchanged_);
  CHECK(again.version_ == 1);
}

TEST_CASE_METHOD(StoreFixture, "Apply_UnsoundDeclarations_WritesNothing")
{
  const auto outcome = Apply({}, 0);
  CHECK(CodeOf(outcome) == ResultCode::InvalidDeclarations);
  CHECK(service_->Stats().txn_ == 0);
}

// Two operators edit the same version and apply at the same moment. Had both
// been accepted, the second would have silently undone the first one's change:
// so one is accepted, and the other is shown what came first.
TEST_CASE_METHOD(StoreFixture, "Apply_TwoOperators_OneIsShownTheDifference")
{
  const auto base = MakeDeclarations(3);
  MustApply(base, 0);
  auto first = base;
  *first.add_partners() = MakePartner("from-asta");
  auto second = base;
  second.mutable_services(0)->mutable_kinds(0)->set_deadline_ms(900);
  CHECK(MustApply(first, 1).version_ == 2);
  const auto outcome = Apply(second, 1);
  REQUIRE(outcome.index() == 0);
  const auto* conflict = std::get_if<Conflict>(&std::get<0>(outcome));
  REQUIRE(conflict != nullptr);
  CHECK(conflict->currentVersion_ == 2);
  CHECK(conflict->difference_ == "+ partner from-asta\n");
  CHECK(DescribeDifference(first, Get(0).declarations()).empty());
}

// The same, with both applies under way at once, so that either may come first
// at the service and the other learns of it only there.
TEST_CASE_METHOD(StoreFixture, "Apply_TwoOperatorsAtOnce_OneIsAccepted")
{
  constexpr std::uint64_t kRounds = 10;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    std::array<base::Outcome<ApplyOutcome>, 2> outcomes;
    std::array<std::thread, 2> operators;
    for (std::size_t i = 0; i < operators.size(); ++i) {
      operators[i] = std::thread([&, i] {
        auto all = MakeDeclarations(3);
        *all.add_partners() = MakePartner(fmt::format("{}-{}", round, i));
        outcomes[i] = Apply(all, round);
      });
    }
    for (std::thread& one : operators) {
      one.join();
    }
    const auto accepted =
      std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
        return aOutcome.index() == 0 &&
               std::holds_alternative<Applied>(std::get<0>(aOutcome));
      });
    CHECK(accepted == 1);
    CHECK(CodeOf(outcomes[0]) == ResultCode::Ok);
    CHECK(CodeOf(outcomes[1]) == ResultCode::Ok);
  }
  CHECK(Get(0).version() == kRounds);
}

// The service puts a change in force and its answer is lost. Telling the
// operator "failed" would be untrue, and applying it again as a new change
// would put it in force twice. Reading back finds its write id.
TEST_CASE_METHOD(StoreFixture, "Apply_AnswerLost_IsAcceptedOnce")
{
  LoseAnswers(1);
  CHECK(MustApply(MakeDeclarations(3), 0).version_ == 1);
  CHECK(service_->Stats().answersLost_ == 1);
  const auto history = Capture([&] { return store_.History(10); });
  REQUIRE(history.index() == 0);
  CHECK(std::get<0>(history).size() == 1);
}

// The answer to a change is lost, and before its writer can read back, another
// operator's change comes on top. The head no longer carries the write id, but
// the history does: the first change was accepted and is said to be.
TEST_CASE_METHOD(StoreFixture, "Apply_AnswerLostThenOvertaken_IsAccepted")
{
  const auto base = MakeDeclarations(3);
  auto later = base;
  *later.add_partners() = MakePartner("later");
  const auto second = MakeClient();
  ConfigurationStore other(*second, MakeOptions(), Check);
  bool overtaken = false;
  onWait_ = [&] {
    overtaken = true;
    service_->SetFaults({});
    const auto outcome = Capture([&] {
      return other.Apply({ later, 1, "bo", "", base::FromUnixMs(2000) });
    });
    CHECK(CodeOf(outcome) == ResultCode::Ok);
  };
  // One read is allowed, for the apply's start; the one after the lost answer
  // is refused, and the writer waits. Meanwhile the other change is made.
  standin::KeyValueFaults faults;
  faults.loseAnswers_ = 1;
  faults.readsPerSecond_ = 1e-6;
  service_->SetFaults(faults);
  CHECK(MustApply(base, 0).version_ == 1);
  CHECK(overtaken);
  CHECK(Get(0).version() == 2);
}

// The service is down for the operator's whole attempt. What is said must be
// true: a refused connection means surely not in force, a call that died half
// way means unknown. Either way the same apply later is safe.
TEST_CASE_METHOD(StoreFixture, "Apply_Outage_SaysWhatIsTrue")
{
  SetOutage(standin::Outage::Drop);
  CHECK(CodeOf(Apply(MakeDeclarations(3), 0)) ==
        ResultCode::PlatformUnavailable);
  SetOutage(standin::Outage::None);
  CHECK(MustApply(MakeDeclarations(3), 0).version_ == 1);
}

TEST_CASE_METHOD(StoreFixture, "Apply_MoreThanOneCallHolds_IsInForceWhole")
{
  auto all = MakeDeclarations(4000);
  CHECK(MustApply(all, 0).version_ == 1);
  CHECK(Get(0).declarations().partners_size() == 4000);
  all.mutable_partners(17)->set_batch_share(2);
  const auto before = service_->Stats().txn_;
  CHECK(MustApply(all, 1).version_ == 2);
  CHECK(service_->Stats().txn_ == before + 1);
}

TEST_CASE_METHOD(StoreFixture, "Apply_BackToAnOlderContent_IsANewVersion")
{
  const auto first = MakeDeclarations(3);
  auto second = first;
  second.mutable_partners(0)->set_batch_share(2);
  MustApply(first, 0);
  MustApply(second, 1);
  CHECK(MustApply(first, 2).version_ == 3);
  CHECK(DescribeDifference(Get(1), Get(3)).empty());
}

TEST_CASE_METHOD(StoreFixture, "Drain_Host_ChangesTheListAlone")
{
  const auto all = MakeDeclarations(3);
  MustApply(all, 0);
  const auto drain = [&](DrainOrder aOrder) {
    const auto outcome = Capture([&] {
      return store_.Drain("north", aOrder, "asta", base::FromUnixMs(1));
    });
    REQUIRE(outcome.index() == 0);
    return std::get<0>(outcome);
  };
  CHECK(drain(DrainOrder::Drain) == 2);
  CHECK(drain(DrainOrder::Drain) == 2);
  CHECK(Get(0).drained_hosts_size() == 1);
  CHECK(DescribeDifference(all, Get(0).declarations()).empty());
  CHECK(MustApply(MakeDeclarations(4), 2).version_ == 3);
  CHECK(Get(0).drained_hosts(0) == "north");
  CHECK(drain(DrainOrder::Return) == 4);
  CHECK(Get(0).drained_hosts_size() == 0);
}

// One operator drains a broken host while another edits partners. The drain
// makes a new version, but there is nothing in it to take into the other's
// declarations: the apply goes through and the host stays drained.
TEST_CASE_METHOD(StoreFixture, "Apply_HostDrainedSince_IsAccepted")
{
  MustApply(MakeDeclarations(3), 0);
  const auto drained = Capture([&] {
    return store_.Drain("north", DrainOrder::Drain, "bo", base::FromUnixMs(1));
  });
  REQUIRE(CodeOf(drained) == ResultCode::Ok);
  CHECK(MustApply(MakeDeclarations(4), 1).version_ == 3);
  CHECK(Get(0).drained_hosts_size() == 1);
  const auto stale = Apply(MakeDeclarations(5), 1);
  REQUIRE(stale.index() == 0);
  CHECK(std::holds_alternative<Conflict>(std::get<0>(stale)));
}

TEST_CASE_METHOD(StoreFixture, "History_SeveralVersions_AreNewestFirst")
{
  for (int i = 1; i <= 4; ++i) {
    MustApply(MakeDeclarations(i), static_cast<std::uint64_t>(i) - 1);
  }
  const auto outcome = Capture([&] { return store_.History(2); });
  REQUIRE(outcome.index() == 0);
  const auto& entries = std::get<0>(outcome);
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].version_ == 4);
  CHECK(entries[1].version_ == 3);
  CHECK(entries[1].author_ == "asta");
  CHECK(Get(1).declarations().partners_size() == 1);
  CHECK(CodeOf(Capture([&] { return store_.Get(9); })) ==
        ResultCode::VersionUnknown);
}

TEST_CASE_METHOD(StoreFixture, "CollectGarbage_OldVersions_KeepsWhatIsListed")
{
  ConfigurationStore::Options options = MakeOptions();
  options.versionsKept_ = 2;
  ConfigurationStore store(*client_, options, Check);
  auto all = MakeDeclarations(3);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    all.mutable_partners(0)->set_batch_share(i);
    MustApply(all, i - 1);
  }
  REQUIRE(CodeOf(Capture([&] { return store.CollectGarbage(); })) ==
          ResultCode::Ok);
  CHECK(Get(4).declarations().partners(0).batch_share() == 4);
  CHECK(Get(5).declarations().partners(0).batch_share() == 5);
  CHECK(CodeOf(Capture([&] { return store_.Get(3); })) ==
        ResultCode::VersionUnknown);
  const auto parts =
    Capture([&] { return client_->RangeKeys(keys::AllParts("/pumiceturn/")); });
  // The service, two buckets of partners that never changed, and two versions
  // of the third.
  CHECK(std::get<0>(parts).entries_.size() == 5);
}

// A change puts its parts first, and is paused before its head. A collection
// that deleted them would let the change put a head in force whose parts are
// nowhere, and no host could ever load it.
TEST_CASE_METHOD(StoreFixture, "CollectGarbage_PartsOfAChangeUnderWay_AreKept")
{
  MustApply(MakeDeclarations(3), 0);
  const std::string key = keys::Part("/pumiceturn/", 1);
  REQUIRE(CodeOf(Capture([&] {
            return client_->CompareAndSwap(
              { platform::Swap{ key, "part", platform::kAnyRevision } });
          })) == ResultCode::Ok);
  const auto collect = [&] {
    REQUIRE(CodeOf(Capture([&] { return store_.CollectGarbage(); })) ==
            ResultCode::Ok);
    return std::get<0>(Capture([&] { return client_->Get(key); })).has_value();
  };
  CHECK(collect());
  // Another change came first, so the paused one can only be refused.
  MustApply(MakeDeclarations(4), 1);
  CHECK_FALSE(collect());
}

} // namespace pumiceturn::configuration
