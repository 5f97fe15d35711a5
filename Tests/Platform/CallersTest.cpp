#include "LibBase/Base64.h"
#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

using nlohmann::json;
using namespace std::chrono_literals;

/// An entry host, a worker and a server, and two organisations with keys.
class CallersFixture : protected GatewayFixture
{
protected:
  CallersFixture()
  {
    revocationBound_ = 5s;
    Declare(
      { { "archive", { "key-a1", "key-a2" } }, { "portal", { "key-p" } } });
    AddServer("i-1");
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] { return IsReady(); });
  }

  struct Declared
  {
    std::string name_;
    std::vector<std::string> keys_;
    double rate_ = 0;
    double burst_ = 0;
  };

  /// Writes a configuration with a route for callers with keys, an open one,
  /// and one of jobs.
  void Declare(const std::vector<Declared>& aOrganisations)
  {
    json open = MakeTestRoute("open", "stream");
    open["noAuth"] = true;
    json jobs = MakeTestRoute("lots", "batch");
    jobs["cap"] = jobCap_;
    json rows = json::array();
    for (const Declared& organisation : aOrganisations) {
      rows.push_back({ { "name", organisation.name_ },
                       { "apiKeys", organisation.keys_ },
                       { "ratePerS", organisation.rate_ },
                       { "burst", organisation.burst_ } });
    }
    const json configuration = {
      { "version", ++version_ },
      { "routes",
        { MakeTestRoute("stream", "stream"),
          std::move(open),
          std::move(jobs) } },
      { "services", { { { "name", "service" }, { "maxConns", 100 } } } },
      { "tenants", std::move(rows) }
    };
    store_.Put("op/config", configuration.dump());
  }

  [[nodiscard]] bool IsReady()
  {
    return AskAt(Loopback(host_->statusPort_), "GET", "/api/ready")->status_ ==
           200;
  }

  std::unique_ptr<CallerCall> Call(const std::string& aPath,
                                   const std::string& aFields)
  {
    return Ask(*host_,
               "POST",
               aPath,
               "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n" + aFields);
  }

  static std::string Bearer(const std::string& aKey)
  {
    return "Authorization: Bearer " + aKey + "\r\n";
  }

  unsigned StatusFor(const std::string& aFields)
  {
    return Call("/stream/1", aFields)->status_;
  }

  /// @return a field of the last request that reached the server.
  [[nodiscard]] std::string Seen(std::string_view aName) const
  {
    return std::string(
      httpstream::ValueOf(servers_[0]->Requests().back(), aName));
  }

  unsigned SubmitJob(const std::string& aKey, const std::string& aBody)
  {
    return Ask(*host_,
               "POST",
               "/lots/1",
               "Attempt-Id: lot1\r\n" + Bearer(aKey),
               aBody)
      ->status_;
  }

  std::unique_ptr<CallerCall> AskJob(const std::string& aMethod,
                                     const std::string& aFields)
  {
    return Ask(*host_, aMethod, "/api/lots/lot1", aFields);
  }

  TestHost* host_ = nullptr;
  std::uint64_t version_ = 0;
  std::uint64_t jobCap_ = 0; ///< Tokens that may wait; 0: no bound.
};

// Servers were told a key, and nobody's name.
TEST_CASE_METHOD(CallersFixture, "Callers_ValidKey_ServerIsToldTheNameAlone")
{
  CHECK(StatusFor(Bearer("key-a2") + "Tenant: portal\r\n") == 200);
  CHECK(Seen("Tenant") == "archive");
  CHECK(Seen("Authorization").empty());
}

// A request ran whose key no configuration had ever held.
TEST_CASE_METHOD(CallersFixture, "Callers_NoValidKey_AreTurnedAwayAtOnce")
{
  CHECK(StatusFor("") == 401);
  CHECK(StatusFor(Bearer("other")) == 401);
  CHECK(StatusFor("Authorization: Basic key-a1\r\n") == 401);
  CHECK(StatusFor("Authorization: Bearer\r\n") == 401);
  CHECK(StatusFor(Bearer("key-a1 key-p")) == 401);
  CHECK(StatusFor(Bearer("key-a1") + Bearer("key-a1")) == 401);
  CHECK(servers_[0]->Requests().empty());
  CHECK(StatusFor("authorization: bearer key-a1\r\n") == 200);
}

