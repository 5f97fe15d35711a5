#include "Cases.h"
#include "ModelServer.h"

#include <sstream>

// A faulty server truncates a stream that has neither a length nor chunks, and
// closes its connection in order. Then it falls silent for a second or so.
// Another server of the same version has free slots.

namespace review {

namespace {

constexpr int kCallers = 6;
constexpr int kStreamsPerCaller = 90;
constexpr int kEvents = 12;
constexpr int kEventsBeforeCut = 5;

/// One answer in this many of the faulty server is truncated: 0.03 of them.
constexpr int kTruncatedOneIn = 33;

constexpr Milliseconds kEventInterval{ 15 };
constexpr Milliseconds kSilence{ 1300 };

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

/// A server's state.
struct Engine
{
  std::mutex mutex_;
  Clock::time_point silentUntil_;
  int firstRuns_ = 0;

  void AwaitSpeech()
  {
    for (;;) {
      Clock::time_point until;
      {
        const std::lock_guard lock(mutex_);
        until = silentUntil_;
      }
      if (Clock::now() >= until) {
        return;
      }
      std::this_thread::sleep_until(until);
    }
  }
};

bool
RunStream(Recorder& aRecorder,
          Engine& aEngine,
          const std::string& aServer,
          bool aIsFaulty,
          Connection& aConnection,
          const Message& aRequest)
{
  const std::string request = aRequest.Field("Attempt-Id");
  const std::string last = aRequest.Field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  bool isCut = false;
  if (aIsFaulty && last.empty()) {
    const std::lock_guard lock(aEngine.mutex_);
    isCut = ++aEngine.firstRuns_ % kTruncatedOneIn == 0;
  }
  aEngine.AwaitSpeech();
  if (aConnection.IsClosedByPeer()) {
    aRecorder.Line("server " + aServer + ": caller of " + request + " left");
    return false;
  }
  aRecorder.Line("server " + aServer + " runs " + request + " from event " +
                 std::to_string(first));
  if (!aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                        "\r\nConnection: close\r\n" +
                        AnswerFields(aRequest, "seal-" + request) + "\r\n")) {
    return false;
  }
  const bool isTruncated = isCut && HasTrouble();
  const int end = isTruncated ? kEventsBeforeCut : kEvents;
  for (int id = first; id <= end; ++id) {
    aEngine.AwaitSpeech();
    if (!aConnection.Send("id: " + std::to_string(id) + "\ndata: word-" +
                          std::to_string(id) + "\n\n")) {
      return false;
    }
    std::this_thread::sleep_for(kEventInterval);
  }
  if (isCut) {
    const std::lock_guard lock(aEngine.mutex_);
    aEngine.silentUntil_ = Clock::now() + kSilence;
    aRecorder.Line("server " + aServer + " ends its answer to " + request +
                   " after event " + std::to_string(end) +
                   " and falls silent for " + std::to_string(kSilence.count()) +
                   " ms");
  }
  return false;
}

/// @return the ids of a stream's events, as they came.
std::vector<int>
EventIds(const std::string& aBody)
{
  std::vector<int> ids;
  std::istringstream lines(aBody);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      ids.push_back(std::stoi(line.substr(4)));
    }
  }
  return ids;
}

struct Tally
{
  std::atomic<int> whole_ = 0;
  std::atomic<int> wrong_ = 0;
  std::atomic<int> other_ = 0;
};

void
SendRequest(Recorder& aRecorder, const Deployment& aDeployment, Tally& aTally)
{
  const std::string request = RandomId();
  const Answer answer = Call(
    aDeployment.Ip(11),
    Deployment::kFrontPort,
    "POST /lookup/name HTTP/1.1\r\nHost: lookup.example\r\n"
    "Attempt-Id: " +
      request + "\r\nModel: m\r\nToken-Counts: 250,24\r\nPrompt-Prefix: " +
      RandomId() + ":250\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi",
    Milliseconds(5500));
  const std::vector<int> ids = EventIds(answer.message_.body_);
  bool isInOrder = true;
  for (std::size_t place = 0; place < ids.size(); ++place) {
    isInOrder = isInOrder && ids[place] == static_cast<int>(place) + 1;
  }
  const bool looksWhole =
    answer.message_.Status() == 200 && answer.end_ == BodyEnd::Complete;
  const bool isWhole = isInOrder && ids.size() == kEvents;
  const bool isWrong = !isInOrder || (looksWhole && !isWhole);
  ++(isWrong ? aTally.wrong_ : looksWhole ? aTally.whole_ : aTally.other_);
  aRecorder.Line(
    "request " + request + " answered " +
    std::to_string(answer.message_.Status()) + ", " +
    std::to_string(ids.size()) + " events, " +
    (looksWhole ? "complete" : "not complete") +
    (isWrong ? "  <- ends as complete before its last piece" : ""));
}

} // namespace

void
RunTruncatedStreams(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  for (int index = 1; index <= 2; ++index) {
    auto& engine = *new Engine;
    const std::string id = "i-" + std::to_string(index);
    auto* server = new ModelServer(
      deployment.Ip(100 + index),
      id,
      "llm",
      8,
      [&aRecorder, &engine, id, index](Connection& aConnection,
                                       const Message& aRequest) {
        return RunStream(
          aRecorder, engine, id, index == 1, aConnection, aRequest);
      });
    server->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }

  Tally tally;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      for (int index = 0; index < kStreamsPerCaller; ++index) {
        SendRequest(aRecorder, deployment, tally);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  aRecorder.Line("streams whole " + std::to_string(tally.whole_) +
                 ", complete before their last piece " +
                 std::to_string(tally.wrong_) + ", other ends " +
                 std::to_string(tally.other_));
  if (tally.whole_ < kCallers * kStreamsPerCaller / 2) {
    deployment.Finish(kCouldNotRun);
  }
  deployment.Finish(tally.wrong_ > 0 ? kBroken : kHeld);
}

} // namespace review
