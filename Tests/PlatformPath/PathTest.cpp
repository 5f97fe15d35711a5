#include "Tests/PlatformPath/PathFixture.h"

#include <csignal>

namespace pumiceturn::adapter {

TEST_CASE_METHOD(PathFixture, "Path_UndisturbedStream_PassesUnchanged")
{
  const auto call = SendOnlineAndWait("entry-1", "/look-up/1");
  CHECK(call->status_ == 200);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == WholeStream());
}

// Guards against missing or duplicate events when another server resumes a
// stream that broke off within an event.
TEST_CASE_METHOD(PathFixture,
                 "Path_StreamBreaksOff_ResumesWithoutGapOrDuplicate")
{
  const auto call = SendOnlineAndWait("entry-2", "/look-up/break-3");
  CHECK(call->status_ == 200);
  CHECK(call->body_ == WholeStream());
}

TEST_CASE_METHOD(PathFixture,
                 "Path_NonIdempotentResponseBreaksOff_IsNotRetried")
{
  const auto call = SendOnlineAndWait("entry-1", "/booking/break-3");
  CHECK(call->body_ != WholeStream());
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

TEST_CASE_METHOD(PathFixture, "Path_Job_HasSameResultsAtEveryHost")
{
  CHECK(Submit("entry-1", "lot1", "/lots/1", 12) == 202);
  CHECK(Submit("entry-2", "lot1", "/lots/1", 12) == 202);
  const json page = WaitForResults("entry-1", "lot1", 12);
  CHECK(AreCompleteAndDistinct(page, 12));
  CHECK(WaitForResults("entry-2", "lot1", 12) == page);
  const auto body = SendAndWait("entry-2", "GET", "/api/items/lot1?id=lot1-3");
  CHECK(body->status_ == 200);
  CHECK(body->body_ == "prompt");
}

// Guards against a host that never becomes sure that a job doesn't exist. Just
// after workers have started, they may still have spooled jobs.
TEST_CASE_METHOD(PathFixture, "Path_UnknownJob_IsNotFoundAtEveryHost")
{
  for (const char* entry : { "entry-1", "entry-2" }) {
    unsigned status = 0;
    RunUntil([&] {
      status = SendAndWait(entry, "GET", "/api/items/none?id=a")->status_;
      return status != 503;
    });
    CHECK(status == 404);
  }
}

TEST_CASE_METHOD(PathFixture, "Path_NewConfiguration_IsAppliedAtEveryHost")
{
  CHECK(SendOnlineAndWait("entry-1", "/fresh/1")->status_ == 404);
  json configuration = json::parse(ReadKey("op/config"));
  // Versions may skip numbers.
  configuration["version"] = configuration["version"].get<int>() + 3;
  json route = configuration["routes"][0];
  route["name"] = "fresh";
  route["prefix"] = "/fresh/";
  configuration["routes"].push_back(route);
  WriteKey("op/config", configuration.dump());
  for (const char* entry : { "entry-1", "entry-2" }) {
    RunUntil(
      [&] { return SendOnlineAndWait(entry, "/fresh/1")->status_ == 200; });
  }
}

// Guards against a host that accepts requests with a revoked key.
TEST_CASE_METHOD(PathFixture, "Path_KeyRevoked_IsRejectedAtEveryHost")
{
  const std::string oldKeyField = "Authorization: Bearer parish-key-before\r\n";
  const auto statusAt = [&](const char* aEntry) {
    return SendAndWait(
             aEntry, "POST", "/look-up/1", "Attempt-Id: r1\r\n" + oldKeyField)
      ->status_;
  };
  CHECK(statusAt("entry-1") == 200);
  json configuration = json::parse(ReadKey("op/config"));
  configuration["version"] = configuration["version"].get<int>() + 2;
  configuration["tenants"][0]["apiKeys"] = { "parish-key" };
  WriteKey("op/config", configuration.dump());
  for (const char* entry : { "entry-1", "entry-2" }) {
    RunUntil([&] { return statusAt(entry) == 401; });
    CHECK(SendOnlineAndWait(entry, "/look-up/1")->status_ == 200);
  }
}

TEST_CASE_METHOD(PathFixture, "Path_InvalidCalls_AreRejected")
{
  CHECK(SendAndWait("entry-1", "POST", "/lots/1", "Attempt-Id: x\r\n", "{")
          ->status_ == 400);
  CHECK(
    SendAndWait("entry-1", "POST", "/nowhere", "Attempt-Id: x\r\n")->status_ ==
    404);
  CHECK(SendOnlineAndWait("entry-1", "/look-up/1")->body_ == WholeStream());
}

// Guards against duplicate results from a suspended worker that resumes after
// another worker has taken over its job.
TEST_CASE_METHOD(PathFixture, "Path_WorkerSuspended_LateResultsAreIgnored")
{
  constexpr std::size_t kItems = 4;
  const StalledJob stalled = SubmitStalledJob("frozen", kItems);
  CHECK(::kill(Process(stalled.owner_).id_, SIGSTOP) == 0);
  const json page = WaitForResults("entry-2", stalled.job_, kItems);
  CHECK(AreCompleteAndDistinct(page, kItems));
  CHECK(::kill(Process(stalled.owner_).id_, SIGCONT) == 0);
  // A worker registers again only after it has read its job's current state.
  RunUntil([&] {
    return !ReadKey("pumiceturn/host/" + stalled.owner_).empty() &&
           ReadKey("pumiceturn/lot/" + stalled.job_)
               .find("\"finished\":true") != std::string::npos;
  });
  CHECK(WaitForResults("entry-1", stalled.job_, kItems) == page);
}

// Guards against lost or duplicate results when a worker is killed and the
// other takes over its job after its registration has expired.
TEST_CASE_METHOD(PathFixture, "Path_WorkerKilled_OtherCompletesItsJob")
{
  constexpr std::size_t kItems = 4;
  const StalledJob stalled = SubmitStalledJob("killed", kItems);
  CHECK(::kill(Process(stalled.owner_).id_, SIGKILL) == 0);
  CHECK(AreCompleteAndDistinct(WaitForResults("entry-2", stalled.job_, kItems),
                               kItems));
}

// Guards against cutting off a response in progress when its host shuts down.
TEST_CASE_METHOD(PathFixture, "Path_EntryHostStops_OpenResponseEndsFirst")
{
  const auto call = Send("entry-2",
                         "POST",
                         "/look-up/hold-2",
                         "Attempt-Id: r7\r\nDeadline-Ms: 2000\r\n");
  RunUntil([&call] { return !call->body_.empty(); });
  CHECK(::kill(Process("entry-2").id_, SIGTERM) == 0);
  CHECK(SendOnlineAndWait("entry-1", "/look-up/1")->body_ == WholeStream());
  RunUntil([&call] { return call->HasEnded(); });
  // The host deletes its registration, so that the other hosts notice the stop
  // immediately.
  RunUntil([this] { return ReadKey("pumiceturn/host/entry-2").empty(); });
}

} // namespace pumiceturn::adapter
