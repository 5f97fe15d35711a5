#include "LibMetadata/PrefixMirror.h"
#include "LibMetadata/HostLease.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <thread>

namespace pumiceturn::metadata {

/// A copy of a prefix, and a store whose responses the test gives.
class MirrorFixture
{
protected:
  /// Value of a registration that was written again without a relevant change.
  static constexpr const char* kHeartbeat = "heartbeat";

  explicit MirrorFixture(base::Duration aFreshnessLifetime,
                         PrefixMirror::Options aOptions = {})
  {
    aOptions.prefix_ = "p/";
    aOptions.pauseAfterChanges_ = std::chrono::milliseconds(0);
    aOptions.retryPause_ = std::chrono::milliseconds(0);
    aOptions.freshnessLifetime_ = aFreshnessLifetime;
    mirror_.emplace(
      context_, store_, health_, aOptions, [this](const StoreItem& aItem) {
        ++changes_;
        if (aItem.isRemoved_) {
          copy_.erase(aItem.key_);
        } else {
          copy_[aItem.key_] = aItem.value_;
        }
        return aItem.value_ != kHeartbeat;
      });
    mirror_->SetOnDelta(
      [this](const MirrorDelta& aDelta) { forwarded_.push_back(aDelta); });
    mirror_->Start();
  }

  void RespondToRange(std::vector<StoreItem> aItems,
                      std::uint64_t aRevision,
                      bool aIsTruncated = false)
  {
    FakeStore::Pop(store_.ranges_)
      .second({ StoreStatus::Ok, std::move(aItems), aIsTruncated, aRevision });
    Run();
  }

  void RespondToWatch(StoreStatus aStatus,
                      std::vector<StoreItem> aEvents = {},
                      std::uint64_t aRevision = 0)
  {
    FakeStore::Pop(store_.watches_)
      .callback_({ aStatus, std::move(aEvents), aRevision });
    Run();
  }

  /// Runs handlers that are due; timers in the far future stay pending.
  void Run()
  {
    context_.restart();
    context_.run_for(std::chrono::milliseconds(5));
    // Runs handlers that a busy machine did not get to in that time.
    context_.restart();
    context_.poll();
  }

  boost::asio::io_context context_;
  FakeStore store_;
  StoreHealth health_;
  std::map<std::string, std::string> copy_;
  int changes_ = 0;
  std::vector<MirrorDelta> forwarded_;
  std::optional<PrefixMirror> mirror_;
};

/// A host that doesn't rely on peers and queries the store all the time.
class PrefixMirrorFixture : protected MirrorFixture
{
protected:
  PrefixMirrorFixture()
    : MirrorFixture(base::Duration::zero())
  {
  }
};

TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_SeveralPages_AreReadInOrder")
{
  RespondToRange({ { "p/a", "1", 3 } }, 5, true);
  REQUIRE(store_.ranges_.size() == 1);
  CHECK(store_.ranges_.front().first == "p/a");
  CHECK_FALSE(mirror_->IsComplete());
  RespondToRange({ { "p/b", "2", 4 } }, 9);
  CHECK(mirror_->IsComplete());
  CHECK(copy_.size() == 2);
  // The watch starts at the first page's revision, since later changes to keys
  // of that page are in no other page.
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
}

// Guards against keeping keys that were removed while the store dropped its
// history.
TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_HistoryLost_ReadsAgainAndDropsRemovedKeys")
{
  RespondToRange({ { "p/a", "1", 3 }, { "p/b", "2", 4 } }, 5);
  RespondToWatch(StoreStatus::HistoryLost);
  RespondToRange({ { "p/b", "3", 8 } }, 9);
  CHECK(copy_ == std::map<std::string, std::string>{ { "p/b", "3" } });
  CHECK(store_.watches_.front().after_ == 9);
}

TEST_CASE_METHOD(PrefixMirrorFixture, "PrefixMirror_EventsRepeat_ApplyOnce")
{
  RespondToRange({ { "p/a", "1", 3 } }, 5);
  RespondToWatch(StoreStatus::Ok, { { "p/a", "2", 6 } }, 6);
  RespondToWatch(StoreStatus::Ok, { { "p/a", "1", 3 } }, 6);
  CHECK(copy_["p/a"] == "2");
  CHECK(changes_ == 2);
  RespondToWatch(StoreStatus::Ok, { { "p/a", "", 7, true } }, 7);
  CHECK(copy_.empty());
}

TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_WatchFails_ContinuesAtSameRevision")
{
  RespondToRange({}, 5);
  RespondToWatch(StoreStatus::Unknown);
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
  CHECK(health_.IsLost());
  RespondToWatch(StoreStatus::Ok, {}, 5);
  CHECK_FALSE(health_.IsLost());
}

/// A host that doesn't follow the prefix itself and receives changes from
/// peers.
class PeerUpdatedMirrorFixture : protected MirrorFixture
{
protected:
  PeerUpdatedMirrorFixture()
    : MirrorFixture(std::chrono::hours(1))
  {
    RespondToRange({ { "p/a", "1", 3 } }, 5);
  }

