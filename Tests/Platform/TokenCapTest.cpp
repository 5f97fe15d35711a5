#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <fmt/format.h>

namespace pumiceturn::adapter {

using nlohmann::json;

/// Jobs of items with 9 tokens each on a route with a cap of 100 waiting
/// tokens, and servers that fail their first kFailedAttempts attempts each,
/// unless LetItemsSucceed() is called.
class TokenCapFixture : protected BatchJobsFixture
{
protected:
  TokenCapFixture()
  {
    SetCap(100);
    for (const auto& server : servers_) {
      for (int attempt = 0; attempt < kFailedAttempts; ++attempt) {
        server->Enqueue({ ServerScript::Kind::Status, 0, 500 });
      }
    }
  }

  /// Sets the cap and waits until all hosts have the new configuration.
  void SetCap(std::uint64_t aCap)
  {
    json route = MakeTestRoute("lots", "batch");
    route["cap"] = aCap;
    route["maxAttempts"] = 1000;
    const json configuration = {
      { "version", ++version_ },
      { "routes", { std::move(route), MakeTestRoute(VersionRoute(), "safe") } },
      { "services", { { { "name", "service" }, { "maxConns", 100 } } } }
    };
    store_.Put("op/config", configuration.dump());
    for (const auto& host : hosts_) {
      RunUntil([&] {
        return SendAndWait(*host, "GET", "/" + VersionRoute() + "/1")
                 ->status_ != 404;
      });
    }
  }

  unsigned SubmitJob(TestHost& aHost, const std::string& aJob, int aItems)
  {
    return SendJob(aHost, aJob, aItems)->status_;
  }

  std::unique_ptr<CallerCall> SendJob(TestHost& aHost,
                                      const std::string& aJob,
                                      int aItems)
  {
    return SendAndWait(
      aHost, "POST", "/lots/1", Fields(aJob), JobBody(aItems, aJob + "-"));
  }

  static std::string Fields(const std::string& aJob)
  {
    return "Attempt-Id: " + aJob + "\r\n";
  }

  /// Makes the servers complete items from now on.
  void LetItemsSucceed()
  {
    for (const auto& server : servers_) {
      server->ClearScripts();
    }
  }

  [[nodiscard]] std::uint64_t WaitingTokens() const
  {
    std::uint64_t tokens = 0;
    const std::string text = store_.Get("pumiceturn/tokens/lots");
    const json rows = text.empty() ? json::object() : json::parse(text);
    for (const json& row : rows) {
      tokens += row.get<std::uint64_t>();
    }
    return tokens;
  }

  static constexpr int kFailedAttempts = 400;

private:
  /// A route whose presence shows that a host has the current configuration.
  [[nodiscard]] std::string VersionRoute() const
  {
    return fmt::format("mark{}", version_);
  }

  std::uint64_t version_ = 1;
};

// Guards against accepting jobs beyond the cap.
TEST_CASE_METHOD(TokenCapFixture,
                 "TokenCap_JobDoesNotFit_IsRejectedWithRetryAfter")
{
  CHECK(SubmitJob(*entry_, "a", 6) == 202);
  CHECK(SubmitJob(*entry_, "b", 5) == 202);
  const auto refused = SendJob(*entry_, "c", 1);
  CHECK(refused->status_ == 429);
  CHECK_FALSE(refused->retryAfter_.empty());
  CHECK(store_.Get("pumiceturn/lot/c").empty());
  CHECK(WaitingTokens() == 99);
}

// Guards against concurrent hosts exceeding the cap together, and against
// rejecting a job because of a stale ledger.
TEST_CASE_METHOD(TokenCapFixture,
                 "TokenCap_SeveralHostsAccept_CapIsFilledExactly")
{
  TestHost& second = StartHost("second", batch::BatchPreference::Fallback);
  TestHost& third = StartHost("third", batch::BatchPreference::Fallback);
  SetCap(100);
  std::vector<std::unique_ptr<CallerCall>> calls;
  for (int job = 0; job < 6; ++job) {
    for (TestHost* host : { entry_, &second, &third }) {
      const std::string id = fmt::format("{}-{}", host->callerPort_, job);
      calls.push_back(Send(host->callerPort_,
                           "POST",
                           "/lots/1",
                           Fields(id),
                           JobBody(1, id + "-")));
    }
  }
  std::size_t accepted = 0;
  for (const auto& call : calls) {
    RunUntil([&call] { return call->HasEnded(); });
    accepted += call->status_ == 202 ? 1 : 0;
    CHECK((call->status_ == 202 || call->status_ == 429));
  }
  CHECK(accepted == 11);
  CHECK(WaitingTokens() == 99);
}

// Guards against rejecting an accepted job that is submitted again to a full
// route.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_SentAgainToAFullRoute_IsAccepted")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  SetCap(100);
  CHECK(SubmitJob(*entry_, "a", 11) == 202);
  CHECK(SubmitJob(other, "a", 11) == 202);
  CHECK(SubmitJob(other, "b", 1) == 429);
  CHECK(WaitingTokens() == 99);
}

