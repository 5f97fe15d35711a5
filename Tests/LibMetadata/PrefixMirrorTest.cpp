#include "LibMetadata/PrefixMirror.h"
#include "LibMetadata/HostLease.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

#include <map>

namespace pumiceturn::metadata {

/// A copy of a prefix, and a store that the test answers for.
class MirrorFixture
{
protected:
  /// Registered anew without anything that matters to others.
  static constexpr const char* kHeartbeat = "heartbeat";

  explicit MirrorFixture(base::Duration aFreshFor)
  {
    PrefixMirror::Options options;
    options.prefix_ = "p/";
    options.pause_ = std::chrono::milliseconds(0);
    options.retryPause_ = std::chrono::milliseconds(0);
    options.freshFor_ = aFreshFor;
    mirror_.emplace(
      context_, store_, health_, options, [this](const StoreItem& aItem) {
        ++changes_;
        if (aItem.removed_) {
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

  void AnswerRange(std::vector<StoreItem> aItems,
                   std::uint64_t aRevision,
                   bool aIsTruncated = false)
  {
    FakeStore::Take(store_.ranges_)
      .second({ StoreStatus::Ok, std::move(aItems), aIsTruncated, aRevision });
    Run();
  }

  void AnswerWatch(StoreStatus aStatus,
                   std::vector<StoreItem> aEvents = {},
                   std::uint64_t aRevision = 0)
  {
    FakeStore::Take(store_.watches_)
      .callback_({ aStatus, std::move(aEvents), aRevision });
    Run();
  }

  /// Runs what is due; timers of the far future stay.
  void Run()
  {
    context_.restart();
    context_.run_for(std::chrono::milliseconds(5));
    // What a busy machine left undone in that time.
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

/// A host that relies on nobody: it asks the store all the time.
class PrefixMirrorFixture : protected MirrorFixture
{
protected:
  PrefixMirrorFixture()
    : MirrorFixture(base::Duration::zero())
  {
  }
};

TEST_CASE_METHOD(PrefixMirrorFixture, "PrefixMirror_SeveralPages_AreReadInTurn")
{
  AnswerRange({ { "p/a", "1", 3 } }, 5, true);
  REQUIRE(store_.ranges_.size() == 1);
  CHECK(store_.ranges_.front().first == "p/a");
  CHECK_FALSE(mirror_->IsComplete());
  AnswerRange({ { "p/b", "2", 4 } }, 9);
  CHECK(mirror_->IsComplete());
  CHECK(copy_.size() == 2);
  // Following begins at the first page, whose later changes no page shows.
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
}

// A draining server goes on getting requests. The store dropped its history
// while the server left, and the watch that would have told was cut.
TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_HistoryLost_ReadsAnewAndDropsWhatIsGone")
{
  AnswerRange({ { "p/a", "1", 3 }, { "p/b", "2", 4 } }, 5);
  AnswerWatch(StoreStatus::HistoryLost);
  AnswerRange({ { "p/b", "3", 8 } }, 9);
  CHECK(copy_ == std::map<std::string, std::string>{ { "p/b", "3" } });
  CHECK(store_.watches_.front().after_ == 9);
}

TEST_CASE_METHOD(PrefixMirrorFixture, "PrefixMirror_EventsRepeat_ApplyOnce")
{
  AnswerRange({ { "p/a", "1", 3 } }, 5);
  AnswerWatch(StoreStatus::Ok, { { "p/a", "2", 6 } }, 6);
  AnswerWatch(StoreStatus::Ok, { { "p/a", "1", 3 } }, 6);
  CHECK(copy_["p/a"] == "2");
  CHECK(changes_ == 2);
  AnswerWatch(StoreStatus::Ok, { { "p/a", "", 7, true } }, 7);
  CHECK(copy_.empty());
}

TEST_CASE_METHOD(PrefixMirrorFixture,
                 "PrefixMirror_WatchFails_GoesOnWhereItWas")
{
  AnswerRange({}, 5);
  AnswerWatch(StoreStatus::Unknown);
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
  CHECK(health_.IsLost());
  AnswerWatch(StoreStatus::Ok, {}, 5);
  CHECK_FALSE(health_.IsLost());
}

/// A host that does not follow the prefix itself; peers tell it what changes.
class ToldMirrorFixture : protected MirrorFixture
{
protected:
  ToldMirrorFixture()
    : MirrorFixture(std::chrono::hours(1))
  {
    AnswerRange({ { "p/a", "1", 3 } }, 5);
  }

  /// A report of a peer that the store answered just now.
  void ApplyView(std::uint64_t aLastChange, std::uint64_t aFollowed)
  {
    mirror_->ApplyView({ aLastChange, aFollowed, {} }, base::Duration::zero());
    Run();
  }
};

TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_PeersConfirmTheCopy_StoreIsNotAsked")
{
  ApplyView(5, 8);
  mirror_->ApplyDelta({ 5, { 9, 9, {} }, { { "p/a", "2", 9 } } }, {});
  ApplyView(9, 12);
  CHECK(copy_["p/a"] == "2");
  CHECK(store_.watches_.empty());
}

// A configuration is in force at all hosts but one, which lost a datagram.
TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_NewsWasLost_AsksTheStoreForIt")
{
  ApplyView(9, 12);
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 5);
  AnswerWatch(StoreStatus::Ok, { { "p/a", "2", 9 } }, 12);
  CHECK(copy_["p/a"] == "2");
  ApplyView(9, 13);
  CHECK(store_.watches_.empty());
}

// A server that has left gets requests again: this host asked the store a
// moment before a peer told it of the end, and the answer, which came after,
// still showed the server.
TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_AnswerOlderThanNews_DoesNotUndoThem")
{
  mirror_->SetFollows(true);
  Run();
  REQUIRE(store_.watches_.size() == 1);
  mirror_->ApplyDelta({ 5, { 9, 9, {} }, { { "p/a", "", 9, true } } }, {});
  CHECK(copy_.empty());
  AnswerWatch(StoreStatus::Ok, { { "p/a", "2", 7 } }, 8);
  CHECK(copy_.empty());
  REQUIRE(store_.watches_.size() == 1);
  CHECK(store_.watches_.front().after_ == 9);
}

TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_FollowerSeesChanges_PassesOnThoseThatMatter")
{
  mirror_->SetFollows(true);
  Run();
  AnswerWatch(StoreStatus::Ok, { { "p/a", kHeartbeat, 6 } }, 6);
  CHECK(forwarded_.empty());
  CHECK(mirror_->View().lastChange_ == 5);
  CHECK(mirror_->View().followed_ == 6);
  AnswerWatch(
    StoreStatus::Ok, { { "p/a", kHeartbeat, 7 }, { "p/b", "new", 8 } }, 9);
  REQUIRE(forwarded_.size() == 1);
  CHECK(forwarded_.front().previousChange_ == 5);
  REQUIRE(forwarded_.front().items_.size() == 1);
  CHECK(forwarded_.front().items_.front().key_ == "p/b");
  CHECK(forwarded_.front().view_.lastChange_ == 8);
  CHECK(forwarded_.front().view_.followed_ == 9);
}

// Hundreds of hosts read a whole prefix at once, because the store dropped its
// history and the one that follows it could not tell what was new.
TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_FollowerReadsAnew_PassesOnWhatDiffers")
{
  mirror_->SetFollows(true);
  Run();
  FakeStore::Take(store_.watches_)
    .callback_({ StoreStatus::HistoryLost, {}, 0 });
  AnswerRange({ { "p/b", "new", 8 } }, 9);
  REQUIRE(forwarded_.size() == 1);
  CHECK(forwarded_.front().previousChange_ == 5);
  CHECK(forwarded_.front().items_.size() == 2);
  CHECK(forwarded_.front().view_.lastChange_ == 9);
  CHECK(copy_ == std::map<std::string, std::string>{ { "p/b", "new" } });
}

// Requests go to servers that left while this host was frozen: it went on with
// what peers had said before.
TEST_CASE_METHOD(ToldMirrorFixture,
                 "PrefixMirror_DidNotRun_AsksBeforeItTrustsPeers")
{
  mirror_->MarkStale();
  Run();
  REQUIRE(store_.watches_.size() == 1);
  ApplyView(5, 8);
  AnswerWatch(StoreStatus::Ok, {}, 9);
  CHECK(store_.watches_.empty());
}

class HostLeaseFixture
{
protected:
  HostLeaseFixture()
  {
    HostLease::Options options;
    options.key_ = "h/a";
    options.value_ = "v";
    options.renewal_ = std::chrono::milliseconds(0);
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
    FakeStore::Take(store_.grants_)({ StoreStatus::Ok, 7 });
    FakeStore::Take(store_.commits_).second({ StoreStatus::Ok, 1, {} });
    Run();
  }

  boost::asio::io_context context_;
  FakeStore store_;
  StoreHealth health_;
  std::optional<HostLease> lease_;
};

TEST_CASE_METHOD(HostLeaseFixture, "HostLease_Granted_RegistersUnderTheLease")
{
  FakeStore::Take(store_.grants_)({ StoreStatus::Ok, 7 });
  REQUIRE(store_.commits_.size() == 1);
  CHECK(store_.commits_.front().first.writes_.front().lease_ == 7);
}

// Jobs of a living host are taken over. The store was away, the host's lease
// lapsed, and nothing registered the host again.
TEST_CASE_METHOD(HostLeaseFixture, "HostLease_LeaseLapsed_RegistersAgain")
{
  Register();
  FakeStore::Take(store_.renewals_)({ StoreStatus::NotFound, 7 });
  REQUIRE(store_.grants_.size() == 1);
  Register();
  CHECK(store_.renewals_.size() == 1);
}

TEST_CASE_METHOD(HostLeaseFixture,
                 "HostLease_KeyRemovedByOthers_IsWrittenAgain")
{
  Register();
  lease_->OnKeyRemoved();
  FakeStore::Take(store_.renewals_)({ StoreStatus::Ok, 7 });
  CHECK(store_.commits_.size() == 1);
}

// A job on a worker's disk is said not to exist: the host that was asked
// follows nothing and had not noticed that the store was away a moment ago.
TEST_CASE_METHOD(HostLeaseFixture, "HostLease_RenewalFails_StoreCountsAsLost")
{
  Register();
  CHECK_FALSE(health_.IsLost());
  FakeStore::Take(store_.renewals_)({ StoreStatus::Unknown, 7 });
  CHECK(health_.IsLost());
}

TEST_CASE_METHOD(HostLeaseFixture, "HostLease_Ended_RenewsNoMore")
{
  Register();
  bool isDone = false;
  lease_->End([&isDone] { isDone = true; });
  FakeStore::Take(store_.ends_)({ StoreStatus::Ok, 7 });
  CHECK(isDone);
  FakeStore::Take(store_.renewals_)({ StoreStatus::NotFound, 7 });
  CHECK(store_.grants_.empty());
}

} // namespace pumiceturn::metadata
