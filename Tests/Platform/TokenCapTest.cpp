#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <fmt/format.h>

namespace pumiceturn::adapter {

using nlohmann::json;

/// Jobs of items with 9 tokens each, on a route that lets 100 wait, and servers
/// that hold what they are sent until they are told to go on.
class TokenCapFixture : protected BatchJobsFixture
{
protected:
  TokenCapFixture()
  {
    SetCap(100);
    for (const auto& server : servers_) {
      for (int run = 0; run < kHeldRuns; ++run) {
        server->Enqueue({ ServerScript::Kind::Status, 0, 500 });
      }
    }
  }

  void SetCap(std::uint64_t aCap)
  {
    json route = MakeTestRoute("lots", "batch");
    route["cap"] = aCap;
    route["maxAttempts"] = 1000;
    const json configuration = {
      { "version", ++version_ },
      { "routes", { std::move(route), MakeTestRoute(Mark(), "safe") } },
      { "services", { { { "name", "service" }, { "maxConns", 100 } } } }
    };
    store_.Put("op/config", configuration.dump());
    for (const auto& host : hosts_) {
      RunUntil(
        [&] { return Ask(*host, "GET", "/" + Mark() + "/1")->status_ != 404; });
    }
  }

  unsigned SubmitAs(TestHost& aHost, const std::string& aJob, int aItems)
  {
    return AskFor(aHost, aJob, aItems)->status_;
  }

  std::unique_ptr<CallerCall> AskFor(TestHost& aHost,
                                     const std::string& aJob,
                                     int aItems)
  {
    return Ask(
      aHost, "POST", "/lots/1", Fields(aJob), JobBody(aItems, aJob + "-"));
  }

  static std::string Fields(const std::string& aJob)
  {
    return "Attempt-Id: " + aJob + "\r\n";
  }

  /// Lets the servers answer from now on.
  void LetServersAnswer()
  {
    for (const auto& server : servers_) {
      server->ClearScripts();
    }
  }

  [[nodiscard]] std::uint64_t Waiting() const
  {
    std::uint64_t tokens = 0;
    const std::string text = store_.Get("pumiceturn/tokens/lots");
    const json rows = text.empty() ? json::object() : json::parse(text);
    for (const json& row : rows) {
      tokens += row.get<std::uint64_t>();
    }
    return tokens;
  }

  static constexpr int kHeldRuns = 400;

private:
  [[nodiscard]] std::string Mark() const
  {
    return fmt::format("mark{}", version_);
  }

  std::uint64_t version_ = 1;
};

// The foreman's overnight reports fill the fleet for minutes, although the
// operators bound what may wait: 176 jobs came in ten seconds, all were
// accepted, and two of three were late.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_JobDoesNotFit_IsRefusedWithATime")
{
  CHECK(SubmitAs(*entry_, "a", 6) == 202);
  CHECK(SubmitAs(*entry_, "b", 5) == 202);
  const auto refused = AskFor(*entry_, "c", 1);
  CHECK(refused->status_ == 429);
  CHECK_FALSE(refused->retryAfter_.empty());
  CHECK(store_.Get("pumiceturn/lot/c").empty());
  CHECK(Waiting() == 99);
}

// Hosts that accept at the same moment must not exceed the cap together, and
// none may refuse a job that fits because its own view is old.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_ManyHostsAtOnce_FillItExactly")
{
  TestHost& second = StartHost("second", batch::BatchPreference::IfNoOther);
  TestHost& third = StartHost("third", batch::BatchPreference::IfNoOther);
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
    RunUntil([&call] { return call->IsOver(); });
    accepted += call->status_ == 202 ? 1 : 0;
    CHECK((call->status_ == 202 || call->status_ == 429));
  }
  CHECK(accepted == 11);
  CHECK(Waiting() == 99);
}

// A job that was accepted is accepted whenever it comes again, full or not.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_SentAgainToAFullRoute_IsAccepted")
{
  TestHost& other = StartHost("other", batch::BatchPreference::IfNoOther);
  SetCap(100);
  CHECK(SubmitAs(*entry_, "a", 11) == 202);
  CHECK(SubmitAs(other, "a", 11) == 202);
  CHECK(SubmitAs(other, "b", 1) == 429);
  CHECK(Waiting() == 99);
}

TEST_CASE_METHOD(TokenCapFixture, "TokenCap_ItemsFinish_ThereIsRoomAgain")
{
  StartWorker("worker");
  SetCap(100);
  CHECK(SubmitAs(*entry_, "a", 11) == 202);
  CHECK(SubmitAs(*entry_, "b", 2) == 429);
  LetServersAnswer();
  RunUntil([this] { return SubmitAs(*entry_, "b", 2) == 202; });
  RunUntil([this] { return Waiting() == 0; });
}

// A sender ends its job: what it had waiting is free again.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_JobIsEnded_ThereIsRoomAgain")
{
  StartWorker("worker");
  SetCap(100);
  CHECK(SubmitAs(*entry_, "a", 11) == 202);
  CHECK(Ask(*entry_, "DELETE", "/api/lots/a")->status_ == 200);
  RunUntil([this] { return SubmitAs(*entry_, "b", 11) == 202; });
}

// The operators lower the cap far below what waits: nothing that was accepted
// is dropped, and new jobs hear at once that they don't fit.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_Lowered_KeepsWhatWasAccepted")
{
  CHECK(SubmitAs(*entry_, "a", 11) == 202);
  SetCap(20);
  CHECK(SubmitAs(*entry_, "b", 1) == 429);
  LetServersAnswer();
  RunUntil([this] {
    return Ask(*entry_, "GET", "/api/lots/a?after=10")->body_.find("a-item") !=
           std::string::npos;
  });
  RunUntil([this] { return SubmitAs(*entry_, "b", 1) == 202; });
}

// Jobs that came while the route had no cap count as soon as it has one.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_SetLater_CountsWhatWaits")
{
  SetCap(0);
  CHECK(SubmitAs(*entry_, "a", 11) == 202);
  CHECK(store_.Get("pumiceturn/tokens/lots").empty());
  SetCap(100);
  RunUntil([this] { return Waiting() == 99; });
  CHECK(SubmitAs(*entry_, "b", 1) == 429);
}

// The answer to the transaction is lost: the sender comes again and must be
// neither refused nor counted twice.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_AnswerLost_JobCountsOnce")
{
  store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
  const auto call =
    Send(entry_->callerPort_, "POST", "/lots/1", Fields("a"), JobBody(6, "a-"));
  RunUntil([this] { return !store_.Get("pumiceturn/lot/a").empty(); });
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([&call] { return call->IsOver(); });
  CHECK(call->status_ == 202);
  CHECK(Waiting() == 54);
  CHECK(SubmitAs(*entry_, "b", 5) == 202);
}

// Someone wrote the ledger's key: the jobs that run are counted anew.
TEST_CASE_METHOD(TokenCapFixture, "TokenCap_LedgerSpoiled_IsBuiltAnew")
{
  CHECK(SubmitAs(*entry_, "a", 10) == 202);
  store_.Put("pumiceturn/tokens/lots", "[[[");
  RunUntil([this] {
    const std::string text = store_.Get("pumiceturn/tokens/lots");
    return text != "[[[" && Waiting() == 90;
  });
  CHECK(SubmitAs(*entry_, "b", 2) == 429);
}

} // namespace pumiceturn::adapter