  /// Applies a report of a peer that the store has just responded to.
  void ApplyView(std::uint64_t aLastChange, std::uint64_t aFollowed)
  {
    mirror_->ApplyView({ aLastChange, aFollowed, {} }, base::Duration::zero());
    Run();
  }
};

TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_PeersConfirmCopy_StoreIsNotQueried")
{
  ApplyView(5, 8);
  mirror_->ApplyDelta({ 5, { 9, 9, {} }, { { "p/a", "2", 9 } } }, {});
  ApplyView(9, 12);
  CHECK(copy_["p/a"] == "2");
  CHECK(store_.watches_.empty());
}

// Guards against a copy that stays outdated after a datagram was lost.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_DeltaWasLost_QueriesStore")
{
  ApplyView(9, 12);
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
  RespondToWatch(StoreStatus::Ok, { { "p/a", "2", 9 } }, 12);
  CHECK(copy_["p/a"] == "2");
  ApplyView(9, 13);
  CHECK(store_.watches_.empty());
}

// Guards against a host that isn't told of a change, since no follower knows
// that it exists, and finds it only when its copy has to be confirmed.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_CatchUpNow_QueriesStoreOnce")
{
  mirror_->CatchUpNow();
  mirror_->CatchUpNow();
  Run();
  REQUIRE(store_.watches_.size() == 1);
  RespondToWatch(StoreStatus::Ok, { { "p/a", "2", 9 } }, 12);
  CHECK(copy_["p/a"] == "2");
  CHECK(store_.watches_.empty());
}

// Guards against a query by each host that hears of a change before it gets the
// delta.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_DeltaArrivesAfterReport_StoreIsNotQueried")
{
  mirror_->ApplyView({ 9, 12, {} }, std::chrono::milliseconds(20));
  mirror_->ApplyDelta({ 5, { 9, 9, {} }, { { "p/a", "2", 9 } } }, {});
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Run();
  CHECK(copy_["p/a"] == "2");
  CHECK(store_.watches_.empty());
}

// Guards against a response of the store that undoes a newer change received
// from a peer.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_ResponseOlderThanDelta_DoesNotUndoIt")
{
  mirror_->SetFollows(true);
  Run();
  REQUIRE(store_.watches_.size() == 1);
  mirror_->ApplyDelta({ 5, { 9, 9, {} }, { { "p/a", "", 9, true } } }, {});
  CHECK(copy_.empty());
  RespondToWatch(StoreStatus::Ok, { { "p/a", "2", 7 } }, 8);
  CHECK(copy_.empty());
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 9);
}

TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_FollowerReceivesChanges_ForwardsRelevantOnes")
{
  mirror_->SetFollows(true);
  Run();
  RespondToWatch(StoreStatus::Ok, { { "p/a", kHeartbeat, 6 } }, 6);
  CHECK(forwarded_.empty());
  CHECK(mirror_->View().lastChangeRevision_ == 5);
  CHECK(mirror_->View().followedRevision_ == 6);
  RespondToWatch(
    StoreStatus::Ok, { { "p/a", kHeartbeat, 7 }, { "p/b", "new", 8 } }, 9);
  REQUIRE(forwarded_.size() == 1);
  CHECK(forwarded_.front().previousChange_ == 5);
  REQUIRE(forwarded_.front().items_.size() == 1);
  CHECK(forwarded_.front().items_.front().key_ == "p/b");
  CHECK(forwarded_.front().view_.lastChangeRevision_ == 8);
  CHECK(forwarded_.front().view_.followedRevision_ == 9);
}

// Guards against all hosts reading a whole prefix because the follower had to
// read it again.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_FollowerReadsAgain_ForwardsDifferences")
{
  mirror_->SetFollows(true);
  Run();
  FakeStore::Pop(store_.watches_)
    .callback_({ StoreStatus::HistoryLost, {}, 0 });
  RespondToRange({ { "p/b", "new", 8 } }, 9);
  REQUIRE(forwarded_.size() == 1);
  CHECK(forwarded_.front().previousChange_ == 5);
  CHECK(forwarded_.front().items_.size() == 2);
  CHECK(forwarded_.front().view_.lastChangeRevision_ == 9);
  CHECK(copy_ == std::map<std::string, std::string>{ { "p/b", "new" } });
}

