#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/RawServer.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

/// A host, and servers whose answers have neither a length nor chunks, and end
/// with their connection.
class UnframedAnswerFixture : protected GatewayFixture
{
protected:
  static constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: r1\r\n";

  static std::string StreamFrom(std::uint64_t aFirst,
                                std::uint64_t aLast,
                                std::string_view aRest = {})
  {
    std::string text =
      std::string(kHead) + "Content-Type: text/event-stream\r\n\r\n";
    for (std::uint64_t event = aFirst; event <= aLast; ++event) {
      text +=
        ServerStandin::EventText(event, ServerStandin::kDefaultVersion, 0);
    }
    return text.append(aRest);
  }

  RawServer& AddRawServer(const std::string& aName,
                          std::string aAnswer,
                          RawServer::End aEnd)
  {
    rawServers_.push_back(
      std::make_unique<RawServer>(context_, std::move(aAnswer), aEnd));
    store_.Put("servers/" + aName,
               nlohmann::json{ { "service", "service" },
                               { "address", rawServers_.back()->Address() },
                               { "zone", "a" },
                               { "version", "v1" },
                               { "slots", 8 },
                               { "state", "ready" },
                               { "coldLeftMs", 0 },
                               { "seq", 1 },
                               { "born", 1 } }
                 .dump());
    return *rawServers_.back();
  }

  void Start()
  {
    WriteConfiguration(1);
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] {
      return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  std::unique_ptr<CallerCall> Call(const std::string& aPath,
                                   const std::string& aFields = {})
  {
    return SendAndWait(*host_,
                       "POST",
                       aPath,
                       "Attempt-Id: r1\r\nDeadline-Ms: 4000\r\n" + aFields);
  }

  TestHost* host_ = nullptr;
  std::vector<std::unique_ptr<RawServer>> rawServers_;
};

TEST_CASE_METHOD(UnframedAnswerFixture, "UnframedAnswer_WholeStream_IsComplete")
{
  AddRawServer(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly);
  Start();
  for (const char* path : { "/stream/1", "/resumable/1" }) {
    const auto call = Call(path);
    CHECK(call->body_ == WholeStream());
    CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  }
}

// Guards against a stream that looks complete though it ended inside an event.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_EndsInsideAnEvent_IsBrokenOff")
{
  const RawServer& server =
    AddRawServer("i-1", StreamFrom(1, 2, "id: 3\nda"), RawServer::End::Orderly);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(server.Requests().size() == 1);
}

TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_EndsInsideAnEvent_ResumesElsewhere")
{
  AddRawServer("i-1", StreamFrom(1, 2, "id: 3\nda"), RawServer::End::Orderly);
  Start();
  AddServer("i-2");
  RunUntil([this] {
    const auto call = Call("/resumable/1");
    return !rawServers_[0]->Requests().empty() &&
           !servers_[0]->Requests().empty() && call->body_ == WholeStream();
  });
  const auto call = Call("/resumable/1");
  CHECK(call->body_ == WholeStream());
}

// Guards against an answer that was cut by a reset and looks complete.
TEST_CASE_METHOD(UnframedAnswerFixture, "UnframedAnswer_IsReset_IsNotComplete")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Reset);
  Start();
  CHECK(Call("/stream/1")->outcome_ != httpstream::CallOutcome::Complete);
}

TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_RestOfStream_IsComplete")
{
  const RawServer& server = AddRawServer(
    "i-1", StreamFrom(4, ServerStandin::kEventCount), RawServer::End::Orderly);
  Start();
  const auto call = Call("/resumable/1", "Last-Event-Id: 3\r\n");
  std::string rest;
  for (std::uint64_t event = 4; event <= ServerStandin::kEventCount; ++event) {
    rest += ServerStandin::EventText(event, ServerStandin::kDefaultVersion, 0);
  }
  CHECK(call->body_ == rest);
  CHECK(server.Requests().size() == 1);
}

TEST_CASE_METHOD(UnframedAnswerFixture, "UnframedAnswer_Body_IsPassedOnWhole")
{
  AddRawServer("i-1",
               std::string(kHead) + "\r\n" + std::string(100'000, 'b'),
               RawServer::End::Orderly);
  Start();
  for (const char* path : { "/once/1", "/v1/1" }) {
    const auto call = Call(path);
    CHECK(call->status_ == 200);
    CHECK(call->body_.size() == 100'000);
    CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  }
}

TEST_CASE_METHOD(UnframedAnswerFixture, "UnframedAnswer_OfItem_IsItsOutput")
{
  std::string answer = StreamFrom(1, ServerStandin::kEventCount);
  answer.replace(answer.find("r1"), 2, "item-0");
  AddRawServer("i-1", answer, RawServer::End::Orderly);
  Start();
  CHECK(
    SendAndWait(*host_, "POST", "/lots/1", "Attempt-Id: job\r\n", JobBody(1))
      ->status_ == 202);
  std::string page;
  RunUntil([&] {
    page = SendAndWait(*host_, "GET", "/api/lots/job?after=0")->body_;
    return page.find("completed") != std::string::npos;
  });
  CHECK(nlohmann::json::parse(page)["results"][0]["output"] == WholeOutput());
}

} // namespace pumiceturn::adapter
