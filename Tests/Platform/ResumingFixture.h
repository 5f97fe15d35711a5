#pragma once

#include "Tests/Platform/GatewayFixture.h"

#include <memory>
#include <string>

namespace pumiceturn::adapter {

/// Entry hosts at which callers begin streams and resume them. The events of an
/// endpoint are those of the default version or of "v2".
class ResumingFixture : protected GatewayFixture
{
protected:
  static constexpr int kRounds = 8;

  TestHost& StartEntry(const std::string& aName)
  {
    TestHost& host = StartHost(aName, batch::BatchPreference::Fallback);
    WaitUntilReady(host);
    return host;
  }

  /// Begins a stream that stops after two events, and disconnects.
  /// @return the version that began it.
  std::string BeginStream(TestHost& aHost, const std::string& aId)
  {
    const auto call = Send(aHost.callerPort_,
                           "POST",
                           "/resumable/hold-2",
                           fmt::format("Attempt-Id: {}\r\n", aId));
    const auto hasTwoEvents = [&call] {
      return call->body_.find("id: 2") != std::string::npos;
    };
    RunUntil(hasTwoEvents);
    call->connection_->Cancel();
    const bool isDefault = WholeStream().starts_with(call->body_);
    return isDefault ? std::string(ServerStandin::kDefaultVersion) : "v2";
  }

  std::unique_ptr<CallerCall> Resume(TestHost& aHost,
                                     const std::string& aId,
                                     const std::string& aResumedId)
  {
    return SendAndWait(
      aHost,
      "POST",
      "/resumable/hold-2",
      fmt::format("Attempt-Id: {}\r\nLast-Event-Id: 2\r\nResumes: {}\r\n",
                  aId,
                  aResumedId));
  }

  [[nodiscard]] std::size_t DisconnectedCount() const
  {
    std::size_t disconnected = 0;
    for (const auto& server : servers_) {
      disconnected += server->DisconnectedCount();
    }
    return disconnected;
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->Requests().size();
    }
    return count;
  }

private:
  void WaitUntilReady(TestHost& aHost)
  {
    RunUntil([&] {
      return SendToAndWait(Loopback(aHost.statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }
};

} // namespace pumiceturn::adapter
