#include "Tests/Platform/BatchJobsFixture.h"

#include "LibBatch/SpoolFiles.h"
#include "LibGateway/HostRecord.h"
#include "LibHttpStream/Status.h"
#include "Tests/TemporaryFolder.h"

namespace pumiceturn::adapter {

using nlohmann::json;

/// Workers that spool jobs and then lose their power for a while.
class SpooledJobHoldersFixture : protected BatchJobsFixture
{
protected:
  SpooledJobHoldersFixture()
  {
    for (const std::string& name : names_) {
      auto listener = std::make_unique<httpstream::Listener>(
        context_,
        [this, name](const std::shared_ptr<httpstream::Exchange>& aExchange) {
          auto job = batch::DecodeSpooledJob(aExchange->GetRequest().body());
          if (!job) {
            aExchange->Respond(
              httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
            return;
          }
          spooled_[name].push_back(std::move(*job));
          aExchange->Respond(
            httpstream::MakeResponse(httpstream::kStatusOk, {}));
        });
      REQUIRE_FALSE(listener->Open(Loopback(0)));
      Register(name, listener->Port());
      holders_.push_back(std::move(listener));
    }
    // Several calls later the entry host knows them.
    const std::size_t before = store_.CallCount();
    RunUntil([&] { return store_.CallCount() > before + 12; });
  }

  void Register(const std::string& aName, std::uint16_t aPort)
  {
    const std::string address = fmt::format("127.0.0.1:{}", aPort);
    store_.Put(fmt::format("pumiceturn/host/{}", aName),
               gateway::EncodeHostRecord({ fmt::format("{}/1", aName),
                                           address,
                                           address,
                                           batch::BatchPreference::Worker,
                                           "a" }));
  }

  /// Submits a job while the store refuses calls, until the holders have it.
  void SubmitToHolders()
  {
    store_.SetBehaviour(StoreBehaviour::Refusing);
    REQUIRE(Submit(*entry_, 2) == 202);
    REQUIRE(spooled_["worker-1"].size() == 1);
    REQUIRE(spooled_["worker-2"].size() == 1);
  }

  void LoseHolders()
  {
    for (const std::string& name : names_) {
      store_.Remove(fmt::format("pumiceturn/host/{}", name));
    }
  }

  /// Starts the workers with the jobs on their disks.
  void StartHolders()
  {
    incarnation_ = std::string("2");
    for (const std::string& name : names_) {
      spoolFolder_ = fmt::format("{}/{}", folder_.Path(), name);
      batch::SpoolFiles files(spoolFolder_);
      REQUIRE_FALSE(files.Write(spooled_[name].front()).error_);
      StartWorker(name);
    }
  }

  unsigned ReadStatus()
  {
    return SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0")->status_;
  }

  const std::vector<std::string> names_{ "worker-1", "worker-2" };
  std::map<std::string, std::vector<batch::SpooledJob>> spooled_;

private:
  TemporaryFolder folder_;
  std::vector<std::unique_ptr<httpstream::Listener>> holders_;
};

// Guards against reporting an accepted job as unknown while the hosts whose
// disks hold it have no power.
TEST_CASE_METHOD(SpooledJobHoldersFixture,
                 "SpooledJob_HoldersWithoutPower_IsNotReportedAsUnknown")
{
  SubmitToHolders();
  LoseHolders();
  store_.SetBehaviour(StoreBehaviour::Serving);
  constexpr std::chrono::seconds kOutage{ 5 };
  const base::Instant end = base::MonotonicNow() + kOutage;
  while (base::MonotonicNow() < end) {
    REQUIRE(ReadStatus() == 503);
    REQUIRE(SendAndWait(*entry_, "DELETE", "/api/lots/lot1")->status_ == 503);
  }
  StartHolders();
  json page;
  RunUntil([&] {
    const auto call = SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0");
    REQUIRE(call->status_ != 404);
    page = call->status_ == 200 ? json::parse(call->body_) : json();
    return page.is_object() && page["results"].size() == 2;
  });
}

} // namespace pumiceturn::adapter
