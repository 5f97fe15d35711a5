#include "Tests/Platform/BatchJobsFixture.h"

namespace pumiceturn::adapter {

using nlohmann::json;

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

} // namespace pumiceturn::adapter
