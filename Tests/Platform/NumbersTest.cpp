#include "Tests/Platform/BatchJobsFixture.h"

#include "LibBatch/BatchJob.h"
#include "LibHttpStream/Status.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

using nlohmann::json;

namespace {

/// What callers have seen of a job at any host.
class SeenResults
{
public:
  /// Checks a page against everything that was seen before.
  void Check(const json& aPage, std::size_t aPosition)
  {
    const std::size_t total = aPage["total"];
    CHECK(total == total_.value_or(total));
    total_ = total;
    const json& results = aPage["results"];
    CHECK(aPage["next"] == aPosition + results.size());
    for (std::size_t index = 0; index < results.size(); ++index) {
      CheckResult(results[index], aPosition + index);
    }
    // Pages of these jobs are far below the size limit of a response, so each
    // holds all results from its position on.
    CHECK((results_.size() <= aPosition ||
           aPosition + results.size() == results_.size()));
  }

  [[nodiscard]] std::size_t Count() const { return results_.size(); }

private:
  void CheckResult(const json& aResult, std::size_t aPosition)
  {
    const auto [known, isNew] = results_.try_emplace(aPosition, aResult);
    CHECK(known->second == aResult);
    if (isNew) {
      CHECK(items_.insert(aResult["id"].get<std::string>()).second);
      CHECK(aResult["state"] == "completed");
      CHECK(aResult["output"] == WholeOutput());
    }
  }

  std::optional<std::size_t> total_;
  std::map<std::size_t, json> results_; ///< By position.
  std::set<std::string> items_;
};

} // namespace

/// Two hosts at which a job is read while its owners fail.
class NumbersFixture : protected BatchJobsFixture
{
protected:
  NumbersFixture()
  {
    other_ = &StartHost("other", batch::BatchPreference::Fallback);
  }

  [[nodiscard]] std::string StoredOwner() const
  {
    const auto state = batch::DecodeState(store_.Get(kStateKey));
    return state ? state->owner_ : std::string();
  }

  /// Waits until the entry host assigns jobs to workers, and until none of the
  /// jobs that show this is left.
  void AwaitWorkers()
  {
    // Limits the number of these jobs.
    constexpr std::chrono::milliseconds kPause{ 1000 };
    base::Instant nextAt = base::MonotonicNow();
    int jobs = 0;
    std::string stateKey;
    const auto isFinishedByWorker = [&] {
      const auto state = batch::DecodeState(store_.Get(stateKey));
      return state && state->isFinished_ && state->owner_.starts_with("worker");
    };
    RunUntil([&] {
      if (base::MonotonicNow() >= nextAt) {
        nextAt = base::MonotonicNow() + kPause;
        const std::string job = fmt::format("first-{}", ++jobs);
        stateKey = "pumiceturn/lot/" + job;
        (void)SendAndWait(*entry_,
                          "POST",
                          "/lots/1",
                          "Attempt-Id: " + job + "\r\n",
                          JobBody(1, job));
      }
      return isFinishedByWorker();
    });
  }

  /// Registers the servers. Each of them finishes one item, stops within
  /// another one, and refuses all others.
  void StartServers()
  {
    constexpr std::uint64_t kEventsBeforeBreak = 3;
    for (const auto& server : servers_) {
      server->ClearScripts();
      server->Enqueue({ ServerScript::Kind::Stream, 0, 0 });
      server->Enqueue({ ServerScript::Kind::Break, kEventsBeforeBreak, 0 });
      for (int attempt = 0; attempt < kManyAttempts; ++attempt) {
        server->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
      }
    }
    RegisterServers();
  }