// Guards against relying on peers' earlier reports after this host was
// suspended.
TEST_CASE_METHOD(PeerUpdatedMirrorFixture,
                 "PrefixMirror_MarkedStale_QueriesStoreBeforeUsingReports")
{
  mirror_->MarkStale();
  Run();
  REQUIRE(store_.watches_.size() == 1);
  ApplyView(5, 8);
  RespondToWatch(StoreStatus::Ok, {}, 9);
  CHECK(store_.watches_.empty());
}

// Guards against two chains of calls, whose reads mix up their pages and drop
// keys from the copy, after a suspension that outlasted the pause between them.
TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_MarkedStaleWhenPauseHasEnded_QueriesOnce")
{
  RespondToRange({ { "p/a", "1", 3 } }, 5);
  mirror_->SetFollows(true);
  boost::asio::steady_timer wakeUp(context_, std::chrono::milliseconds(0));
  wakeUp.async_wait(
    [this](const boost::system::error_code&) { mirror_->MarkStale(); });
  // The pause after the response has ended by the time the loop runs again, so
  // both handlers are queued at once.
  FakeStore::Pop(store_.watches_)
    .callback_({ StoreStatus::Ok, { { "p/a", "2", 6 } }, 6 });
  std::this_thread::sleep_for(std::chrono::milliseconds(2));
  Run();
  CHECK(store_.watches_.size() == 1);
}

/// A host that starts with a read that may be stale and gets reports of peers.
class StaleStartFixture : protected MirrorFixture
{
protected:
  static constexpr std::chrono::milliseconds kConfirmationWait{ 50 };

  StaleStartFixture()
    : MirrorFixture(std::chrono::hours(1), MakeOptions())
  {
  }

  static PrefixMirror::Options MakeOptions()
  {
    PrefixMirror::Options options;
    options.firstRead_ = ReadConsistency::MayBeStale;
    options.confirmationWait_ = kConfirmationWait;
    return options;
  }

  void Wait()
  {
    std::this_thread::sleep_for(kConfirmationWait);
    Run();
  }
};

TEST_CASE_METHOD(StaleStartFixture,
                 "PrefixMirror_StaleReadIsConfirmedByPeer_StoreIsNotQueried")
{
  CHECK(store_.lastConsistency_ == ReadConsistency::MayBeStale);
  RespondToRange({ { "p/a", "1", 3 } }, 5);
  CHECK(mirror_->IsComplete());
  CHECK_FALSE(mirror_->CompleteAsOf());
  mirror_->ApplyView({ 5, 8, {}, base::BootNow() }, base::Duration::zero());
  CHECK(mirror_->CompleteAsOf());
  Wait();
  CHECK(store_.watches_.empty());
}

// Guards against a copy that stays outdated because it was read from a replica
// that lags behind.
TEST_CASE_METHOD(StaleStartFixture,
                 "PrefixMirror_StaleReadIsNotConfirmed_QueriesStore")
{
  RespondToRange({ { "p/a", "1", 3 } }, 5);
  CHECK(store_.watches_.empty());
  Wait();
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
}

// Guards against reads that fail again and again because the replica's revision
// is older than the store's history.
TEST_CASE_METHOD(StaleStartFixture,
                 "PrefixMirror_StaleReadIsOlderThanHistory_ReadsLinearizably")
{
  RespondToRange({ { "p/a", "1", 3 } }, 5);
  Wait();
  RespondToWatch(StoreStatus::HistoryLost);
  REQUIRE(store_.ranges_.size() == 1);
  CHECK(store_.lastConsistency_ == ReadConsistency::Linearizable);
}

class HostLeaseFixture
{
protected:
  /// A term whose renewals are due at once.
  static constexpr HostLease::Term kTerm{ std::chrono::seconds{ 3 },
                                          base::Duration::zero() };
  static constexpr HostLease::Term kOtherTerm{ std::chrono::seconds{ 30 },
                                               base::Duration::zero() };

  HostLeaseFixture()
  {
    HostLease::Options options;
    options.key_ = "h/a";
    options.value_ = "v";
    options.term_ = kTerm;
    lease_.emplace(context_, store_, health_, options);
    lease_->Start();
  }

  void Run()
  {
    context_.restart();
    context_.run();
  }

  void Register()
  {
    FakeStore::Pop(store_.grants_)({ StoreStatus::Ok, 7 });
    FakeStore::Pop(store_.commits_).second({ StoreStatus::Ok, 1, {} });
    Run();
  }

  boost::asio::io_context context_;
  FakeStore store_;
  StoreHealth health_;
  std::optional<HostLease> lease_;
};

