#include "Tests/Platform/BatchJobsFixture.h"

#include <chrono>

namespace pumiceturn::adapter {

class StorePathFixture : protected BatchJobsFixture
{
protected:
  void MakeStoreRefuse(const TestHost& aHost)
  {
    store_.SetPortBehaviour(aHost.storePort_, StoreBehaviour::Refusing);
  }

  void MakeStoreServe(const TestHost& aHost)
  {
    store_.SetPortBehaviour(aHost.storePort_, StoreBehaviour::Serving);
  }

  /// Starts a worker and waits until it is assigned jobs.
  TestHost& StartWorkerWithJobs()
  {
    TestHost& worker = StartWorker("worker");
    // Limits the rate of submissions: thousands of jobs would still occupy the
    // path to the store during the test itself.
    constexpr std::chrono::milliseconds kPause{ 50 };
    int tries = 0;
    std::string job;
    auto nextAt = std::chrono::steady_clock::now();
    RunUntil([this, &tries, &job, &nextAt, kPause] {
      if (std::chrono::steady_clock::now() >= nextAt) {
        nextAt = std::chrono::steady_clock::now() + kPause;
        job = "first" + std::to_string(++tries);
        (void)SendAndWait(*entry_,
                          "POST",
                          "/lots/1",
                          "Attempt-Id: " + job + "\r\n",
                          JobBody(1));
      }
      return store_.Get("pumiceturn/lot/" + job).find("worker") !=
             std::string::npos;
    });
    return worker;
  }

  [[nodiscard]] std::size_t ServedCount(const TestHost& aHost) const
  {
    return store_.ServedCount(aHost.storePort_);
  }
};

// Guards against rerunning a job's items because the store refuses the worker's
// calls.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_StoreRefusesWorker_FinishesItsJob")
{
  TestHost& worker = StartWorkerWithJobs();
  MakeStoreRefuse(worker);
  const std::size_t before = ServedCount(worker);
  CHECK(Submit(*entry_, 5) == 202);
  WaitForAll(*entry_, 5);
  CHECK(store_.Get("pumiceturn/lot/lot1").find("worker") != std::string::npos);
  CHECK(ServedCount(worker) == before);
}

// Guards against rejecting a job at a host that reaches the store through peers
// only.
TEST_CASE_METHOD(StorePathFixture, "StorePath_StoreRefusesEntry_AcceptsAJob")
{
  StartWorkerWithJobs();
  MakeStoreRefuse(*entry_);
  RunUntil([this] { return Submit(*entry_, 3) == 202; });
  WaitForAll(*entry_, 3);
}

// Guards against calls that hang because they go through a peer that is cut
// off.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_SomePeersCutOff_UsesAReachablePeer")
{
  boost::asio::ip::tcp::acceptor cutOff(context_, Loopback(0));
  bool isContacted = false;
  cutOff.async_accept([&isContacted](const boost::system::error_code& aError,
                                     const boost::asio::ip::tcp::socket&) {
    isContacted = isContacted || !aError;
  });
  for (const char* host : { "c-1", "c-2", "c-3", "c-4", "c-5" }) {
    store_.Put(
      fmt::format("pumiceturn/host/{}", host),
      json{ { "owner", fmt::format("{}/1", host) },
            { "peer", fmt::format("127.0.0.1:{}", ReservePort()) },
            { "calls",
              fmt::format("127.0.0.1:{}", cutOff.local_endpoint().port()) },
            { "worker", false } }
        .dump());
  }
  StartWorkerWithJobs();
  RunUntil([this] {
    return Metrics(*entry_).find("pumiceturn_peers_heard 1") !=
           std::string::npos;
  });
  MakeStoreRefuse(*entry_);
  RunUntil([this] { return Submit(*entry_, 3) == 202; });
  CHECK_FALSE(isContacted);
}

// Guards against a host that keeps calling the store through its peers after
// its direct path to the store has recovered.
TEST_CASE_METHOD(StorePathFixture, "StorePath_DirectPathRecovers_IsUsedAgain")
{
  TestHost& worker = StartWorkerWithJobs();
  MakeStoreRefuse(worker);
  CHECK(Submit(*entry_, 2) == 202);
  WaitForAll(*entry_, 2);
  const std::size_t before = ServedCount(worker);
  MakeStoreServe(worker);
  RunUntil([&] { return ServedCount(worker) > before + 5; });
}

// Guards against hosts calling the store only through each other after it has
// recovered.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_StoreRefusesAll_RecoversAfterwards")
{
  TestHost& worker = StartWorkerWithJobs();
  MakeStoreRefuse(worker);
  MakeStoreRefuse(*entry_);
  RunUntil([this] { return Submit(*entry_, 2) == 503; });
  // An open watch may still deliver the first version, but not the second.
  WriteConfiguration(7);
  WriteConfiguration(8);
  MakeStoreServe(worker);
  MakeStoreServe(*entry_);
  RunUntil([this] {
    return SendAndWait(*entry_, "POST", "/v8/1", "Attempt-Id: r1\r\n")
             ->status_ == 200;
  });
  RunUntil([this] { return Submit(*entry_, 2) == 202; });
  WaitForAll(*entry_, 2);
}

// Guards against unknown calls to the address for forwarded calls having an
// effect.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_UnknownCall_IsRejectedWithoutEffect")
{
  const std::size_t before = store_.Keys("").size();
  for (const std::string target : { "/", "/store", "/elsewhere" }) {
    CHECK(
      SendToAndWait(Loopback(entry_->forwardPort_), "POST", target)->status_ !=
      200);
  }
  CHECK(store_.Keys("").size() == before);
}

} // namespace pumiceturn::adapter
