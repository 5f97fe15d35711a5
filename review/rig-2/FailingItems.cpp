#include "Cases.h"
#include "ModelServer.h"

// An item of a batch job fails at each run. The process that runs the job is
// killed again and again, and is back within a second.

namespace review {

namespace {

constexpr int kMaxAttempts = 3;

/// Answers of 500 after which the item may not reach a server again.
constexpr int kMaxFailures = 3 * kMaxAttempts;

constexpr Milliseconds kWork{ 1700 };
constexpr Milliseconds kUntilFirstKill{ 4500 };
constexpr Milliseconds kBetweenKills{ 5700 };
constexpr Milliseconds kDown{ 500 };
constexpr int kKills = 8;

/// Machines are in touch again this long after a disruption.
constexpr Milliseconds kContact{ 3000 };

json
Configuration()
{
  const json route = { { "name", "r-report" },
                       { "hostname", "report.example" },
                       { "prefix", "/report/" },
                       { "kind", "batch" },
                       { "timeoutMs", 15000 },
                       { "sloMs", 500 },
                       { "dueMs", 18000 },
                       { "maxWaitS", 100 },
                       { "priority", 2 },
                       { "service", "llm" },
                       { "maxAttempts", kMaxAttempts },
                       { "sticky", true },
                       { "resumable", true } };
  return { { "version", 7 },
           { "routes", json::array({ route }) },
           { "services",
             json::array({ { { "name", "llm" },
                             { "healthPath", "/health" },
                             { "maxConns", 210 } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// What the servers saw of the item.
struct Seen
{
  std::mutex mutex_;
  int arrivals_ = 0;
  int failures_ = 0;
  int beyond_ = 0;
  Clock::time_point disruptedAt_ = Clock::now();
};

bool
FailItem(Recorder& aRecorder,
         Seen& aSeen,
         const std::string& aServer,
         Connection& aConnection,
         const Message& aRequest)
{
  {
    const std::lock_guard lock(aSeen.mutex_);
    ++aSeen.arrivals_;
    const bool isInTouch = Clock::now() - aSeen.disruptedAt_ > kContact;
    const bool isBeyond = aSeen.failures_ >= kMaxFailures && isInTouch;
    aSeen.beyond_ += isBeyond ? 1 : 0;
    aRecorder.Line("server " + aServer + " runs the item, after " +
                   std::to_string(aSeen.failures_) + " answers of 500" +
                   (isInTouch ? ", from a machine in touch" : "") +
                   (isBeyond ? "  <- beyond its budget" : ""));
  }
  const auto end = Clock::now() + kWork;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(50));
    if (aConnection.IsClosedByPeer()) {
      aRecorder.Line("server " + aServer + ": the caller left");
      return false;
    }
  }
  const std::lock_guard lock(aSeen.mutex_);
  ++aSeen.failures_;
  aRecorder.Line("server " + aServer + " answers 500");
  return aConnection.Send("HTTP/1.1 500 X\r\n" + AnswerFields(aRequest, "s") +
                          "Content-Length: 0\r\n\r\n");
}

/// @return the answer to a batch job with one item.
Answer
SendJob(const Deployment& aDeployment, const std::string& aJob)
{
  const std::string body = json{
    { "items",
      json::array(
        { { { "id", RandomId() },
            { "path", "/report/1" },
            { "headers", { { "Model", "m" }, { "Token-Counts", "300,100" } } },
            { "body", "aGk=" },
            { "tokens", 400 } } }) }
  }.dump();
  return Call(aDeployment.Ip(11),
              Deployment::kFrontPort,
              "POST /report/" + aJob +
                " HTTP/1.1\r\nHost: report.example\r\nAttempt-Id: " + aJob +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
              Milliseconds(4000));
}

/// @return whether the item's result is listed.
bool
IsListed(const Deployment& aDeployment, const std::string& aJob)
{
  const Answer answer =
    Call(aDeployment.Ip(11),
         Deployment::kFrontPort,
         "GET /api/lots/" + aJob +
           "?after=0 HTTP/1.1\r\nHost: report.example\r\n\r\n",
         Milliseconds(2000));
  return answer.message_.Status() == 200 &&
         json::parse(answer.message_.body_).at("next") == 1;
}

/// Kills the process that runs the job and starts it again.
/// @return whether one was known.
bool
KillOwner(Deployment& aDeployment, const std::string& aJob, Seen& aSeen)
{
  const auto state =
    aDeployment.PlatformStore().Range("pumiceturn/lot/" + aJob);
  if (state.empty()) {
    return false;
  }
  const std::string owner =
    json::parse(state.begin()->second).at("owner").get<std::string>();
  const std::string node = owner.substr(0, owner.find('/'));
  aDeployment.Kill(node);
  std::this_thread::sleep_for(kDown);
  aDeployment.StartAgain(node);
  const std::lock_guard lock(aSeen.mutex_);
  aSeen.disruptedAt_ = Clock::now();
  return true;
}

} // namespace

void
RunFailingItems(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  Seen& seen = *new Seen;
  for (int index = 1; index <= 2; ++index) {
    const std::string id = "i-" + std::to_string(index);
    auto* server = new ModelServer(
      deployment.Ip(100 + index),
      id,
      "llm",
      8,
      [&aRecorder, &seen, id](Connection& aConnection,
                              const Message& aRequest) {
        return FailItem(aRecorder, seen, id, aConnection, aRequest);
      });
    server->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  deployment.Start("store-2", 22, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }
  std::this_thread::sleep_for(Milliseconds(3000));

  const std::string job = RandomId();
  const Answer accepted = SendJob(deployment, job);
  aRecorder.Line("job " + job + " answered " +
                 std::to_string(accepted.message_.Status()));
  if (accepted.message_.Status() != 202) {
    deployment.Finish(kCouldNotRun);
  }
  int kills = 0;
  auto nextKill = Clock::now() + kUntilFirstKill;
  const auto end = Clock::now() + std::chrono::seconds(85);
  while (Clock::now() < end && !IsListed(deployment, job)) {
    std::this_thread::sleep_for(Milliseconds(200));
    if (!HasTrouble() || kills == kKills || Clock::now() < nextKill) {
      continue;
    }
    nextKill = Clock::now() + kBetweenKills;
    kills += KillOwner(deployment, job, seen) ? 1 : 0;
  }
  const bool wasListed = IsListed(deployment, job);
  const std::lock_guard lock(seen.mutex_);
  aRecorder.Line("kills " + std::to_string(kills) + ", runs of the item " +
                 std::to_string(seen.arrivals_) + ", answers of 500 " +
                 std::to_string(seen.failures_) + ", runs beyond the budget " +
                 std::to_string(seen.beyond_) + ", listed " +
                 (wasListed ? "yes" : "no"));
  deployment.Finish(seen.beyond_ > 0 ? kBroken : kHeld);
}

} // namespace review
