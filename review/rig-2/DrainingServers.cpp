#include "Cases.h"
#include "ModelServer.h"

// A server drains while it sends streams that have neither a length nor chunks.
// They end later than the time after which it must get no more requests.

namespace review {

namespace {

constexpr int kCallers = 10;
constexpr int kEvents = 30;
constexpr Milliseconds kEventInterval{ 100 };
constexpr Milliseconds kUntilDraining{ 500 };
constexpr Milliseconds kDrainBound{ 2000 };

json
Configuration()
{
  const json route = {
    { "name", "r-lookup" },   { "hostname", "lookup.example" },
    { "prefix", "/lookup/" }, { "kind", "stream" },
    { "timeoutMs", 5000 },    { "sloMs", 300 },
    { "gapSloMs", 400 },      { "priority", 0 },
    { "service", "llm" },     { "maxAttempts", 2 },
    { "sticky", true },       { "resumable", true }
  };
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

/// When a server's draining was acknowledged, and what came too late.
struct Drain
{
  std::mutex mutex_;
  std::optional<Clock::time_point> acknowledgedAt_;
  int late_ = 0;
};

bool
RunStream(Recorder& aRecorder,
          Drain& aDrain,
          const std::string& aServer,
          Connection& aConnection,
          const Message& aRequest)
{
  const std::string request = aRequest.Field("Attempt-Id");
  const std::string last = aRequest.Field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  {
    const std::lock_guard lock(aDrain.mutex_);
    std::string note;
    if (aDrain.acknowledgedAt_) {
      const auto since = std::chrono::duration_cast<Milliseconds>(
        Clock::now() - *aDrain.acknowledgedAt_);
      note = ", " + std::to_string(since.count()) +
             " ms after it was acknowledged that it drains";
      if (since > kDrainBound) {
        ++aDrain.late_;
        note += "  <- later than drainMs";
      }
    }
    aRecorder.Line("request " + request + " from event " +
                   std::to_string(first) + " reaches server " + aServer + note);
  }
  if (!aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                        "\r\nConnection: close\r\n" +
                        AnswerFields(aRequest, "seal-" + request) + "\r\n")) {
    return false;
  }
  for (int id = first; id <= kEvents; ++id) {
    if (!aConnection.Send("id: " + std::to_string(id) + "\ndata: word-" +
                          std::to_string(id) + "\n\n")) {
      return false;
    }
    std::this_thread::sleep_for(kEventInterval);
  }
  return false;
}

/// @return whether the stream came whole.
bool
SendRequest(Recorder& aRecorder, const Deployment& aDeployment)
{
  const std::string request = RandomId();
  const Answer answer = Call(
    aDeployment.Ip(11),
    Deployment::kFrontPort,
    "POST /lookup/name HTTP/1.1\r\nHost: lookup.example\r\n"
    "Attempt-Id: " +
      request + "\r\nModel: m\r\nToken-Counts: 250,60\r\nPrompt-Prefix: " +
      RandomId() + ":250\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi",
    Milliseconds(6000));
  const bool isWhole =
    answer.message_.Status() == 200 && answer.end_ == BodyEnd::Complete;
  aRecorder.Line("request " + request + " answered " +
                 std::to_string(answer.message_.Status()) +
                 (isWhole ? ", complete" : ", not complete"));
  return isWhole;
}

} // namespace

void
RunDrainingServers(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  std::vector<ModelServer*> servers;
  std::vector<Drain*> drains;
  for (int index = 1; index <= 2; ++index) {
    auto* drain = new Drain;
    const std::string id = "i-" + std::to_string(index);
    servers.push_back(new ModelServer(
      deployment.Ip(100 + index),
      id,
      "llm",
      8,
      [&aRecorder, drain, id](Connection& aConnection,
                              const Message& aRequest) {
        return RunStream(aRecorder, *drain, id, aConnection, aRequest);
      }));
    drains.push_back(drain);
    servers.back()->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }
  std::this_thread::sleep_for(Milliseconds(3500));
  std::atomic<int> whole = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back(
      [&] { whole += SendRequest(aRecorder, deployment) ? 1 : 0; });
  }
  std::this_thread::sleep_for(kUntilDraining);
  if (HasTrouble()) {
    servers[0]->Drain(store);
    const std::lock_guard lock(drains[0]->mutex_);
    drains[0]->acknowledgedAt_ = Clock::now();
    aRecorder.Line("it was acknowledged that server i-1 drains");
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::lock_guard lock(drains[0]->mutex_);
  aRecorder.Line("streams whole " + std::to_string(whole) + " of " +
                 std::to_string(kCallers) + ", requests too late " +
                 std::to_string(drains[0]->late_));
  if (whole < kCallers / 2) {
    deployment.Finish(kCouldNotRun);
  }
  deployment.Finish(drains[0]->late_ > 0 ? kBroken : kHeld);
}

} // namespace review
