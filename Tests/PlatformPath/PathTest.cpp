#include "Tests/PlatformPath/PathFixture.h"

#include <set>

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
  CHECK(call->end_ != httpstream::CallEnd::Complete);
}

TEST_CASE_METHOD(PathFixture, "Path_Lot_IsAnsweredOnceAtEveryHost")
{
  CHECK(Submit("entry-1", "lot1", "/lots/1", 12) == 202);
  CHECK(Submit("entry-2", "lot1", "/lots/1", 12) == 202);
  const json page = WaitForAll("entry-1", "lot1", 12);
  std::set<std::string> items;
  for (const json& result : page["results"]) {
    items.insert(result["id"].get<std::string>());
    CHECK(result["state"] == "completed");
    CHECK(result["output"] == WholeOutput());
  }
  CHECK(items.size() == 12);
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

TEST_CASE_METHOD(PathFixture, "Path_BrokenCalls_AreAnsweredAndHarmNothing")
{
  CHECK(Ask("entry-1", "POST", "/lots/1", "Attempt-Id: x\r\n", "{")->status_ ==
        400);
  CHECK(Ask("entry-1", "POST", "/nowhere", "Attempt-Id: x\r\n")->status_ ==
        404);
  CHECK(Look("entry-1", "/look-up/1")->body_ == WholeStream());
}

// A lot never ends, or an item is listed twice: its worker is killed while it
// runs, and the other takes over when the registration lapses.
TEST_CASE_METHOD(PathFixture, "Path_WorkerKilled_OtherEndsItsLot")
{
  constexpr std::size_t kItems = 4;
  std::string lot;
  int tries = 0;
  // The entry host may not know of the workers yet, and takes a lot itself.
  RunUntil([&] {
    lot = "kill" + std::to_string(++tries);
    CHECK(Submit("entry-1", lot, "/lots/hold-2", kItems) == 202);
    return ReadKey("pumiceturn/lot/" + lot).find("worker-") !=
           std::string::npos;
  });
  std::string owner;
  RunUntil([&] {
    const std::string state = ReadKey("pumiceturn/lot/" + lot);
    const std::string progress =
      ReadKey("pumiceturn/data/" + lot + "/progress");
    owner =
      state.find("worker-1") != std::string::npos ? "worker-1" : "worker-2";
    return progress.find("text-2") != std::string::npos;
  });
  CHECK(::kill(Process(owner).id_, SIGKILL) == 0);
  const json page = WaitForAll("entry-2", lot, kItems);
  std::set<std::string> items;
  for (const json& result : page["results"]) {
    items.insert(result["id"].get<std::string>());
    CHECK(result["output"] == WholeOutput());
  }
  CHECK(items.size() == kItems);
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