TEST_CASE_METHOD(TokenCapFixture, "TokenCap_ItemsFinish_NewJobIsAccepted")
{
  StartWorker("worker");
  SetCap(100);
  CHECK(SubmitJob(*entry_, "a", 11) == 202);
  CHECK(SubmitJob(*entry_, "b", 2) == 429);
  LetItemsSucceed();
  RunUntil([this] { return SubmitJob(*entry_, "b", 2) == 202; });
  RunUntil([this] { return WaitingTokens() == 0; });
}

// Guards against counting the tokens of a cancelled job.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_JobIsEnded_NewJobIsAccepted")
{
  StartWorker("worker");
  SetCap(100);
  CHECK(SubmitJob(*entry_, "a", 11) == 202);
  CHECK(SendAndWait(*entry_, "DELETE", "/api/lots/a")->status_ == 200);
  RunUntil([this] { return SubmitJob(*entry_, "b", 11) == 202; });
}

// Guards against dropping accepted jobs when the cap is lowered below the
// waiting tokens.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_CapLowered_KeepsAcceptedJobs")
{
  CHECK(SubmitJob(*entry_, "a", 11) == 202);
  SetCap(20);
  CHECK(SubmitJob(*entry_, "b", 1) == 429);
  LetItemsSucceed();
  RunUntil([this] {
    return SendAndWait(*entry_, "GET", "/api/lots/a?after=10")
             ->body_.find("a-item") != std::string::npos;
  });
  RunUntil([this] { return SubmitJob(*entry_, "b", 1) == 202; });
}

// Guards against ignoring jobs that were accepted before the route had a cap.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_CapSetLater_CountsWaitingJobs")
{
  SetCap(0);
  CHECK(SubmitJob(*entry_, "a", 11) == 202);
  CHECK(store_.Get("pumiceturn/tokens/lots").empty());
  SetCap(100);
  RunUntil([this] { return WaitingTokens() == 99; });
  CHECK(SubmitJob(*entry_, "b", 1) == 429);
}

// Guards against rejecting a job, or counting it twice, after a lost response.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_ResponseLost_JobCountsOnce")
{
  store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
  const auto call =
    Send(entry_->callerPort_, "POST", "/lots/1", Fields("a"), JobBody(6, "a-"));
  RunUntil([this] { return !store_.Get("pumiceturn/lot/a").empty(); });
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->status_ == 202);
  CHECK(WaitingTokens() == 54);
  CHECK(SubmitJob(*entry_, "b", 5) == 202);
}

// Guards against a permanently corrupt ledger: its rows must be restored.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_LedgerCorrupt_IsRebuilt")
{
  CHECK(SubmitJob(*entry_, "a", 10) == 202);
  store_.Put("pumiceturn/tokens/lots", "[[[");
  RunUntil([this] {
    const std::string text = store_.Get("pumiceturn/tokens/lots");
    return text != "[[[" && WaitingTokens() == 90;
  });
  CHECK(SubmitJob(*entry_, "b", 2) == 429);
}

} // namespace pumiceturn::adapter
