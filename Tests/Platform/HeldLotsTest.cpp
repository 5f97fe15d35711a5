#include "Tests/Platform/LotsFixture.h"

#include "LibLots/HeldLotFiles.h"
#include "Tests/Platform/TestRoute.h"
#include "Tests/TemporaryFolder.h"

namespace pumiceturn::adapter {

class HeldLotsFixture : protected LotsFixture
{
protected:
  TestHost& StartWorkerWithDisk(const std::string& aName)
  {
    dataFolder_ = FolderOf(aName);
    TestHost& worker = StartWorker(aName);
    dataFolder_.clear();
    return worker;
  }

  [[nodiscard]] std::string FolderOf(const std::string& aName) const
  {
    return folder_.Path() + "/" + aName;
  }

  /// Waits until the entry host knows as many peers.
  void AwaitPeers(int aCount)
  {
    RunUntil([&] {
      return Metrics(*entry_).find(fmt::format("pumiceturn_peers_heard {}",
                                               aCount)) != std::string::npos;
    });
  }

  [[nodiscard]] std::size_t FileCount(const std::string& aName) const
  {
    return lots::HeldLotFiles(FolderOf(aName)).ReadAll().size();
  }

  TemporaryFolder folder_;
};

// A partner's lot is refused for as long as the store is down, and comes again
// too late: nobody but the store could keep it.
TEST_CASE_METHOD(HeldLotsFixture,
                 "HeldLots_StoreAway_LotIsKeptAndRunAfterwards")
{
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  store_.SetMood(StoreMood::Refusing);
  CHECK(Submit(*entry_, 5) == 202);
  CHECK(FileCount("worker-1") + FileCount("worker-2") == 2);
  CHECK(store_.Get("pumiceturn/lot/lot1").empty());
  // Sent again, it is the same lot.
  CHECK(Submit(*entry_, 5) == 202);
  store_.SetMood(StoreMood::Serving);
  WaitForAll(*entry_, 5);
  CHECK(RequestCount() == 5);
  RunUntil(
    [this] { return FileCount("worker-1") + FileCount("worker-2") == 0; });
}

// A lot is lost: it was acknowledged with a single copy on a disk, and that
// host was lost next.
TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_OneDiskAlone_IsNotEnough")
{
  StartWorkerWithDisk("worker-1");
  StartWorker("worker-2");
  AwaitPeers(2);
  store_.SetMood(StoreMood::Refusing);
  // One worker may have it, and would run it: "not run" would be a lie.
  CHECK(Submit(*entry_, 2) == 504);
  store_.SetMood(StoreMood::Serving);
  WaitForAll(*entry_, 2);
}

TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_NoDisk_LotIsRefusedAsNotRun")
{
  StartWorker("worker-1");
  StartWorker("worker-2");
  AwaitPeers(2);
  store_.SetMood(StoreMood::Refusing);
  CHECK(Submit(*entry_, 2) == 503);
  store_.SetMood(StoreMood::Serving);
  RunUntil([this] { return Submit(*entry_, 2) == 202; });
  WaitForAll(*entry_, 2);
  CHECK(RequestCount() == 2);
}

// Power fails while the store is down: the lots that were accepted meanwhile
// are on the disk of a host that starts anew.
TEST_CASE_METHOD(HeldLotsFixture,
                 "HeldLots_HostStartsAnew_StoresWhatItsDiskHas")
{
  lots::HeldLot lot;
  lot.id_ = "lot1";
  lot.state_.owner_ = "worker-1/0";
  lot.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  lot.state_.itemCount_ = 3;
  lot.state_.hostName_ = "a.example";
  lot.state_.path_ = "/lots/1";
  lot.content_ = LotBody(3);
  CHECK_FALSE(lots::HeldLotFiles(FolderOf("worker-1")).Write(lot).error_);
  StartWorkerWithDisk("worker-1");
  WaitForAll(*entry_, 3);
  RunUntil([this] { return FileCount("worker-1") == 0; });
}

// An organisation is told that its lot is accepted, under an id that another's
// lot has.
TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_IdOfAnothersLot_IsNotTaken")
{
  StartWorkerWithDisk("worker-1");
  lots::HeldLot lot;
  lot.id_ = "lot1";
  lot.state_.owner_ = "worker-1/1";
  lot.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  lot.state_.itemCount_ = 3;
  lot.state_.organisation_ = "archive";
  store_.Put("pumiceturn/lot/lot1", lots::EncodeState(lot.state_));
  const auto statusOf = [this, &lot] {
    return Send(hosts_.back()->passOnPort_,
                "PUT",
                "/held/lot1",
                {},
                lots::EncodeHeldLot(lot));
  };
  lot.content_ = LotBody(3);
  RunUntil(
    [this] { return Ask(*entry_, "GET", "/api/lots/lot1")->status_ != 404; });
  const auto same = statusOf();
  RunUntil([&same] { return same->IsOver(); });
  lot.state_.organisation_ = "portal";
  const auto other = statusOf();
  RunUntil([&other] { return other->IsOver(); });
  CHECK(other->status_ == 503);
  CHECK(same->status_ == 200);
}

// A lot runs a second time: a host that was off for long still had it on its
// disk, and the store had forgotten that it was finished.
TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_OlderThanRetention_IsDropped")
{
  lots::HeldLot lot;
  lot.id_ = "lot1";
  lot.state_.acceptedAtMs_ =
    base::ToUnixMs(base::WallNow() - std::chrono::hours(1));
  lot.state_.itemCount_ = 1;
  lot.state_.hostName_ = "a.example";
  lot.state_.path_ = "/lots/1";
  lot.content_ = LotBody(1);
  CHECK_FALSE(lots::HeldLotFiles(FolderOf("worker-1")).Write(lot).error_);
  StartWorkerWithDisk("worker-1");
  RunUntil([this] { return FileCount("worker-1") == 0; });
  CHECK(store_.Get("pumiceturn/lot/lot1").empty());
  CHECK(RequestCount() == 0);
}

// Lots pile up on the workers' disks while the store is away, and exceed their
// route's cap together once it is back: the ledger could not be asked.
TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_RouteIsCapped_DisksTakeTheirPart")
{
  capOverage_ = 0.1;
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  nlohmann::json route = MakeTestRoute("lots", "batch");
  route["cap"] = 1000;
  const nlohmann::json configuration = {
    { "version", 7 },
    { "routes", { std::move(route), MakeTestRoute("capped", "safe") } },
    { "services", { { { "name", "service" }, { "maxConns", 100 } } } }
  };
  store_.Put("op/config", configuration.dump());
  for (const auto& host : hosts_) {
    RunUntil([&] { return Ask(*host, "GET", "/capped/1")->status_ != 404; });
  }
  store_.SetMood(StoreMood::Refusing);
  // 99 of 100 tokens beyond the cap, on both disks.
  CHECK(Submit(*entry_, 11) == 202);
  CHECK(
    Ask(
      *entry_, "POST", "/lots/1", "Attempt-Id: lot2\r\n", LotBody(1, "second-"))
      ->status_ == 503);
  // Sent again, the first is still accepted.
  CHECK(Submit(*entry_, 11) == 202);
  store_.SetMood(StoreMood::Serving);
  WaitForAll(*entry_, 11);
}

// A sender brings its lot to two entry hosts at once, and both to the same
// worker: one of the two is never told that the lot is on the disk.
TEST_CASE_METHOD(HeldLotsFixture, "HeldLots_BroughtTwiceAtOnce_BothAreAnswered")
{
  TestHost& worker = StartWorkerWithDisk("worker-1");
  store_.SetMood(StoreMood::Refusing);
  lots::HeldLot lot;
  lot.id_ = "lot1";
  lot.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  lot.content_ = LotBody(1);
  const std::string body = lots::EncodeHeldLot(lot);
  const auto bring = [&] {
    return SendTo(Loopback(worker.passOnPort_), "PUT", "/held/lot1", {}, body);
  };
  const auto first = bring();
  const auto second = bring();
  RunUntil([&] { return first->IsOver() && second->IsOver(); });
  CHECK(first->status_ == 200);
  CHECK(second->status_ == 200);
  CHECK(FileCount("worker-1") == 1);
}

} // namespace pumiceturn::adapter
