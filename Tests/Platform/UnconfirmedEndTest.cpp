#include "Tests/Platform/RawServerFixture.h"
#include "Tests/Platform/TestRoute.h"

namespace pumiceturn::adapter {

/// Responses that end only with their connection, where the check of their
/// server tells too much or too little.
class UnconfirmedEndFixture : protected RawServerFixture
{
protected:
  /// @return a response without a body, a length or chunks.
  static std::string Refusal(std::string_view aStatus)
  {
    std::string head(kHead);
    head.replace(head.find("200 OK"), 6, aStatus);
    return head + "Not-Run: 1\r\n\r\n";
  }

  /// Starts a host with a route of resumable streams that get one attempt.
  void StartWithOneAttempt()
  {
    nlohmann::json single = MakeTestRoute("single", "stream");
    single["resumable"] = true;
    single["maxAttempts"] = 1;
    store_.Put("op/config",
               nlohmann::json{ { "version", 1 },
                               { "routes", { single } },
                               { "services",
                                 { { { "name", "service" },
                                     { "maxConns", 100 },
                                     { "healthPath", "/health" } } } } }
                 .dump());
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] {
      return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }
};

// Guards against a stream that looks complete as the next process at its
// server's address sends a report without a name. Only requests that are to run
// are known to be rejected there.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_NextProcessSendsReport_StreamIsBrokenOff")
{
  RawServer& server =
    AddRawServerWithoutStart("i-1", StreamFrom(1, 2), RawServer::End::Restart);
  server.SetHealth(RawServer::Health::Named, RawServer::Health::Refused);
  server.SetRejectsMisdirectedReports(false);
  Start();
  CHECK(Call("/stream/1")->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against a stream that looks complete as the next process under its
// server's id answers, where the entry has no start but reports have one.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_EntryLacksStart_StreamIsBrokenOff")
{
  RawServer& server = MakeRawServer(
    "i-1", StreamFrom(1, 2), RawServer::End::RestartWhileSuspended);
  Register("i-1", server, "ready", {});
  Start();
  CHECK(Call("/stream/1")->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against a stream that looks complete as its server, which runs on,
// truncates it between two events: another server has the rest.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_ServerTruncatesStream_RestIsAskedFor")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Orderly);
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == WholeStream());
}

// Guards against the same where the server has the rest itself, and no other
// one may be asked.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_ServerTruncatesOnce_ItIsAskedForTheRest")
{
  RawServer& server =
    AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Orderly);
  server.SetRest(StreamFrom(3, ServerStandin::kEventCount));
  StartWithOneAttempt();
  const auto call = Call("/single/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against more than one question for the rest of a whole stream, and
// against one to a server that the route's attempts don't allow.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_StreamIsWhole_ItsServerIsAskedOnce")
{
  RawServer& server = AddRawServer(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly);
  server.SetRest(StreamHead());
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  CHECK(server.Requests().size() == 2);
}

// Guards against breaking off a whole stream as its server has no slot for the
// question for a rest, or takes it for an error.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_ServerDoesNotTellOfRest_StreamIsComplete")
{
  RawServer& server = AddRawServer(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly);
  Start();
  std::string error = Refusal("404 Not Found");
  error.erase(error.find("Not-Run"), sizeof("Not-Run: 1\r\n") - 1);
  for (const std::string& answer : { Refusal("503 Unavailable"), error }) {
    server.SetRest(answer);
    const auto call = Call("/resumable/1");
    CHECK(call->body_ == WholeStream());
    CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  }
}

// Guards against an item whose output lacks its end, as in the case before.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_ServerTruncatesItem_RestIsAskedFor")
{
  AddRawServer("i-1", ForItem(StreamFrom(1, 2)), RawServer::End::Orderly);
  Start();
  Submit();
  RunUntil([this] { return !rawServers_[0]->Requests().empty(); });
  AddServer("i-2");
  CHECK(WaitForOutput() == WholeOutput());
}

// Guards against an unsafe request that fails though its server refused it and
// another one has room: the head of a refusal says that it didn't run.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_OfRefusal_RequestIsSentElsewhere")
{
  AddRawServerWithoutStart(
    "i-1", Refusal("503 Unavailable"), RawServer::End::Orderly)
    .SetHealth(RawServer::Health::Silent, RawServer::Health::Silent);
  AddServer("i-2");
  Start();
  CHECK(CallAtRawServer("/once/1")->status_ == 200);
}

// Guards against the same where another process at the address refuses it.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_OfMisdirectedRequest_RequestIsSentElsewhere")
{
  AddRawServerWithoutStart(
    "i-1", Refusal("421 Misdirected"), RawServer::End::Restart);
  AddServer("i-2");
  Start();
  CHECK(CallAtRawServer("/once/1")->status_ == 200);
}

// Guards against an item that can never be done and is sent again and again, as
// its server doesn't say which process it is after its 422.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_OfRejectedItem_ItemIsErrored")
{
  constexpr std::size_t kMaxRejections = 3;
  std::string answer = ForItem(std::string(kHead) + "\r\n");
  answer.replace(answer.find("200 OK"), 6, "422 Unprocessable");
  RawServer& server =
    AddRawServerWithoutStart("i-1", answer, RawServer::End::Orderly);
  server.SetHealth(RawServer::Health::Silent, RawServer::Health::Silent);
  Start();
  Submit();
  std::string page;
  RunUntil([&] {
    page = SendAndWait(*host_, "GET", "/api/lots/job?after=0")->body_;
    return page.find("errored") != std::string::npos ||
           server.Requests().size() > kMaxRejections;
  });
  CHECK(server.Requests().size() <= kMaxRejections);
}

// Guards against a stream that looks complete as its server, whose end isn't
// announced, ends its responses in order a moment before its process ends.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_ServerExitsUnannounced_StreamIsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Exit);
  Start();
  CHECK(Call("/stream/1")->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against a stream that is broken off as the crash of its server used up
// the route's only attempt: the next process, which has another id, rejects the
// question for its report.
TEST_CASE_METHOD(UnconfirmedEndFixture,
                 "UnconfirmedEnd_NextProcessRejectsReport_GoesOnElsewhere")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Restart);
  AddServer("i-2");
  StartWithOneAttempt();
  const auto call = CallAtRawServer("/single/1");
  CHECK(call->body_ == WholeStream());
}

} // namespace pumiceturn::adapter