  void RegisterServers()
  {
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      store_.Put(fmt::format("servers/i-{}", index + 1),
                 servers_[index]->Registration("service", "ready"));
    }
  }

  /// Removes the servers' registrations and waits until no item runs: a gateway
  /// must not be destroyed while an attempt still refers to it.
  void StopServers()
  {
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      store_.Remove(fmt::format("servers/i-{}", index + 1));
    }
    constexpr std::chrono::milliseconds kAttemptTime{ 700 };
    ReadFor(kAttemptTime);
  }

  void ReadAt(TestHost& aHost, std::size_t aPosition)
  {
    const auto call = SendAndWait(
      aHost, "GET", "/api/lots/lot1?after=" + std::to_string(aPosition));
    if (call->status_ == httpstream::kStatusUnavailable) {
      return;
    }
    REQUIRE(call->status_ == httpstream::kStatusOk);
    seen_.Check(json::parse(call->body_), aPosition);
  }

  /// Reads at both hosts, from the beginning and from later positions.
  void ReadOnce()
  {
    for (TestHost* host : { entry_, other_ }) {
      ReadAt(*host, 0);
      ReadAt(*host, seen_.Count() / 2);
      ReadAt(*host, seen_.Count());
    }
  }

  void ReadUntilSeen(std::size_t aCount)
  {
    RunUntil([&] {
      ReadOnce();
      return seen_.Count() >= aCount;
    });
  }

  void ReadFor(base::Duration aTime)
  {
    const base::Instant end = base::MonotonicNow() + aTime;
    RunUntil([&] {
      ReadOnce();
      return base::MonotonicNow() >= end;
    });
  }

  /// Ends a host with its calls to the store, whose responses would reach the
  /// ended gateway.
  static void EndProcess(TestHost& aHost)
  {
    aHost.gateway_.reset();
    aHost.store_.reset();
    aHost.storeTransport_.reset();
  }

  /// Ends a host and removes its registration.
  void EndHost(const std::string& aName, TestHost& aHost)
  {
    EndProcess(aHost);
    store_.Remove("pumiceturn/host/" + aName);
  }

  /// @return how many attempts went on after the first events of an item.
  [[nodiscard]] std::size_t ResumedCount() const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      for (const httpstream::Request& request : server->Requests()) {
        count += httpstream::ValueOf(request, "Last-Event-Id").empty() ? 0 : 1;
      }
    }
    return count;
  }

  static constexpr int kManyAttempts = 200;
  static constexpr const char* kStateKey = "pumiceturn/lot/lot1";
  TestHost* other_ = nullptr;
  SeenResults seen_;
};

// Guards against positions, totals or the position to go on from that differ
// between hosts, or go back, while a job is taken over.
TEST_CASE_METHOD(NumbersFixture,
                 "Numbers_JobTakenOverWhileRead_NoneChangesOrGoesBack")
{
  constexpr int kItems = 8;
  constexpr std::chrono::milliseconds kProgressTime{ 1500 };
  std::map<std::string, TestHost*> workers;
  for (const std::string name : { "worker-1", "worker-2" }) {
    workers[name + "/1"] = &StartWorker(name);
  }
  AwaitWorkers();
  StartServers();
  REQUIRE(Submit(*entry_, kItems) == 202);
  // The last owner is one of the hosts at which the job is read.
  while (!workers.empty()) {
    ReadUntilSeen(seen_.Count() + servers_.size());
    // Partial outputs are stored once a second.
    ReadFor(kProgressTime);
    StopServers();
    const std::string owner = StoredOwner();
    REQUIRE(workers.contains(owner));
    EndHost(owner.substr(0, owner.find('/')), *workers[owner]);
    workers.erase(owner);
    RunUntil([&] {
      ReadOnce();
      return StoredOwner() != owner;
    });
    StartServers();
  }
  for (const auto& server : servers_) {
    server->ClearScripts();
  }
  ReadUntilSeen(kItems);
  CHECK(seen_.Count() == kItems);
  CHECK(ResumedCount() > 0);
}

