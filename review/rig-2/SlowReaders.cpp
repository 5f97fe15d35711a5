#include "Cases.h"
#include "ModelServer.h"

#include <csignal>
#include <sys/socket.h>

// Callers read their answers slowly: each pauses for some seconds before it
// reads on. Meanwhile the entry host is asked to stop, which leaves it enough
// time for all of them.

namespace review {

namespace {

constexpr int kCallers = 8;
constexpr std::size_t kBodyBytes = 200000;
constexpr Milliseconds kPause{ 4500 };

/// Time that the servers take for an answer.
constexpr Milliseconds kWork{ 800 };

/// From the requests to the SIGTERM.
constexpr Milliseconds kUntilStop{ 500 };
constexpr int kReceiveBuffer = 16384;

json
Configuration()
{
  const json route = { { "name", "r-doc" },    { "hostname", "doc.example" },
                       { "prefix", "/doc/" },  { "kind", "safe" },
                       { "timeoutMs", 15000 }, { "sloMs", 300 },
                       { "priority", 0 },      { "service", "doc" },
                       { "maxAttempts", 2 } };
  return { { "version", 7 },
           { "routes", json::array({ route }) },
           { "services",
             json::array({ { { "name", "doc" },
                             { "healthPath", "/health" },
                             { "maxConns", 210 } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

struct Tally
{
  std::atomic<int> whole_ = 0;
  std::atomic<int> cut_ = 0;
};

bool
RunRequest(Recorder& aRecorder,
           const std::string& aServer,
           Connection& aConnection,
           const Message& aRequest)
{
  const std::string request = aRequest.Field("Attempt-Id");
  aRecorder.Line("server " + aServer + " runs " + request);
  std::this_thread::sleep_for(kWork);
  return aConnection.Send("HTTP/1.1 200 OK\r\n" +
                          AnswerFields(aRequest, "seal-" + request) +
                          "Content-Length: " + std::to_string(kBodyBytes) +
                          "\r\n\r\n" + std::string(kBodyBytes, 'x'));
}

void
ReadSlowly(Recorder& aRecorder, const Deployment& aDeployment, Tally& aTally)
{
  const int socket = Connect(aDeployment.Ip(11), Deployment::kFrontPort);
  ::setsockopt(
    socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  Connection connection(socket);
  const std::string request = RandomId();
  aRecorder.Line("request " + request + " sent");
  (void)connection.Send("GET /doc/long HTTP/1.1\r\nHost: doc.example\r\n"
                        "Attempt-Id: " +
                        request + "\r\nDeadline-Ms: 10000\r\n\r\n");
  if (HasTrouble()) {
    std::this_thread::sleep_for(kPause);
  }
  const Answer answer =
    connection.ReadAnswer(Clock::now() + Milliseconds(6000));
  const bool isWhole = answer.end_ == BodyEnd::Complete &&
                       answer.message_.body_.size() == kBodyBytes;
  ++(isWhole ? aTally.whole_ : aTally.cut_);
  aRecorder.Line("request " + request + " answered " +
                 std::to_string(answer.message_.Status()) + ", " +
                 std::to_string(answer.message_.body_.size()) + " bytes, " +
                 (isWhole ? "complete" : "cut  <- no complete answer"));
}

} // namespace

void
RunSlowReaders(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  for (int index = 1; index <= 2; ++index) {
    const std::string id = "i-" + std::to_string(index);
    auto* server = new ModelServer(
      deployment.Ip(100 + index),
      id,
      "doc",
      8,
      [&aRecorder, id](Connection& aConnection, const Message& aRequest) {
        return RunRequest(aRecorder, id, aConnection, aRequest);
      });
    server->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("front-2", 12, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }
  std::this_thread::sleep_for(Milliseconds(3500));
  Tally tally;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] { ReadSlowly(aRecorder, deployment, tally); });
  }
  std::this_thread::sleep_for(kUntilStop);
  aRecorder.Line("SIGTERM to front-1");
  deployment.Signal("front-1", SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  aRecorder.Line("whole " + std::to_string(tally.whole_) + ", cut " +
                 std::to_string(tally.cut_));
  deployment.Finish(tally.cut_ > 0 ? kBroken : kHeld);
}

} // namespace review
