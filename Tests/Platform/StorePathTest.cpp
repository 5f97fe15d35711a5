#include "Tests/Platform/BatchJobsFixture.h"

#include <chrono>

namespace pumiceturn::adapter {

class StorePathFixture : protected BatchJobsFixture
{
protected:
  void TurnAway(const TestHost& aHost)
  {
    store_.SetPortBehaviour(aHost.storePort_, StoreBehaviour::Refusing);
  }

  void LetIn(const TestHost& aHost)
  {
    store_.SetPortBehaviour(aHost.storePort_, StoreBehaviour::Serving);
  }

  /// Starts a worker and waits until the entry host gives it jobs.
  TestHost& StartKnownWorker()
  {
    TestHost& worker = StartWorker("worker");
    // One job at a time, and seldom: thousands would keep the only way to the
    // store busy when the test begins.
    constexpr std::chrono::milliseconds kPause{ 50 };
    int tries = 0;
    std::string job;
    auto nextAt = std::chrono::steady_clock::now();
    RunUntil([this, &tries, &job, &nextAt, kPause] {
      if (std::chrono::steady_clock::now() >= nextAt) {
        nextAt = std::chrono::steady_clock::now() + kPause;
        job = "first" + std::to_string(++tries);
        (void)Ask(*entry_,
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

// A job is late. The store turns away the host that runs it and serves the
// others; nothing that the host makes can be stored, its registration lapses,
// and another host runs the items once more.
TEST_CASE_METHOD(StorePathFixture, "StorePath_WorkerTurnedAway_FinishesItsJob")
{
  TestHost& worker = StartKnownWorker();
  TurnAway(worker);
  const std::size_t before = ServedCount(worker);
  CHECK(Submit(*entry_, 5) == 202);
  WaitForAll(*entry_, 5);
  CHECK(store_.Get("pumiceturn/lot/lot1").find("worker") != std::string::npos);
  CHECK(ServedCount(worker) == before);
}

// A partner's job is refused by a host that the store turns away, although its
// peers could have it stored.
TEST_CASE_METHOD(StorePathFixture, "StorePath_EntryTurnedAway_AcceptsAJob")
{
  StartKnownWorker();
  TurnAway(*entry_);
  RunUntil([this] { return Submit(*entry_, 3) == 202; });
  WaitForAll(*entry_, 3);
}

// A partner's job is accepted seconds late: the store turned the host away, and
// the peers that it asked to have the job stored were cut off from it, so that
// each call hung until its timeout.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_SomePeersCutOff_AsksTheOneItHears")
{
  boost::asio::ip::tcp::acceptor cutOff(context_, Loopback(0));
  bool isAsked = false;
  cutOff.async_accept([&isAsked](const boost::system::error_code& aError,
                                 const boost::asio::ip::tcp::socket&) {
    isAsked = isAsked || !aError;
  });
  for (const char* host : { "c-1", "c-2", "c-3", "c-4", "c-5" }) {
    store_.Put(
      fmt::format("pumiceturn/host/{}", host),
      json{ { "owner", fmt::format("{}/1", host) },
            { "peer", fmt::format("127.0.0.1:{}", FreePort()) },
            { "calls",
              fmt::format("127.0.0.1:{}", cutOff.local_endpoint().port()) },
            { "worker", false } }
        .dump());
  }
  StartKnownWorker();
  RunUntil([this] {
    return Metrics(*entry_).find("pumiceturn_peers_heard 1") !=
           std::string::npos;
  });
  TurnAway(*entry_);
  RunUntil([this] { return Submit(*entry_, 3) == 202; });
  CHECK_FALSE(isAsked);
}

// A host that the store turned away must come back to its own way, or its calls
// load a peer for good.
TEST_CASE_METHOD(StorePathFixture, "StorePath_LetInAgain_LeavesThePeersAlone")
{
  TestHost& worker = StartKnownWorker();
  TurnAway(worker);
  CHECK(Submit(*entry_, 2) == 202);
  WaitForAll(*entry_, 2);
  const std::size_t before = ServedCount(worker);
  LetIn(worker);
  RunUntil([&] { return ServedCount(worker) > before + 5; });
}

// A configuration doesn't come into force. The store is away for all hosts, and
// they ask each other instead of the store once it is back.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_AllTurnedAway_ComeBackByThemselves")
{
  TestHost& worker = StartKnownWorker();
  TurnAway(worker);
  TurnAway(*entry_);
  RunUntil([this] { return Submit(*entry_, 2) == 503; });
  // What a watch that was open before may still bring, then what none brings.
  WriteConfiguration(7);
  WriteConfiguration(8);
  LetIn(worker);
  LetIn(*entry_);
  RunUntil([this] {
    return Ask(*entry_, "POST", "/v8/1", "Attempt-Id: r1\r\n")->status_ == 200;
  });
  RunUntil([this] { return Submit(*entry_, 2) == 202; });
  WaitForAll(*entry_, 2);
}

// The address for peers is open to whatever reaches it.
TEST_CASE_METHOD(StorePathFixture, "StorePath_NoCallOfAPeer_IsAnsweredOnly")
{
  const std::size_t before = store_.Keys("").size();
  for (const std::string target : { "/", "/store", "/elsewhere" }) {
    CHECK(AskAt(Loopback(entry_->forwardPort_), "POST", target)->status_ !=
          200);
  }
  CHECK(store_.Keys("").size() == before);
}

} // namespace pumiceturn::adapter