// Guards against a page without results for a finished job: a read that waits
// at the former owner must not be answered from a copy that was discarded.
TEST_CASE_METHOD(NumbersFixture,
                 "Numbers_JobFinishedElsewhereWhileReadWaits_ResultsAreRead")
{
  for (const auto& server : servers_) {
    server->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  }
  REQUIRE(Submit(*entry_, 1) == 202);
  RunUntil([this] { return RequestCount() == 1; });
  TestHost& owner = StoredOwner() == "entry/1" ? *entry_ : *other_;
  const auto reader = Send(
    owner.callerPort_, "GET", "/api/lots/lot1?after=0", "Wait-Ms: 1000\r\n");
  const base::Instant sentAt = base::MonotonicNow();
  constexpr std::chrono::milliseconds kReadTime{ 100 };
  RunUntil([&] { return base::MonotonicNow() - sentAt > kReadTime; });
  REQUIRE_FALSE(reader->HasEnded());
  // Another host takes the job over and finishes it, between two responses of
  // the former owner's watch.
  auto state = *batch::DecodeState(store_.Get(kStateKey));
  state.owner_ = "elsewhere/1";
  state.isFinished_ = true;
  store_.Put("pumiceturn/data/lot1/result/000000",
             batch::EncodeResults(
               { { "item-0", batch::ItemState::Completed, WholeOutput() } }));
  store_.Put(kStateKey, batch::EncodeState(state));
  RunUntil([&reader] { return reader->HasEnded(); });
  REQUIRE(Results(*entry_)["next"] == 1);
  if (reader->status_ != httpstream::kStatusUnavailable) {
    CHECK(json::parse(reader->body_) == Results(*entry_));
  }
}