TEST_CASE_METHOD(HostLeaseFixture, "HostLease_Granted_RegistersUnderTheLease")
{
  FakeStore::Pop(store_.grants_)({ StoreStatus::Ok, 7 });
  REQUIRE(store_.commits_.size() == 1);
  CHECK(store_.commits_.front().first.writes_.front().lease_ == 7);
}

// Guards against a running host that stays unregistered after its lease lapsed.
TEST_CASE_METHOD(HostLeaseFixture, "HostLease_LeaseLapsed_RegistersAgain")
{
  Register();
  FakeStore::Pop(store_.renewals_)({ StoreStatus::NotFound, 7 });
  REQUIRE(store_.grants_.size() == 1);
  Register();
  CHECK(store_.renewals_.size() == 1);
}

TEST_CASE_METHOD(HostLeaseFixture,
                 "HostLease_KeyRemovedByOthers_IsWrittenAgain")
{
  Register();
  lease_->OnKeyRemoved();
  FakeStore::Pop(store_.renewals_)({ StoreStatus::Ok, 7 });
  CHECK(store_.commits_.size() == 1);
}

// Guards against a host that follows no prefix and doesn't notice an outage of
// the store.
TEST_CASE_METHOD(HostLeaseFixture, "HostLease_RenewalFails_StoreCountsAsLost")
{
  Register();
  CHECK_FALSE(health_.IsLost());
  FakeStore::Pop(store_.renewals_)({ StoreStatus::Unknown, 7 });
  CHECK(health_.IsLost());
}

/// A lease that ends by the host's clock before it is renewed.
class OverdueLeaseFixture : protected HostLeaseFixture
{
protected:
  OverdueLeaseFixture()
  {
    HostLease::Options options;
    options.key_ = "h/a";
    options.term_ = { std::chrono::milliseconds{ 1 }, base::Duration::zero() };
    lease_.emplace(context_, store_, health_, options);
    lease_->Start();
    FakeStore::Pop(store_.grants_);
    Register();
  }
};

// Guards against a host that counts as registered without a gap as its lease
// can be renewed after its time: its key may have been removed meanwhile, and
// its jobs taken over.
TEST_CASE_METHOD(OverdueLeaseFixture,
                 "HostLease_RenewedAfterItsTime_RegistrationHasAGap")
{
  CHECK(lease_->RegisteredSince() == base::BootInstant::min());
  const base::BootInstant before = base::BootNow();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  FakeStore::Pop(store_.renewals_)({ StoreStatus::Ok, 7 });
  CHECK(lease_->RegisteredSince() > before);
}

TEST_CASE_METHOD(HostLeaseFixture,
                 "HostLease_RenewedInTime_RegistrationHasNoGap")
{
  Register();
  FakeStore::Pop(store_.renewals_)({ StoreStatus::Ok, 7 });
  CHECK(lease_->RegisteredSince() == base::BootInstant::min());
}

TEST_CASE_METHOD(HostLeaseFixture, "HostLease_Ended_IsNotRenewed")
{
  Register();
  bool isDone = false;
  lease_->End([&isDone] { isDone = true; });
  FakeStore::Pop(store_.ends_)({ StoreStatus::Ok, 7 });
  CHECK(isDone);
  FakeStore::Pop(store_.renewals_)({ StoreStatus::NotFound, 7 });
  CHECK(store_.grants_.empty());
}

TEST_CASE_METHOD(HostLeaseFixture, "HostLease_TermChanges_KeyMovesToNewLease")
{
  Register();
  lease_->SetTerm(kOtherTerm);
  // The renewal in progress still refers to the former lease.
  FakeStore::Pop(store_.renewals_)({ StoreStatus::Ok, 7 });
  Run();
  CHECK(store_.renewals_.empty());
  REQUIRE(store_.grants_.size() == 1);
  FakeStore::Pop(store_.grants_)({ StoreStatus::Ok, 8 });
  REQUIRE(store_.commits_.size() == 1);
  CHECK(store_.commits_.front().first.writes_.front().lease_ == 8);
  // Ending the former lease earlier would remove the key.
  CHECK(store_.ends_.empty());
  FakeStore::Pop(store_.commits_).second({ StoreStatus::Ok, 2, {} });
  Run();
  CHECK(store_.ends_.size() == 1);
  CHECK(store_.renewals_.size() == 1);
}

// Guards against a host that is registered for the lifetime of a lease granted
// before the term changed.
TEST_CASE_METHOD(HostLeaseFixture,
                 "HostLease_TermChangesDuringGrant_LeaseIsReplaced")
{
  lease_->SetTerm(kOtherTerm);
  Register();
  CHECK(store_.grants_.size() == 1);
  CHECK(store_.renewals_.empty());
}

} // namespace pumiceturn::metadata
