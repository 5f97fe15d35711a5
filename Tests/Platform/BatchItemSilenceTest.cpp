#include "Tests/Platform/BatchJobsFixture.h"

namespace pumiceturn::adapter {

using nlohmann::json;

namespace {

/// Time that is left for open jobs after the last request.
constexpr std::chrono::seconds kMaxWait{ 18 };

} // namespace

/// One item, whose first attempts meet endpoints that accept it and send
/// nothing.
class BatchItemSilenceFixture : protected BatchJobsFixture
{
protected:
  /// @param aAttempts Attempts that each endpoint leaves without a response.
  void StaySilent(int aAttempts)
  {
    for (const auto& server : servers_) {
      for (int attempt = 0; attempt < aAttempts; ++attempt) {
        server->Enqueue({ ServerScript::Kind::Hold, 0, 0 });
      }
    }
  }

  void CheckItemCompletes()
  {
    const json page = WaitForAll(*entry_, 1);
    CHECK(page["results"][0]["state"] == "completed");
    CHECK(page["results"][0]["output"] == WholeOutput());
  }
};

// Guards against counting silence as a failure of the item, of which the route
// allows two, and against never sending the item again.
TEST_CASE_METHOD(BatchItemSilenceFixture,
                 "BatchItem_EndpointSilentAtEachAttempt_CompletesLater")
{
  StaySilent(2);
  REQUIRE(Submit(*entry_, 1) == 202);
  CheckItemCompletes();
  CHECK(RequestCount() >= 4);
}

// Guards against taking endpoints for crashed by the item, and never sending it
// again, because their registrations lapsed and came back after it was
// interrupted.
TEST_CASE_METHOD(BatchItemSilenceFixture,
                 "BatchItem_RegistrationsLapseAfterSilence_CompletesLater")
{
  StaySilent(2);
  REQUIRE(Submit(*entry_, 1) == 202);
  RunUntil([this] { return RequestCount() == 3; });
  const std::size_t before =
    servers_[0]->DisconnectedCount() + servers_[1]->DisconnectedCount();
  RunUntil([&] {
    return servers_[0]->DisconnectedCount() + servers_[1]->DisconnectedCount() >
           before;
  });
  for (const auto& server : servers_) {
    const std::string key =
      "servers/" + std::string(server == servers_[0] ? "i-1" : "i-2");
    const std::string registration = store_.Get(key);
    store_.Remove(key);
    const std::size_t calls = store_.CallCount();
    RunUntil([&] { return store_.CallCount() > calls + 4; });
    store_.Put(key, registration);
  }
  const base::Instant end = base::MonotonicNow() + kMaxWait;
  RunUntil([&] { return RequestCount() > 3 || base::MonotonicNow() > end; });
  REQUIRE(RequestCount() > 3);
  CheckItemCompletes();
}

} // namespace pumiceturn::adapter
