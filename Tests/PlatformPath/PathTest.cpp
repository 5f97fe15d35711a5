#include "Tests/PlatformPath/PathFixture.h"

#include <csignal>

namespace pumiceturn::adapter {

TEST_CASE_METHOD(PathFixture, "Path_CalmStream_PassesUnchanged")
{
  const auto call = Look("entry-1", "/look-up/1");
  CHECK(call->status_ == 200);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == WholeStream());
}

// A reader's text has a gap or a word twice: the server broke off in the middle
// of an event, and another goes on.
TEST_CASE_METHOD(PathFixture, "Path_StreamBreaksOff_GoesOnWithoutGapOrDouble")
{
  const auto call = Look("entry-2", "/look-up/break-3");
  CHECK(call->status_ == 200);
  CHECK(call->body_ == WholeStream());
}

TEST_CASE_METHOD(PathFixture, "Path_UnsafeRequestBreaksOff_IsNotSentAgain")
{
  const auto call = Look("entry-1", "/booking/break-3");
  CHECK(call->body_ != WholeStream());
  CHECK(call->end_ != httpstream::CallOutcome::Complete);
}

TEST_CASE_METHOD(PathFixture, "Path_Job_IsAnsweredOnceAtEveryHost")
{
  CHECK(Submit("entry-1", "lot1", "/lots/1", 12) == 202);
  CHECK(Submit("entry-2", "lot1", "/lots/1", 12) == 202);
  const json page = WaitForAll("entry-1", "lot1", 12);
  CHECK(AreWholeAndDistinct(page, 12));
  CHECK(WaitForAll("entry-2", "lot1", 12) == page);
  CHECK(Ask("entry-2", "GET", "/api/items/lot1/lot1-3")->status_ != 503);
}

TEST_CASE_METHOD(PathFixture, "Path_NewConfiguration_IsInForceAtEveryHost")
{
  CHECK(Look("entry-1", "/fresh/1")->status_ == 404);
  json configuration = json::parse(ReadKey("op/config"));
  configuration["version"] = configuration["version"].get<int>() + 3;
  json route = configuration["routes"][0];
  route["name"] = "fresh";
  route["prefix"] = "/fresh/";
  configuration["routes"].push_back(route);
  WriteKey("op/config", configuration.dump());
  for (const char* entry : { "entry-1", "entry-2" }) {
    RunUntil([&] { return Look(entry, "/fresh/1")->status_ == 200; });
  }
}

// A key that had been taken away still ran requests at one of the hosts.
TEST_CASE_METHOD(PathFixture, "Path_KeyTakenAway_RunsNothingAtAnyHost")
{
  const std::string former = "Authorization: Bearer parish-key-before\r\n";
  const auto statusAt = [&](const char* aEntry) {
    return Ask(aEntry, "POST", "/look-up/1", "Attempt-Id: r1\r\n" + former)
      ->status_;
  };
  CHECK(statusAt("entry-1") == 200);
  json configuration = json::parse(ReadKey("op/config"));
  configuration["version"] = configuration["version"].get<int>() + 2;
  configuration["tenants"][0]["apiKeys"] = { "parish-key" };
  WriteKey("op/config", configuration.dump());
  for (const char* entry : { "entry-1", "entry-2" }) {
    RunUntil([&] { return statusAt(entry) == 401; });
    CHECK(Look(entry, "/look-up/1")->status_ == 200);
  }
}

TEST_CASE_METHOD(PathFixture, "Path_BrokenCalls_AreAnsweredAndHarmNothing")
{
  CHECK(Ask("entry-1", "POST", "/lots/1", "Attempt-Id: x\r\n", "{")->status_ ==
        400);
  CHECK(Ask("entry-1", "POST", "/nowhere", "Attempt-Id: x\r\n")->status_ ==
        404);
  CHECK(Look("entry-1", "/look-up/1")->body_ == WholeStream());
}

// An item is listed twice: its worker stood still, the other took the job over,
// and the first woke up with results of its own in hand.
TEST_CASE_METHOD(PathFixture, "Path_WorkerFreezes_ItsLateResultsChangeNothing")
{
  constexpr std::size_t kItems = 4;
  const SpooledJob held = SubmitSpooledJob("frozen", kItems);
  CHECK(::kill(Process(held.owner_).id_, SIGSTOP) == 0);
  const json page = WaitForAll("entry-2", held.job_, kItems);
  CHECK(AreWholeAndDistinct(page, kItems));
  CHECK(::kill(Process(held.owner_).id_, SIGCONT) == 0);
  // Once it is registered again, it has read what became of its job.
  RunUntil([&] {
    return !ReadKey("pumiceturn/host/" + held.owner_).empty() &&
           ReadKey("pumiceturn/lot/" + held.job_).find("\"finished\":true") !=
             std::string::npos;
  });
  CHECK(WaitForAll("entry-1", held.job_, kItems) == page);
}

// A job never ends, or an item is listed twice: its worker is killed while it
// runs, and the other takes over when the registration lapses.
TEST_CASE_METHOD(PathFixture, "Path_WorkerKilled_OtherEndsItsJob")
{
  constexpr std::size_t kItems = 4;
  const SpooledJob held = SubmitSpooledJob("killed", kItems);
  CHECK(::kill(Process(held.owner_).id_, SIGKILL) == 0);
  CHECK(AreWholeAndDistinct(WaitForAll("entry-2", held.job_, kItems), kItems));
}

// A caller's answer is cut off, because its host is asked to stop.
TEST_CASE_METHOD(PathFixture, "Path_EntryHostStops_OpenAnswerEndsFirst")
{
  const auto held = Send("entry-2",
                         "POST",
                         "/look-up/hold-2",
                         "Attempt-Id: r7\r\nDeadline-Ms: 2000\r\n");
  RunUntil([&held] { return !held->body_.empty(); });
  CHECK(::kill(Process("entry-2").id_, SIGTERM) == 0);
  CHECK(Look("entry-1", "/look-up/1")->body_ == WholeStream());
  RunUntil([&held] { return held->IsOver(); });
  // Its registration goes with it, and the others know at once.
  RunUntil([this] { return ReadKey("pumiceturn/host/entry-2").empty(); });
}

} // namespace pumiceturn::adapter
