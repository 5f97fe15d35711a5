#include "Cases.h"
#include "ModelServer.h"

// A faulty server sends additional bytes after a complete answer. They arrive
// late, when the next request is already on the connection.

namespace review {

namespace {

constexpr int kRequests = 600;

/// One answer in this many of the faulty server is spoiled: 0.03 of them.
constexpr int kSpoiledOneIn = 33;

json
Configuration()
{
  const json route = {
    { "name", "r-docket" },   { "hostname", "docket.example" },
    { "prefix", "/docket/" }, { "kind", "unsafe" },
    { "timeoutMs", 5000 },    { "sloMs", 300 },
    { "priority", 0 },        { "service", "docket" },
    { "maxAttempts", 1 }
  };
  return { { "version", 7 },
           { "routes", json::array({ route }) },
           { "services",
             json::array({ { { "name", "docket" },
                             { "healthPath", "/health" },
                             { "maxConns", 210 } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

} // namespace

void
RunLateBytes(Recorder& aRecorder)
{
  const bool hasTrouble = HasTrouble();
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());

  std::mutex mutex;
  std::map<std::string, std::string> bodies; // Of answers, by request.
  std::map<std::string, int> runs;
  int spoiled = 0;
  std::vector<std::unique_ptr<ModelServer>> servers;
  for (int index = 1; index <= 2; ++index) {
    const std::string id = "i-" + std::to_string(index);
    auto count = std::make_shared<int>(0);
    auto debt = std::make_shared<std::map<int, std::string>>();
    servers.push_back(std::make_unique<ModelServer>(
      deployment.Ip(100 + index),
      id,
      "docket",
      8,
      [&, id, index, count, debt](Connection& aConnection,
                                  const Message& aRequest) {
        const std::string request = aRequest.Field("Attempt-Id");
        const std::string body = "docket of " + request + " by " + id;
        std::string extra;
        bool isSpoiled = false;
        {
          const std::lock_guard lock(mutex);
          bodies[request] = body;
          ++runs[request];
          isSpoiled = index == 1 && hasTrouble && ++*count % kSpoiledOneIn == 0;
          // The connection's earlier answer was spoiled: its surplus is late.
          const auto due = debt->find(aConnection.Socket());
          if (due != debt->end()) {
            extra = due->second;
            debt->erase(due);
            ++spoiled;
          }
          if (isSpoiled) {
            const std::string text = "surplus bytes after " + request;
            (*debt)[aConnection.Socket()] =
              "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
              "Content-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text;
          }
        }
        if (!extra.empty()) {
          aRecorder.Line("server " + id + " sends late bytes before its " +
                         "answer to " + request);
          if (!aConnection.Send(extra)) {
            return false;
          }
        }
        aRecorder.Line("server " + id + " runs " + request);
        std::this_thread::sleep_for(Milliseconds(5));
        return aConnection.Send(
          "HTTP/1.1 200 OK\r\n" + AnswerFields(aRequest, "seal-" + request) +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      }));
    servers.back()->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }

  int served = 0;
  int wrong = 0;
  for (int index = 0; index < kRequests; ++index) {
    const std::string request = RandomId();
    const std::string text = "what " + request + " asks for";
    const Answer answer =
      Call(deployment.Ip(11),
           Deployment::kFrontPort,
           "POST /docket/" + std::to_string(index) +
             " HTTP/1.1\r\nHost: docket.example\r\nAttempt-Id: " + request +
             "\r\nDeadline-Ms: 5000\r\nContent-Length: " +
             std::to_string(text.size()) + "\r\n\r\n" + text,
           Milliseconds(5500));
    const int status = answer.message_.Status();
    const std::string seal = answer.message_.Field("Server-Seal");
    const bool isSuccess = status >= 200 && status < 300;
    std::string expected;
    {
      const std::lock_guard lock(mutex);
      expected = bodies[request];
    }
    const bool isRight = !isSuccess || (seal == "seal-" + request &&
                                        answer.message_.body_ == expected);
    served += isSuccess && isRight ? 1 : 0;
    wrong += isRight ? 0 : 1;
    aRecorder.Line("request " + request + " answered " +
                   std::to_string(status) + " seal '" + seal + "' body '" +
                   answer.message_.body_ + "'" +
                   (isRight ? "" : "  <- not the server's answer"));
  }
  aRecorder.Line("requests " + std::to_string(kRequests) + ", served " +
                 std::to_string(served) + ", late surplus bytes " +
                 std::to_string(spoiled) + ", wrong successes " +
                 std::to_string(wrong));
  if (served < kRequests / 2) {
    deployment.Finish(kCouldNotRun);
  }
  deployment.Finish(wrong > 0 ? kBroken : kHeld);
}

} // namespace review
