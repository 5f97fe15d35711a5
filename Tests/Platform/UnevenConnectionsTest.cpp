#include "Tests/Platform/PromptPartFixture.h"

namespace pumiceturn::adapter {

using namespace std::chrono_literals;

/// Hosts of which one gets most new connections for a while, and then another.
class UnevenConnectionsFixture : protected PromptPartFixture
{
protected:
  /// Opens a connection for each request, most of them to one host.
  void Load(std::size_t aHost, std::chrono::milliseconds aTime)
  {
    constexpr auto kInterval = 6ms;
    constexpr std::size_t kOthersOneIn = 10;
    const auto end = Clock::now() + aTime;
    auto nextAt = Clock::now();
    for (std::size_t count = 0; Clock::now() < end;) {
      context_.run_one_for(2ms);
      context_.restart();
      for (; Clock::now() >= nextAt; nextAt += kInterval) {
        const std::size_t host =
          ++count % kOthersOneIn == 0 ? count % hosts_.size() : aHost;
        SendPrompt(host, "shared:200,common:60").isSound_ = true;
      }
    }
  }
};

// Guards against a host that rejects what it reads when it gets the connections
// of all others, though the endpoints have room.
TEST_CASE_METHOD(UnevenConnectionsFixture,
                 "UnevenConnections_MostToOneHost_AreServedAtTheFirstAttempt")
{
  StartFleet(4, 16);
  for (const std::size_t host : { 0U, 1U }) {
    const auto since = Clock::now();
    Load(host, 2s);
    Settle();
    INFO("host " << host);
    CHECK(ServedShare(since) >= 0.75);
  }
}

} // namespace pumiceturn::adapter
