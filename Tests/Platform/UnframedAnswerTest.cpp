#include "Tests/Platform/RawServerFixture.h"

namespace pumiceturn::adapter {

/// Servers whose answers have neither a length nor chunks, and end with their
/// connection.
class UnframedAnswerFixture : protected RawServerFixture
{};

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

// Guards against a part of an answer that looks complete, as its server reset
// the connection while it still got the request.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ResetDuringUpload_IsNotComplete")
{
  constexpr std::size_t kUploadBytes = 4'000'000;
  AddRawServer("i-1", std::string(kHead) + "\r\npart", RawServer::End::Reset);
  Start();
  const auto call = SendAndWait(*host_,
                                "POST",
                                "/once/1",
                                "Attempt-Id: r1\r\nDeadline-Ms: 4000\r\n",
                                std::string(kUploadBytes, 'u'));
  CHECK(call->status_ == 502);
}

// Guards against passing on an answer whose status is none.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_StatusIsNoStatus_IsNotPassedOn")
{
  std::string answer = std::string(kHead) + "\r\nbody";
  answer.replace(answer.find("200 OK"), 6, "000 ??");
  AddRawServer("i-1", answer, RawServer::End::Orderly);
  Start();
  CHECK(Call("/once/1")->status_ == 502);
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
  // Besides, it is asked for what follows the last event.
  REQUIRE(server.Requests().size() == 2);
  CHECK(server.Requests()[1].find("Last-Event-Id: 6\r\n") != std::string::npos);
}

// Guards against a truncated stream that ends as complete, as its server
// doesn't say whether there is a rest.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerDoesNotSayWhetherIsWhole_OtherIsAsked")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Orderly)
    .SetLaterAnswer(1, {});
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
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
  RawServer& server = AddRawServer("i-1", answer, RawServer::End::Orderly);
  server.SetRest(ForItem(StreamHead()));
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
  // Besides, it is asked for what follows the last event.
  REQUIRE(server.Requests().size() == 2);
  CHECK(server.Requests()[1].find("Last-Event-Id: 6\r\n") != std::string::npos);
}

// Guards against a stream that looks complete though the server's process ended
// after an event: the kernel ends its connections in order.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerEndsAfterAnEvent_IsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Process);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(call->body_ == EventsFrom(1, 2));
}

// Guards against a stream that looks complete as the kernel still accepts
// connections for the server's process, which has ended.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ListeningSocketClosesLater_IsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::ProcessSlowly);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(call->body_ == EventsFrom(1, 2));
}

// Guards against a stream that looks complete as the server's next process
// answers when the host goes on after a suspension.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerRestartsWhileSuspended_IsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::RestartWhileSuspended);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(call->body_ == EventsFrom(1, 2));
}

// Guards against a stream without its last events, as in the case before.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerEndsAfterAnEvent_ResumesElsewhere")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Process);
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against an empty stream that looks complete though the server's
// process ended before the first event.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerEndsBeforeFirstEvent_IsNoEmptyStream")
{
  AddRawServer("i-1", StreamHead(), RawServer::End::Process);
  Start();
  CHECK(Call("/stream/1")->status_ == 502);
}

// Guards against an item's output that lacks its end, as the server's process
// ended after an event.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_OfItemServerEnds_OutputGoesOnElsewhere")
{
  AddRawServer("i-1", ForItem(StreamFrom(1, 2)), RawServer::End::Process);
  Start();
  Submit();
  RunUntil([this] { return !rawServers_[0]->Requests().empty(); });
  AddServer("i-2");
  CHECK(WaitForOutput() == WholeOutput());
}

// Guards against a body that is passed on as whole though the server's process
// ended within it.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_ServerEndsWithinBody_IsNotComplete")
{
  AddRawServer("i-1",
               std::string(kHead) + "\r\n" + std::string(100'000, 'b'),
               RawServer::End::Process);
  Start();
  CHECK(Call("/once/1")->status_ == 502);
}

// Guards against an error that is taken for the rest of a stream, as it has the
// type of one.
TEST_CASE_METHOD(UnframedAnswerFixture,
                 "UnframedAnswer_RestIsAnError_StreamIsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2, "id: 3\nda"), RawServer::End::Orderly);
  std::string error = StreamHead();
  error.replace(error.find("200 OK"), 6, "500 Failed");
  AddRawServer("i-2", error, RawServer::End::Orderly);
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

} // namespace pumiceturn::adapter
