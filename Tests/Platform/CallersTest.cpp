#include "LibBase/Base64.h"
#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

using nlohmann::json;
using namespace std::chrono_literals;

/// An entry host, a server, and two organisations with keys.
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

  struct DeclaredOrganisation
  {
    std::string name_;
    std::vector<std::string> keys_;
    double rate_ = 0;
    double burst_ = 0;
  };

  /// Writes a configuration with a stream route that requires a key, one that
  /// doesn't, and a batch route.
  void Declare(const std::vector<DeclaredOrganisation>& aOrganisations)
  {
    json open = MakeTestRoute("open", "stream");
    open["noAuth"] = true;
    json jobs = MakeTestRoute("lots", "batch");
    jobs["cap"] = jobCap_;
    json rows = json::array();
    for (const DeclaredOrganisation& organisation : aOrganisations) {
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
    return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
             ->status_ == 200;
  }

  std::unique_ptr<CallerCall> Call(const std::string& aPath,
                                   const std::string& aFields)
  {
    return SendAndWait(*host_,
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

  /// @return the value of a field in the last request that reached the server.
  [[nodiscard]] std::string LastServerField(std::string_view aName) const
  {
    return std::string(
      httpstream::ValueOf(servers_[0]->Requests().back(), aName));
  }

  unsigned SubmitJob(const std::string& aKey, const std::string& aBody)
  {
    return SendAndWait(*host_,
                       "POST",
                       "/lots/1",
                       "Attempt-Id: lot1\r\n" + Bearer(aKey),
                       aBody)
      ->status_;
  }

  std::unique_ptr<CallerCall> SendJobCall(const std::string& aMethod,
                                          const std::string& aFields)
  {
    return SendAndWait(*host_, aMethod, "/api/lots/lot1", aFields);
  }

  TestHost* host_ = nullptr;
  std::uint64_t version_ = 0;
  std::uint64_t jobCap_ = 0; ///< Maximum queued tokens; 0: no limit.
};

// Guards against forwarding a caller's key, or forwarding no organisation.
TEST_CASE_METHOD(CallersFixture,
                 "Callers_ValidKey_ServerGetsOrganisationWithoutKey")
{
  CHECK(StatusFor(Bearer("key-a2") + "Tenant: portal\r\n") == 200);
  CHECK(LastServerField("Tenant") == "archive");
  CHECK(LastServerField("Authorization").empty());
}

// Guards against running requests whose key was never configured.
TEST_CASE_METHOD(CallersFixture, "Callers_NoValidKey_AreRejected")
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

// Guards against a caller's own identity fields reaching servers.
TEST_CASE_METHOD(CallersFixture,
                 "Callers_AnonymousRoute_IdentityFieldsAreRemoved")
{
  const auto call = Call("/open/1", Bearer("key-a1") + "Tenant: portal\r\n");
  CHECK(call->status_ == 200);
  CHECK(LastServerField("Tenant").empty());
  CHECK(LastServerField("Authorization").empty());
}

TEST_CASE_METHOD(CallersFixture,
                 "Callers_NoOrganisationsDeclared_FieldsAreForwarded")
{
  WriteConfiguration(++version_);
  RunUntil([this] { return StatusFor("") == 200; });
  CHECK(StatusFor("Authorization: Bearer x\r\nTenant: y\r\n") == 200);
  CHECK(LastServerField("Authorization") == "Bearer x");
  CHECK(LastServerField("Tenant") == "y");
}

// Guards against running requests with a revoked key.
TEST_CASE_METHOD(CallersFixture, "Callers_RevokedKey_IsRejected")
{
  CHECK(StatusFor(Bearer("key-a1")) == 200);
  Declare({ { "archive", { "key-a2" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a1")) == 401; });
  CHECK(StatusFor(Bearer("key-p")) == 401);
  CHECK(StatusFor(Bearer("key-a2")) == 200);
}

// Guards against accepting a revoked key beyond the bound while the store is
// unavailable.
TEST_CASE_METHOD(CallersFixture,
                 "Callers_StoreUnavailable_KeysAreRejectedWithinTheBound")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  const auto lostAt = std::chrono::steady_clock::now();
  Declare({ { "archive", { "key-a2" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a1")) != 200; });
  CHECK(std::chrono::steady_clock::now() - lostAt < 5s);
  const auto refused = Call("/stream/1", Bearer("key-a1"));
  CHECK(refused->status_ == 503);
  CHECK_FALSE(refused->retryAfter_.empty());
  // The key may be newer than this host's configuration: callers may retry.
  CHECK(StatusFor(Bearer("key-new")) == 503);
  CHECK_FALSE(IsReady());
  CHECK(Call("/open/1", "")->status_ == 200);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] { return IsReady(); });
  CHECK(StatusFor(Bearer("key-a1")) == 401);
  CHECK(StatusFor(Bearer("key-a2")) == 200);
}

// Guards against rejecting callers at a host that the store refuses while peers
// still confirm its mirrors.
TEST_CASE_METHOD(CallersFixture,
                 "Callers_StoreRefusesOneHost_PeersConfirmItsMirror")
{
  StartHost("worker", batch::BatchPreference::Worker);
  RunUntil([this] {
    return Metrics(*host_).find("pumiceturn_peers_heard 1") !=
           std::string::npos;
  });
  store_.SetPortBehaviour(host_->storePort_, StoreBehaviour::Refusing);
  const auto lostAt = std::chrono::steady_clock::now();
  // Longer than the revocation bound.
  while (std::chrono::steady_clock::now() - lostAt < 6s) {
    REQUIRE(StatusFor(Bearer("key-a1")) == 200);
  }
  Declare({ { "archive", { "key-a2" } } });
  const auto revokedAt = std::chrono::steady_clock::now();
  RunUntil([this] { return StatusFor(Bearer("key-a1")) == 401; });
  CHECK(std::chrono::steady_clock::now() - revokedAt < 5s);
}

TEST_CASE_METHOD(CallersFixture, "Callers_Job_BelongsToItsOrganisation")
{
  StartHost("worker", batch::BatchPreference::Worker);
  CHECK(SubmitJob("", JobBody(1)) == 401);
  CHECK(SubmitJob("key-a1", JobBody(2)) == 202);
  // A repeated submission with another key of the organisation.
  CHECK(SubmitJob("key-a2", JobBody(2)) == 202);
  CHECK(SendJobCall("GET", Bearer("key-a2"))->status_ == 200);
  // Another organisation can't see the job or reuse its id.
  CHECK(SendJobCall("GET", Bearer("key-p"))->status_ == 404);
  CHECK(SendJobCall("DELETE", Bearer("key-p"))->status_ == 404);
  CHECK(SubmitJob("key-p", JobBody(2)) == 409);
  CHECK(SendJobCall("GET", "")->status_ == 401);
  CHECK(SendJobCall("GET", Bearer("other"))->status_ == 401);
  // Revoking a key doesn't cancel the job.
  Declare({ { "archive", { "key-a2" } } });
  RunUntil(
    [this] { return SendJobCall("GET", Bearer("key-a1"))->status_ == 401; });
  RunUntil([this] {
    const auto call = SendJobCall("GET", Bearer("key-a2"));
    return call->status_ == 200 &&
           json::parse(call->body_)["results"].size() == 2;
  });
  CHECK(SendJobCall("DELETE", Bearer("key-a2"))->status_ == 200);
}

// Guards against forwarding identity fields that a caller set on items.
TEST_CASE_METHOD(CallersFixture, "Callers_ItemFields_DontOverrideTheCaller")
{
  StartHost("worker", batch::BatchPreference::Worker);
  json body = json::parse(JobBody(1));
  body["items"][0]["headers"]["Authorization"] = "Bearer key-p";
  body["items"][0]["headers"]["tenant"] = "portal";
  CHECK(SubmitJob("key-a1", body.dump()) == 202);
  RunUntil([this] { return !servers_[0]->Requests().empty(); });
  CHECK(LastServerField("Tenant") == "archive");
  CHECK(LastServerField("Authorization").empty());
}

// Guards against a cap that organisations share.
TEST_CASE_METHOD(CallersFixture, "Callers_RouteCap_AppliesToEachOrganisation")
{
  jobCap_ = 20; // Room for one job of two items.
  Declare({ { "archive", { "key-a1" } }, { "portal", { "key-p" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a2")) == 401; });
  CHECK(SubmitJob("key-a1", JobBody(2)) == 202);
  const auto submit = [this](const std::string& aKey, const std::string& aJob) {
    return SendAndWait(*host_,
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

// Guards against admitting requests beyond an organisation's rate limit, and
// against limiting another organisation.
TEST_CASE_METHOD(CallersFixture, "Callers_OverRateLimit_GetRetryAfter")
{
  Declare({ { "archive", { "key-a1" }, 1, 2 }, { "portal", { "key-p" } } });
  RunUntil([this] { return StatusFor(Bearer("key-a2")) == 401; });
  // The rate account starts without credit.
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

// Guards against the limit applying to each host separately.
TEST_CASE_METHOD(CallersFixture,
                 "Callers_OverRateLimitAtTwoHosts_LimitIsShared")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  StartHost("worker", batch::BatchPreference::Worker);
  Declare({ { "archive", { "key-a1" }, 0.1, 10 } });
  RunUntil([this] { return StatusFor(Bearer("key-p")) == 401; });
  RunUntil([this, &other] {
    return SendAndWait(other, "POST", "/stream/1", Bearer("key-p"))->status_ ==
           401;
  });
  // Hosts that have just discovered each other start without credit: at most
  // the burst of 10 and, at 0.1 a second, one more are served.
  unsigned served = 0;
  for (int request = 0; request < 40; ++request) {
    TestHost& host = request % 2 == 0 ? *host_ : other;
    const auto call = SendAndWait(host,
                                  "POST",
                                  "/stream/1",
                                  fmt::format("Attempt-Id: r{}\r\n", request) +
                                    Bearer("key-a1"));
    served += call->status_ == 200 ? 1 : 0;
  }
  CHECK(served <= 11);
}

} // namespace pumiceturn::adapter
