#include "Cases.h"
#include "ModelServer.h"

#include <set>

// Servers with a long queue reset new connections. One of them runs some
// requests whose answers are lost, as it resets their connections.

namespace review {

namespace {

constexpr int kSlots = 4;
constexpr int kCallers = 14;
constexpr int kRequestsPerCaller = 220;

/// Waiting requests from which on a server's queue is long.
constexpr int kLongQueue = 2;
constexpr Milliseconds kWork{ 60 };

/// One answer in this many of the faulty server is lost: 0.05 of them.
constexpr int kLostOneIn = 20;

json
Configuration()
{
  const json route = { { "name", "r-quote" },   { "hostname", "quote.example" },
                       { "prefix", "/quote/" }, { "kind", "safe" },
                       { "timeoutMs", 5000 },   { "sloMs", 2000 },
                       { "priority", 0 },       { "service", "quote" },
                       { "maxAttempts", 1 } };
  return { { "version", 7 },
           { "routes", json::array({ route }) },
           { "services",
             json::array({ { { "name", "quote" },
                             { "healthPath", "/health" },
                             { "maxConns", 210 } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// A server's slots, with a queue in order of arrival.
struct Slots
{
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  int runs_ = 0;

  void Take()
  {
    std::unique_lock lock(mutex_);
    ++waiting_;
    freed_.wait(lock, [this] { return running_ < kSlots; });
    --waiting_;
    ++running_;
  }
  void Free()
  {
    const std::lock_guard lock(mutex_);
    --running_;
    freed_.notify_one();
  }
  bool HasLongQueue()
  {
    const std::lock_guard lock(mutex_);
    return waiting_ >= kLongQueue;
  }
};

} // namespace

void
RunLostAnswers(Recorder& aRecorder)
{
  Deployment& deployment = *new Deployment(aRecorder);
  Store& store = deployment.PlatformStore();
  store.Put("op/config", Configuration().dump());
  auto& mutex = *new std::mutex;
  auto& ranAt = *new std::map<std::string, std::set<std::string>>;
  auto& resets = *new std::atomic<int>(0);
  for (int index = 1; index <= 2; ++index) {
    auto& slots = *new Slots;
    const std::string id = "i-" + std::to_string(index);
    auto* server = new ModelServer(
      deployment.Ip(100 + index),
      id,
      "quote",
      kSlots,
      [&, id, index](Connection& aConnection, const Message& aRequest) {
        const std::string request = aRequest.Field("Attempt-Id");
        slots.Take();
        bool isLost = false;
        {
          const std::lock_guard lock(mutex);
          ranAt[request].insert(id);
          isLost =
            index == 1 && HasTrouble() && ++slots.runs_ % kLostOneIn == 0;
        }
        aRecorder.Line("server " + id + " runs " + request);
        std::this_thread::sleep_for(kWork);
        slots.Free();
        if (isLost) {
          aRecorder.Line("server " + id + " resets the connection of " +
                         request);
          aConnection.ResetOnClose();
          return false;
        }
        return aConnection.Send("HTTP/1.1 200 OK\r\n" +
                                AnswerFields(aRequest, "seal-" + request) +
                                "Content-Length: 2\r\n\r\nok");
      });
    server->SetAdmission([&](Connection& aConnection) {
      if (!slots.HasLongQueue()) {
        return true;
      }
      ++resets;
      aConnection.ResetOnClose();
      return false;
    });
    server->Register(store);
  }
  deployment.Start("front-1", 11, Role::Front);
  deployment.Start("store-1", 21, Role::Store);
  if (!deployment.AwaitReady(Milliseconds(15000))) {
    aRecorder.Line("the entry host isn't ready");
    deployment.Finish(kCouldNotRun);
  }
  std::map<int, int> statuses;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      for (int index = 0; index < kRequestsPerCaller; ++index) {
        const std::string request = RandomId();
        const Answer answer =
          Call(deployment.Ip(11),
               Deployment::kFrontPort,
               "GET /quote/x HTTP/1.1\r\nHost: quote.example\r\nAttempt-Id: " +
                 request + "\r\nDeadline-Ms: 5000\r\n\r\n",
               Milliseconds(5500));
        aRecorder.Line("request " + request + " answered " +
                       std::to_string(answer.message_.Status()));
        const std::lock_guard lock(mutex);
        ++statuses[answer.message_.Status()];
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int beyond = 0;
  const std::lock_guard lock(mutex);
  for (const auto& [request, servers] : ranAt) {
    if (servers.size() > 1) {
      ++beyond;
      aRecorder.Line("request " + request + " ran on " +
                     std::to_string(servers.size()) +
                     " servers  <- maxAttempts is 1");
    }
  }
  std::string ends;
  for (const auto& [status, count] : statuses) {
    ends += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  aRecorder.Line("new connections reset " + std::to_string(resets) +
                 ", answers" + ends + ", requests run on too many servers " +
                 std::to_string(beyond));
  deployment.Finish(beyond > 3 ? kBroken : kHeld);
}

} // namespace review
