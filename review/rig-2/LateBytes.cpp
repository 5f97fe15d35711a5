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

/// What the servers did, and what the callers got.
struct Tally
{
  std::mutex mutex_;
  std::map<std::string, std::string> bodies_; // Of answers, by request.
  int spoiled_ = 0;
  int served_ = 0;
  int wrong_ = 0;
};

/// Runs requests; sends surplus bytes late if it is the faulty one.
class Docket
{
public:
  Docket(Recorder& aRecorder, Tally& aTally, std::string aId, bool aIsFaulty)
    : recorder_(aRecorder)
    , tally_(aTally)
    , id_(std::move(aId))
    , isFaulty_(aIsFaulty)
  {
  }

  bool Run(Connection& aConnection, const Message& aRequest)
  {
    const std::string request = aRequest.Field("Attempt-Id");
    const std::string body = "docket of " + request + " by " + id_;
    const std::string extra = Spoil(aConnection, request, body);
    if (!extra.empty()) {
      recorder_.Line("server " + id_ + " sends late bytes before its " +
                     "answer to " + request);
      if (!aConnection.Send(extra)) {
        return false;
      }
    }
    recorder_.Line("server " + id_ + " runs " + request);
    std::this_thread::sleep_for(Milliseconds(5));
    return aConnection.Send(
      "HTTP/1.1 200 OK\r\n" + AnswerFields(aRequest, "seal-" + request) +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

private:
  /// @return the surplus of the connection's earlier answer, which is late.
  std::string Spoil(const Connection& aConnection,
                    const std::string& aRequest,
                    const std::string& aBody)
  {
    const std::lock_guard lock(tally_.mutex_);
    tally_.bodies_[aRequest] = aBody;
    const bool isSpoiled = isFaulty_ && ++count_ % kSpoiledOneIn == 0;
    std::string extra;
    const auto due = debt_.find(aConnection.Socket());
    if (due != debt_.end()) {
      extra = due->second;
      debt_.erase(due);
      ++tally_.spoiled_;
    }
    if (isSpoiled) {
      const std::string text = "surplus bytes after " + aRequest;
      debt_[aConnection.Socket()] =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        "Content-Length: " +
        std::to_string(text.size()) + "\r\n\r\n" + text;
    }
    return extra;
  }

  Recorder& recorder_;
  Tally& tally_;
  std::string id_;
  bool isFaulty_;
  int count_ = 0;
  std::map<int, std::string> debt_; // Surplus bytes, by connection.
};

void
SendRequest(Recorder& aRecorder,
            const Deployment& aDeployment,
            Tally& aTally,
            int aIndex)
{
  const std::string request = RandomId();
  const std::string text = "what " + request + " asks for";
  const Answer answer =
    Call(aDeployment.Ip(11),
         Deployment::kFrontPort,
         "POST /docket/" + std::to_string(aIndex) +
           " HTTP/1.1\r\nHost: docket.example\r\nAttempt-Id: " + request +
           "\r\nDeadline-Ms: 5000\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text,
         Milliseconds(5500));
  const int status = answer.message_.Status();
  const std::string seal = answer.message_.Field("Server-Seal");
  const bool isSuccess = status >= 200 && status < 300;
  const std::lock_guard lock(aTally.mutex_);
  const bool isRight =
    !isSuccess || (seal == "seal-" + request &&
                   answer.message_.body_ == aTally.bodies_[request]);
  aTally.served_ += isSuccess && isRight ? 1 : 0;
  aTally.wrong_ += isRight ? 0 : 1;
  aRecorder.Line("request " + request + " answered " + std::to_string(status) +
                 " seal '" + seal + "' body '" + answer.message_.body_ + "'" +
                 (isRight ? "" : "  <- not the server's answer"));
}

} // namespace

void
RunLateBytes(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  Tally& tally = *new Tally;
  for (int index = 1; index <= 2; ++index) {
    const std::string id = "i-" + std::to_string(index);
    auto* docket = new Docket(aRecorder, tally, id, index == 1 && HasTrouble());
    auto* server = new ModelServer(
      deployment.Ip(100 + index),
      id,
      "docket",
      8,
      [docket](Connection& aConnection, const Message& aRequest) {
        return docket->Run(aConnection, aRequest);
      });
    server->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }
  for (int index = 0; index < kRequests; ++index) {
    SendRequest(aRecorder, deployment, tally, index);
  }
  aRecorder.Line("requests " + std::to_string(kRequests) + ", served " +
                 std::to_string(tally.served_) + ", late surplus bytes " +
                 std::to_string(tally.spoiled_) + ", wrong successes " +
                 std::to_string(tally.wrong_));
  if (tally.served_ < kRequests / 2) {
    deployment.Finish(kCouldNotRun);
  }
  deployment.Finish(tally.wrong_ > 0 ? kBroken : kHeld);
}

} // namespace review