// What a caller wrote of itself reached servers on routes that need no key.
TEST_CASE_METHOD(CallersFixture, "Callers_OpenRoute_NothingOfThemGetsThrough")
{
  const auto call = Call("/open/1", Bearer("key-a1") + "Tenant: portal\r\n");
  CHECK(call->status_ == 200);
  CHECK(Seen("Tenant").empty());
  CHECK(Seen("Authorization").empty());
}

TEST_CASE_METHOD(CallersFixture, "Callers_NoOrganisationsDeclared_FieldsPass")
{
  WriteConfiguration(++version_);
  RunUntil([this] { return StatusFor("") == 200; });
  CHECK(StatusFor("Authorization: Bearer x\r\nTenant: y\r\n") == 200);
  CHECK(Seen("Authorization") == "Bearer x");
  CHECK(Seen("Tenant") == "y");
}

// A key that had been taken away still ran requests.
TEST_CASE_METHOD(CallersFixture, "Callers_KeyIsTakenAway_RunsNothingMore")
{
  CHECK(StatusFor(Bearer("key-a1")) == 200);
  Declare({ { "archive", { "key-a2" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a1")) == 401; });
  CHECK(StatusFor(Bearer("key-p")) == 401);
  CHECK(StatusFor(Bearer("key-a2")) == 200);
}

// A host that nobody told of it let a key run after it had been taken away.
TEST_CASE_METHOD(CallersFixture, "Callers_StoreIsAway_RunOnlyWithinTheBound")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  const auto lostAt = std::chrono::steady_clock::now();
  Declare({ { "archive", { "key-a2" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a1")) != 200; });
  CHECK(std::chrono::steady_clock::now() - lostAt < 5s);
  const auto refused = Call("/stream/1", Bearer("key-a1"));
  CHECK(refused->status_ == 503);
  CHECK_FALSE(refused->retryAfter_.empty());
  // Nor is a key that isn't known refused for good.
  CHECK(StatusFor(Bearer("key-new")) == 503);
  CHECK_FALSE(IsReady());
  CHECK(Call("/open/1", "")->status_ == 200);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] { return IsReady(); });
  CHECK(StatusFor(Bearer("key-a1")) == 401);
  CHECK(StatusFor(Bearer("key-a2")) == 200);
}

// A host that the store turned away knows of what its peers follow, and must
// not refuse anyone.
TEST_CASE_METHOD(CallersFixture, "Callers_OneHostTurnedAway_PeersConfirm")
{
  StartHost("worker", batch::BatchPreference::Worker);
  RunUntil([this] {
    return Metrics(*host_).find("pumiceturn_peers_heard 1") !=
           std::string::npos;
  });
  store_.SetPortBehaviour(host_->storePort_, StoreBehaviour::Refusing);
  const auto lostAt = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - lostAt < 6s) {
    REQUIRE(StatusFor(Bearer("key-a1")) == 200);
  }
  Declare({ { "archive", { "key-a2" } } });
  const auto takenAway = std::chrono::steady_clock::now();
  RunUntil([this] { return StatusFor(Bearer("key-a1")) == 401; });
  CHECK(std::chrono::steady_clock::now() - takenAway < 5s);
}

TEST_CASE_METHOD(CallersFixture, "Callers_Job_BelongsToItsOrganisation")
{
  StartHost("worker", batch::BatchPreference::Worker);
  CHECK(SubmitJob("", JobBody(1)) == 401);
  CHECK(SubmitJob("key-a1", JobBody(2)) == 202);
  // Any of its keys, sent again.
  CHECK(SubmitJob("key-a2", JobBody(2)) == 202);
  CHECK(AskJob("GET", Bearer("key-a2"))->status_ == 200);
  // Another organisation learns nothing of it, and can't take its id.
  CHECK(AskJob("GET", Bearer("key-p"))->status_ == 404);
  CHECK(AskJob("DELETE", Bearer("key-p"))->status_ == 404);
  CHECK(SubmitJob("key-p", JobBody(2)) == 409);
  CHECK(AskJob("GET", "")->status_ == 401);
  CHECK(AskJob("GET", Bearer("other"))->status_ == 401);
  // A key that is taken away ends no job.
  Declare({ { "archive", { "key-a2" } } });
  RunUntil([this] { return AskJob("GET", Bearer("key-a1"))->status_ == 401; });
  RunUntil([this] {
    const auto call = AskJob("GET", Bearer("key-a2"));
    return call->status_ == 200 &&
           json::parse(call->body_)["results"].size() == 2;
  });
  CHECK(AskJob("DELETE", Bearer("key-a2"))->status_ == 200);
}

// Items carried keys and names that their sender had written into them.
TEST_CASE_METHOD(CallersFixture, "Callers_ItemsFields_DontNameTheCaller")
{
  StartHost("worker", batch::BatchPreference::Worker);
  json body = json::parse(JobBody(1));
  body["items"][0]["headers"]["Authorization"] = "Bearer key-p";
  body["items"][0]["headers"]["tenant"] = "portal";
  CHECK(SubmitJob("key-a1", body.dump()) == 202);
  RunUntil([this] { return !servers_[0]->Requests().empty(); });
  CHECK(Seen("Tenant") == "archive");
  CHECK(Seen("Authorization").empty());
}

// One organisation filled a route, and no other's job was accepted.
TEST_CASE_METHOD(CallersFixture, "Callers_CapOfTheRoute_IsForEachOrganisation")
{
  jobCap_ = 20;
  Declare({ { "archive", { "key-a1" } }, { "portal", { "key-p" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a2")) == 401; });
  CHECK(SubmitJob("key-a1", JobBody(2)) == 202);
  const auto submit = [this](const std::string& aKey, const std::string& aJob) {
    return Ask(*host_,
               "POST",
               "/lots/1",
               "Attempt-Id: " + aJob + "\r\n" + Bearer(aKey),
               JobBody(2, aJob))
      ->status_;
  };
  CHECK(submit("key-a1", "second") == 429);
  CHECK(submit("key-p", "third") == 202);
  CHECK(submit("key-p", "fourth") == 429);
  CHECK_FALSE(store_.Get("pumiceturn/tokens/lots/archive").empty());
}

// One organisation's flood took the places of all others.
TEST_CASE_METHOD(CallersFixture, "Callers_BeyondTheLimit_AreToldWhenToComeBack")
{
  Declare({ { "archive", { "key-a1" }, 1, 2 }, { "portal", { "key-p" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a2")) == 401; });
  // Credit builds up from the start.
  bool isServed = false;
  RunUntil([this, &isServed] {
    isServed = isServed || StatusFor(Bearer("key-a1")) == 200;
    return isServed;
  });
  unsigned served = 0;
  for (int request = 0; request < 20; ++request) {
    const auto call = Call("/stream/1", Bearer("key-a1"));
    served += call->status_ == 200 ? 1 : 0;
    if (call->status_ != 200) {
      REQUIRE(call->status_ == 429);
      REQUIRE_FALSE(call->retryAfter_.empty());
      REQUIRE(std::stod(call->retryAfter_) > 0.0);
    }
  }
  CHECK(served < 20);
  CHECK(StatusFor(Bearer("key-p")) == 200);
}

// Two hosts let twice the limit run.
TEST_CASE_METHOD(CallersFixture, "Callers_BeyondTheLimit_AtTwoHosts_CountOnce")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  StartHost("worker", batch::BatchPreference::Worker);
  Declare({ { "archive", { "key-a1" }, 0.1, 10 } });
  RunUntil([this] { return StatusFor(Bearer("key-p")) == 401; });
  RunUntil([this, &other] {
    return Ask(other, "POST", "/stream/1", Bearer("key-p"))->status_ == 401;
  });
  // Hosts that have just met begin with nothing that another may have spent.
  unsigned served = 0;
  for (int request = 0; request < 40; ++request) {
    TestHost& host = request % 2 == 0 ? *host_ : other;
    const auto call =
      Ask(host,
          "POST",
          "/stream/1",
          fmt::format("Attempt-Id: r{}\r\n", request) + Bearer("key-a1"));
    served += call->status_ == 200 ? 1 : 0;
  }
  CHECK(served <= 11);
}

} // namespace pumiceturn::adapter