// Guards against passing on what another process answers at the address of a
// job's owner, before the owner's registration has ended.
TEST_CASE_METHOD(NumbersFixture,
                 "Numbers_OwnersAddressTakenByAnotherProcess_ReadsTheStore")
{
  const std::string answer =
    GENERATE(std::string(), R"({"total":9,"next":0,"results":[]})");
  TestHost& worker = StartWorker("worker");
  AwaitWorkers();
  REQUIRE(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  REQUIRE(StoredOwner() == "worker/1");
  EndProcess(worker);
  std::size_t answered = 0;
  httpstream::Listener elsewhere(
    context_, [&](const std::shared_ptr<httpstream::Exchange>& aExchange) {
      ++answered;
      aExchange->Respond(httpstream::MakeResponse(
        answer.empty() ? httpstream::kStatusNotFound : httpstream::kStatusOk,
        answer));
    });
  REQUIRE_FALSE(elsewhere.Open(Loopback(worker.forwardPort_)));
  const auto call = SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0");
  CHECK(answered > 0);
  REQUIRE(call->status_ == httpstream::kStatusOk);
  CHECK(json::parse(call->body_) == page);
}

// Guards against reads that all go to the store, as the owner's answers aren't
// taken for its own.
TEST_CASE_METHOD(NumbersFixture,
                 "Numbers_OwnerAnswersForwardedRead_StoreIsNotRead")
{
  StartWorker("worker");
  AwaitWorkers();
  REQUIRE(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  REQUIRE(StoredOwner() == "worker/1");
  constexpr std::size_t kReads = 200;
  const std::size_t before = store_.CallCount();
  for (std::size_t read = 0; read < kReads; ++read) {
    REQUIRE(Results(*entry_) == page);
  }
  CHECK(store_.CallCount() - before < kReads / 2);
}

// Guards against an answer of the process that follows a job's owner at its
// address and under its name.
TEST_CASE_METHOD(NumbersFixture, "Numbers_CallIsForFormerProcess_IsRejected")
{
  REQUIRE(Submit(*entry_, 2) == 202);
  (void)WaitForAll(*entry_, 2);
  const std::string owner = StoredOwner();
  const TestHost& host = owner == "entry/1" ? *entry_ : *other_;
  const auto readFor = [&](const std::string& aOwner) {
    const auto call = Send(host.forwardPort_,
                           "GET",
                           "/api/lots/lot1?after=0",
                           "Job-Owner: " + aOwner + "\r\n");
    RunUntil([&call] { return call->HasEnded(); });
    return call->status_;
  };
  CHECK(readFor(owner) == httpstream::kStatusOk);
  CHECK(readFor(owner + "2") == httpstream::kStatusMisdirected);
}

// Guards against fewer results than another host has already returned, at an
// owner that is cut off from the store for longer than its registration lasts.
TEST_CASE_METHOD(NumbersFixture,
                 "Numbers_OwnerCutOffAndReplaced_FormerResultsAreNotRead")
{
  constexpr std::chrono::seconds kCutOffTime{ 6 };
  for (const auto& server : servers_) {
    server->Enqueue({ ServerScript::Kind::Stream, 0, 0 });
    for (int attempt = 0; attempt < kManyAttempts; ++attempt) {
      server->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
    }
  }
  REQUIRE(Submit(*entry_, 3) == 202);
  RunUntil([this] { return Results(*entry_)["next"] == 2; });
  TestHost& owner = StoredOwner() == "entry/1" ? *entry_ : *other_;
  // The hosts of one side of a partition can't reach the store through each
  // other.
  for (const TestHost* host : { entry_, other_ }) {
    store_.SetPortBehaviour(host->storePort_, StoreBehaviour::Refusing);
  }
  // A host of the other side takes the job over and finishes it.
  auto state = *batch::DecodeState(store_.Get(kStateKey));
  state.owner_ = "elsewhere/1";
  state.isFinished_ = true;
  store_.Remove("pumiceturn/host/entry");
  store_.Remove("pumiceturn/host/other");
  store_.Put("pumiceturn/data/lot1/result/000002",
             batch::EncodeResults(
               { { "item-2", batch::ItemState::Completed, WholeOutput() } }));
  store_.Put(kStateKey, batch::EncodeState(state));
  const base::Instant end = base::MonotonicNow() + kCutOffTime;
  RunUntil([&] { return base::MonotonicNow() >= end; });
  const auto call = SendAndWait(owner, "GET", "/api/lots/lot1?after=0");
  if (call->status_ != httpstream::kStatusUnavailable) {
    CHECK(json::parse(call->body_)["next"] == 3);
  }
}

/// A job whose owner is cut off from the store after two of three results.
class CutOffOwnerFixture : protected NumbersFixture
{
protected:
  CutOffOwnerFixture()
  {
    for (const auto& server : servers_) {
      server->Enqueue({ ServerScript::Kind::Stream, 0, 0 });
      for (int attempt = 0; attempt < kManyAttempts; ++attempt) {
        server->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
      }
    }
  }

  [[nodiscard]] TestHost& Owner()
  {
    return StoredOwner() == "entry/1" ? *entry_ : *other_;
  }

  void SetStore(StoreBehaviour aBehaviour)
  {
    for (const TestHost* host : { entry_, other_ }) {
      store_.SetPortBehaviour(host->storePort_, aBehaviour);
    }
  }

  void RunFor(base::Duration aTime)
  {
    const base::Instant end = base::MonotonicNow() + aTime;
    RunUntil([end] { return base::MonotonicNow() >= end; });
  }

  /// Longer than a registration lasts and a takeover takes.
  static constexpr std::chrono::seconds kLongOutage{ 6 };
  static constexpr std::chrono::milliseconds kShortOutage{ 1500 };
};

// Guards against refused reads at a job's owner while the store is away for
// less time than the owner's registration lasts.
TEST_CASE_METHOD(CutOffOwnerFixture,
                 "Numbers_StoreAwayBriefly_OwnerAnswersReads")
{
  REQUIRE(Submit(*entry_, 3) == 202);
  RunUntil([this] { return Results(*entry_)["next"] == 2; });
  TestHost& owner = Owner();
  SetStore(StoreBehaviour::Refusing);
  const base::Instant end = base::MonotonicNow() + kShortOutage;
  while (base::MonotonicNow() < end) {
    REQUIRE(Results(owner)["next"] == 2);
    RunFor(std::chrono::milliseconds{ 50 });
  }
}

// Guards against refused reads of what no other host can have more of: a job
// whose results are all listed, and the bodies of items.
TEST_CASE_METHOD(CutOffOwnerFixture,
                 "Numbers_StoreAwayForLong_OwnerAnswersWhatCannotChange")
{
  REQUIRE(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  TestHost& owner = Owner();
  SetStore(StoreBehaviour::Refusing);
  RunFor(kLongOutage);
  CHECK(Results(owner) == page);
  CHECK(SendAndWait(owner, "GET", "/api/items/lot1?id=item-0")->status_ ==
        httpstream::kStatusOk);
}

// Guards against fewer results than another host has already returned, at an
// owner that was replaced while it was cut off, just after it is registered
// again.
TEST_CASE_METHOD(CutOffOwnerFixture,
                 "Numbers_ReplacedOwnerIsBack_FormerResultsAreNotRead")
{
  REQUIRE(Submit(*entry_, 3) == 202);
  RunUntil([this] { return Results(*entry_)["next"] == 2; });
  TestHost& owner = Owner();
  SetStore(StoreBehaviour::Refusing);
  auto state = *batch::DecodeState(store_.Get(kStateKey));
  state.owner_ = "elsewhere/1";
  state.isFinished_ = true;
  store_.Remove("pumiceturn/host/entry");
  store_.Remove("pumiceturn/host/other");
  store_.Put("pumiceturn/data/lot1/result/000002",
             batch::EncodeResults(
               { { "item-2", batch::ItemState::Completed, WholeOutput() } }));
  store_.Put(kStateKey, batch::EncodeState(state));
  RunFor(kLongOutage);
  SetStore(StoreBehaviour::Serving);
  std::size_t next = 0;
  while (next != 3) {
    const auto call = SendAndWait(owner, "GET", "/api/lots/lot1?after=0");
    if (call->status_ != httpstream::kStatusUnavailable) {
      REQUIRE(call->status_ == httpstream::kStatusOk);
      next = json::parse(call->body_)["next"];
      REQUIRE(next == 3);
    }
  }
}

// Guards against reads that stay refused after the store is back, at an owner
// that nobody has replaced.
TEST_CASE_METHOD(CutOffOwnerFixture,
                 "Numbers_StoreBackAfterLong_OwnerAnswersReads")
{
  REQUIRE(Submit(*entry_, 3) == 202);
  RunUntil([this] { return Results(*entry_)["next"] == 2; });
  TestHost& owner = Owner();
  SetStore(StoreBehaviour::Refusing);
  RunFor(kLongOutage);
  CHECK(SendAndWait(owner, "GET", "/api/lots/lot1?after=0")->status_ ==
        httpstream::kStatusUnavailable);
  SetStore(StoreBehaviour::Serving);
  RunUntil([&] { return Results(owner)["next"] == 2; });
  // The answers come from memory again: the number of calls doesn't grow with
  // the reads.
  constexpr std::chrono::seconds kSettleTime{ 3 };
  RunFor(kSettleTime);
  constexpr std::size_t kReads = 200;
  const std::size_t before = store_.CallCount();
  for (std::size_t read = 0; read < kReads; ++read) {
    REQUIRE(Results(owner)["next"] == 2);
  }
  CHECK(store_.CallCount() - before < kReads / 2);
}

/// Endpoints whose process can't be told for a while.
class ProcessIdentityFixture : protected BatchJobsFixture
{
protected:
  ProcessIdentityFixture()
  {
    RunUntil([this] {
      return SendToAndWait(Loopback(entry_->statusPort_), "GET", "/api/ready")
               ->status_ == httpstream::kStatusOk;
    });
  }

  /// Begins streams that stop after three events until one is at a server, and
  /// disconnects from the others.
  std::unique_ptr<CallerCall> BeginStreamAt(const ServerStandin& aServer)
  {
    std::unique_ptr<CallerCall> call;
    const std::size_t before = aServer.Requests().size();
    while (aServer.Requests().size() == before) {
      if (call) {
        call->connection_->Cancel();
      }
      call = Send(entry_->callerPort_,
                  "POST",
                  "/resumable/hold-3",
                  fmt::format("Attempt-Id: r{}\r\n", ++streams_));
      RunUntil([&] { return call->body_.find("id: 3") != std::string::npos; });
    }
    return call;
  }

  /// The rest of a stream is asked for at the other server, which has started
  /// again with other software and isn't registered yet.
  void BreakStreamAfterRestart(CallerCall& aCall,
                               ServerStandin& aServer,
                               ServerStandin& aRestarted)
  {
    // No process starts again sooner.
    constexpr std::chrono::milliseconds kRestartTime{ 200 };
    const base::Instant endedAt = base::MonotonicNow();
    RunUntil([&] { return base::MonotonicNow() - endedAt > kRestartTime; });
    aRestarted.SimulateRestart();
    aRestarted.SetVersion("v2");
    aServer.Crash();
    RunUntil([&] { return aCall.HasEnded(); });
  }

  int streams_ = 0;
};

// Guards against a rest that is asked for at the next process under an
// endpoint's id, as one report of the former process lacked its start.
TEST_CASE_METHOD(ProcessIdentityFixture,
                 "ProcessIdentity_OneReportLackedStart_RestIsOfOneVersion")
{
  const bool hasLackedStart = GENERATE(false, true);
  servers_[1]->SetReportsStart(!hasLackedStart);
  const auto other = BeginStreamAt(*servers_[1]);
  servers_[1]->SetReportsStart(true);
  const auto call = BeginStreamAt(*servers_[0]);
  // Connections of the former process end with it.
  other->connection_->Cancel();
  RunUntil([this] { return servers_[1]->DisconnectedCount() > 0; });
  BreakStreamAfterRestart(*call, *servers_[0], *servers_[1]);
  CHECK(WholeStream().starts_with(call->body_));
}

// Guards against a rest that is asked for at the next process under an
// endpoint's id, as the entry in the store names no start.
TEST_CASE_METHOD(ProcessIdentityFixture,
                 "ProcessIdentity_EntryLacksStart_RestIsOfOneVersion")
{
  ServerStandin& unnamed = AddServer("i-3");
  json entry = json::parse(unnamed.Registration("service", "ready"));
  entry.erase("born");
  store_.Remove("servers/i-2");
  store_.Put("servers/i-3", entry.dump());
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  const auto call = BeginStreamAt(*servers_[0]);
  BreakStreamAfterRestart(*call, *servers_[0], unnamed);
  CHECK(WholeStream().starts_with(call->body_));
}

// Guards against a report for each connection to endpoints that tell no start
// in their entries and reports.
TEST_CASE_METHOD(ProcessIdentityFixture,
                 "ProcessIdentity_NoStartIsTold_OneReportIsAskedFor")
{
  for (const auto& server : servers_) {
    server->SetReportsStart(false);
  }
  std::vector<ServerStandin*> unnamed;
  for (const std::string id : { "i-3", "i-4" }) {
    unnamed.push_back(&AddServer(id));
    unnamed.back()->SetReportsStart(false);
    json entry = json::parse(unnamed.back()->Registration("service", "ready"));
    entry.erase("born");
    store_.Put("servers/" + id, entry.dump());
  }
  store_.Remove("servers/i-1");
  store_.Remove("servers/i-2");
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  constexpr int kStreams = 10;
  for (int stream = 0; stream < kStreams; ++stream) {
    // Its connection ends with it.
    BeginStreamAt(*unnamed[stream % 2])->connection_->Cancel();
  }
  CHECK(unnamed[0]->ReportCount() + unnamed[1]->ReportCount() == 1);
}

/// An endpoint whose process ends within a report that has no length. The next
/// process at its address has other software.
class CutReportFixture : protected ProcessIdentityFixture
{
protected:
  CutReportFixture()
    : acceptor_(context_, Loopback(0))
    , socket_(context_)
    , nextProcess_(context_,
                   [this](const auto& aExchange) { Answer(aExchange); })
  {
    acceptor_.async_accept(socket_,
                           [this](const auto& /*aError*/) { ReadAndCut(); });
    json entry = json::parse(servers_[0]->Registration("service", "ready"));
    port_ = acceptor_.local_endpoint().port();
    entry["address"] = fmt::format("127.0.0.1:{}", port_);
    store_.Remove("servers/i-2");
    store_.Put("servers/i-3", entry.dump());
  }

  void ReadAndCut()
  {
    boost::asio::async_read_until(
      socket_,
      boost::asio::dynamic_buffer(input_),
      "\r\n\r\n",
      [this](const boost::system::error_code&, std::size_t) {
        boost::asio::write(socket_, boost::asio::buffer(reportBegin_));
        socket_.close();
        acceptor_.close();
      });
  }

  /// Answers as the next process does.
  void Answer(const std::shared_ptr<httpstream::Exchange>& aExchange)
  {
    const httpstream::Request& request = aExchange->GetRequest();
    if (httpstream::TargetOf(request) == "/api/report") {
      aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk,
                                                  R"({"born":2000000000000})"));
      return;
    }
    ++streamsAtNextProcess_;
    const auto after = httpstream::ValueOf(request, "Last-Event-Id");
    httpstream::Response response = httpstream::MakeResponse(
      httpstream::kStatusOk,
      WholeStream("v2", after.empty() ? 0 : std::stoull(std::string(after))),
      "text/event-stream");
    response.set("Attempt-Id",
                 std::string(httpstream::ValueOf(request, "Attempt-Id")));
    response.set("Server-Seal", "seal");
    aExchange->Respond(std::move(response));
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::string input_;
  std::string reportBegin_; ///< What the process sends before it ends.
  std::uint16_t port_ = 0;
  httpstream::Listener nextProcess_;
  std::size_t streamsAtNextProcess_ = 0;
};

// Guards against a rest that is asked for at the next process under an
// endpoint's id, as the former process ended within its report.
TEST_CASE_METHOD(CutReportFixture,
                 "ProcessIdentity_ProcessEndsInReport_RestIsOfOneVersion")
{
  reportBegin_ = GENERATE("", "HTTP/1.1 200 OK\r\n\r\n{\"phase\":\"colo");
  constexpr std::chrono::milliseconds kRestartTime{ 400 };
  constexpr std::chrono::milliseconds kPause{ 50 };
  constexpr std::chrono::seconds kMaxTime{ 5 };
  const auto runFor = [this](base::Duration aTime) {
    const base::Instant end = base::MonotonicNow() + aTime;
    RunUntil([end] { return base::MonotonicNow() >= end; });
  };
  while (acceptor_.is_open()) {
    BeginStreamAt(*servers_[0])->connection_->Cancel();
    runFor(kPause);
  }
  runFor(kRestartTime);
  REQUIRE_FALSE(nextProcess_.Open(Loopback(port_)));
  // Until the endpoint is used again.
  const base::Instant end = base::MonotonicNow() + kMaxTime;
  while (streamsAtNextProcess_ == 0 && base::MonotonicNow() < end) {
    BeginStreamAt(*servers_[0])->connection_->Cancel();
    runFor(kPause);
  }
  const auto call = BeginStreamAt(*servers_[0]);
  servers_[0]->Crash();
  RunUntil([&] { return call->HasEnded(); });
  CHECK(WholeStream().starts_with(call->body_));
  CHECK(streamsAtNextProcess_ == 0);
}

} // namespace pumiceturn::adapter
