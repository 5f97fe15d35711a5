#pragma once

#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/RawServer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// A host, and servers that answer with given bytes.
class RawServerFixture : protected GatewayFixture
{
protected:
  /// The head of a response to the request r1 that has neither a length nor
  /// chunks.
  static constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: r1\r\n";

  /// @return the head of a stream.
  static std::string StreamHead()
  {
    return std::string(kHead) + "Content-Type: text/event-stream\r\n\r\n";
  }

  /// @return an event of a stream.
  static std::string Event(std::uint64_t aNumber)
  {
    return ServerStandin::EventText(aNumber, ServerStandin::kDefaultVersion, 0);
  }

  static std::string EventsFrom(std::uint64_t aFirst, std::uint64_t aLast)
  {
    std::string text;
    for (std::uint64_t event = aFirst; event <= aLast; ++event) {
      text += Event(event);
    }
    return text;
  }

  static std::string StreamFrom(std::uint64_t aFirst,
                                std::uint64_t aLast,
                                std::string_view aRest = {})
  {
    return StreamHead().append(EventsFrom(aFirst, aLast)).append(aRest);
  }

  /// @return a response to the first item of a job.
  static std::string ForItem(std::string aAnswer)
  {
    return aAnswer.replace(aAnswer.find("r1"), 2, "item-0");
  }

  RawServer& AddRawServer(const std::string& aName,
                          std::string aAnswer,
                          RawServer::End aEnd)
  {
    RawServer& server = MakeRawServer(aName, std::move(aAnswer), aEnd);
    Register(aName, server, "ready", 1);
    return server;
  }

  /// Adds a server on a platform where each start has another id, and neither
  /// entries nor reports name a start.
  RawServer& AddRawServerWithoutStart(const std::string& aName,
                                      std::string aAnswer,
                                      RawServer::End aEnd)
  {
    RawServer& server = MakeRawServer(aName, std::move(aAnswer), aEnd);
    server.SetReportsStart(false);
    Register(aName, server, "ready", {});
    return server;
  }

  RawServer& MakeRawServer(const std::string& aName,
                           std::string aAnswer,
                           RawServer::End aEnd)
  {
    rawServers_.push_back(
      std::make_unique<RawServer>(context_, aName, std::move(aAnswer), aEnd));
    return *rawServers_.back();
  }

  void Register(const std::string& aName,
                const RawServer& aServer,
                std::string_view aState,
                std::optional<int> aStart,
                int aSlots = 8)
  {
    nlohmann::json entry{
      { "service", "service" }, { "address", aServer.Address() },
      { "zone", "a" },          { "version", "v1" },
      { "slots", aSlots },      { "state", aState },
      { "coldLeftMs", 0 },      { "seq", 1 }
    };
    if (aStart) {
      entry["born"] = *aStart;
    }
    store_.Put("servers/" + aName, entry.dump());
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

  /// Calls until the first raw server has got a request.
  /// @return the call that it got.
  std::unique_ptr<CallerCall> CallAtRawServer(const std::string& aPath)
  {
    constexpr int kMaxCalls = 100;
    std::unique_ptr<CallerCall> call;
    for (int calls = 0; calls < kMaxCalls && rawServers_[0]->Requests().empty();
         ++calls) {
      call = Call(aPath);
    }
    REQUIRE_FALSE(rawServers_[0]->Requests().empty());
    return call;
  }

  void Submit()
  {
    CHECK(
      SendAndWait(*host_, "POST", "/lots/1", "Attempt-Id: job\r\n", JobBody(1))
        ->status_ == 202);
  }

  /// @return the output of the job's item.
  std::string WaitForOutput()
  {
    std::string page;
    RunUntil([&] {
      page = SendAndWait(*host_, "GET", "/api/lots/job?after=0")->body_;
      return page.find("completed") != std::string::npos;
    });
    return nlohmann::json::parse(page)["results"][0]["output"];
  }

  TestHost* host_ = nullptr;
  std::vector<std::unique_ptr<RawServer>> rawServers_;
};

} // namespace pumiceturn::adapter
