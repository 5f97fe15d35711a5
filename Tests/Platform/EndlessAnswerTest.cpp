#include "Tests/EndlessServer.h"
#include "Tests/Platform/BatchJobsFixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace pumiceturn::adapter {

using namespace std::chrono_literals;

/// A host, sound servers, and one that answers without end.
class EndlessAnswerFixture : protected BatchJobsFixture
{
protected:
  using Clock = std::chrono::steady_clock;

  static constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n";

  static std::string StreamHead()
  {
    return std::string(kHead) + "Content-Type: text/event-stream\r\n\r\n";
  }

  /// Answers that are no stream of events, or of one event without end.
  static std::vector<EndlessAnswer> Answers()
  {
    return {
      { "no HTTP", "", "garbage " },
      { "header line", "HTTP/1.1 200 OK\r\nX-A: ", "aaaa" },
      { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
      { "body", std::string(kHead) + "\r\n", "body" },
      { "stream without an empty line", StreamHead(), "data" },
      { "lines of one event", StreamHead(), "data: a\n" },
      { "the first event again", StreamHead(), "id: 1\ndata: a\n\n" },
      { "part of an event, slowly", StreamHead(), "a", 20ms },
    };
  }

  EndlessAnswerFixture()
  {
    RunUntil([this] {
      return SendToAndWait(Loopback(entry_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  void AddEndlessServer(EndlessAnswer aAnswer)
  {
    endless_ = std::make_unique<EndlessServer>(context_, std::move(aAnswer));
    const std::string address = fmt::format("127.0.0.1:{}", endless_->Port());
    // More slots than the sound ones have, so that it is preferred.
    store_.Put(fmt::format("servers/e-{}", ++added_),
               json{ { "service", "service" },
                     { "address", address },
                     { "zone", "a" },
                     { "version", "v1" },
                     { "slots", 8 },
                     { "state", "ready" },
                     { "coldLeftMs", 0 },
                     { "seq", 1 },
                     { "born", 1 } }
                 .dump());
  }

  /// Checks that the host has closed all its connections.
  void RemoveEndlessServer()
  {
    RunUntil([this] { return endless_->OpenCount() == 0; });
    store_.Remove(fmt::format("servers/e-{}", added_));
  }

  std::unique_ptr<CallerCall> CallInTime(const std::string& aPath)
  {
    const auto start = Clock::now();
    auto call = SendAndWait(
      *entry_, "POST", aPath, "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
    CHECK(Clock::now() - start < 8s);
    return call;
  }

  /// @return the results of a new job.
  json RunJob()
  {
    constexpr std::size_t kItems = 6;
    const std::string job = fmt::format("job{}", ++jobs_);
    CHECK(SendAndWait(*entry_,
                      "POST",
                      "/lots/1",
                      "Attempt-Id: " + job + "\r\n",
                      JobBody(kItems, job))
            ->status_ == 202);
    json page;
    RunUntil([&] {
      const auto call =
        SendAndWait(*entry_, "GET", "/api/lots/" + job + "?after=0");
      page = call->status_ == 200 ? json::parse(call->body_) : json();
      return page.is_object() && page["results"].size() == kItems;
    });
    return page;
  }

  int added_ = 0;
  int jobs_ = 0;
  std::unique_ptr<EndlessServer> endless_;
};

// Guards against a server that sends without end and holds its callers until
// their deadlines, though others could serve them.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "EndlessAnswer_ToResumableStreams_OthersServeThem")
{
  for (EndlessAnswer& answer : Answers()) {
    INFO(answer.name_);
    AddEndlessServer(std::move(answer));
    RunUntil([this] {
      const auto call = CallInTime("/resumable/1");
      // A stream that has begun goes on at another server.
      const bool isMixed = call->body_.starts_with("id: 1\ndata: a\n\n");
      CHECK((isMixed || call->body_ == WholeStream()));
      return endless_->RequestCount() > 0;
    });
    RemoveEndlessServer();
  }
}

// Guards against items that never end, as their server sends without end.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "EndlessAnswer_ToItems_AllAreCompletedElsewhere")
{
  for (EndlessAnswer& answer : Answers()) {
    INFO(answer.name_);
    // A text that has begun can't be told from one that belongs to the item.
    const bool beginsText = answer.name_ == "the first event again";
    AddEndlessServer(std::move(answer));
    RunUntil([&] {
      for (const json& result : RunJob()["results"]) {
        CHECK(result["state"] == "completed");
        CHECK((beginsText || result["output"] == WholeOutput()));
      }
      return endless_->RequestCount() > 0;
    });
    RemoveEndlessServer();
  }
}

// Guards against events without end that are taken for the text of an item.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "EndlessAnswer_EventsWithoutEnd_AreNotPartOfAnItem")
{
  std::string events;
  for (int event = 1; event <= 20000; ++event) {
    events += fmt::format("id: {}\ndata: {}\n\n", event, std::string(40, 'x'));
  }
  AddEndlessServer({ "events", StreamHead() + events, "data: x\n\n" });
  RunUntil([this] {
    for (const json& result : RunJob()["results"]) {
      CHECK(result["state"] == "completed");
      CHECK(result["output"] == WholeOutput());
    }
    return endless_->RequestCount() > 0;
  });
  RemoveEndlessServer();
}

// Guards against requests that can't be repeated and wait for the end of an
// answer without end.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "EndlessAnswer_ToOtherRequests_EndsThemAtOnce")
{
  store_.Remove("servers/i-1");
  store_.Remove("servers/i-2");
  for (const char* path : { "/once/1", "/stream/1" }) {
    for (EndlessAnswer& answer : Answers()) {
      INFO(path << ": " << answer.name_);
      AddEndlessServer(std::move(answer));
      std::unique_ptr<CallerCall> call;
      RunUntil([&] {
        call = CallInTime(path);
        return endless_->RequestCount() > 0;
      });
      INFO("status " << call->status_);
      CHECK((call->outcome_ != httpstream::CallOutcome::Complete ||
             call->status_ >= 500));
      RemoveEndlessServer();
    }
  }
}

} // namespace pumiceturn::adapter
