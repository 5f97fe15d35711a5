#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::platform {

/// The few calls of the JSON gateway that the client makes, kept in memory.
class FakeGateway
{
public:
  FakeGateway();
  ~FakeGateway();
  FakeGateway(const FakeGateway&) = delete;
  FakeGateway& operator=(const FakeGateway&) = delete;

  [[nodiscard]] std::string Address() const;

  /// Lets the next transaction take effect and drops its answer.
  void LoseNextAnswer();

  /// Ends all streams now open.
  void BreakWatches();

  /// Forgets changes before the present revision, as a compaction does.
  void Compact();

private:
  struct Entry
  {
    std::string value_; // Both in base64.
    std::uint64_t revision_ = 0;
  };

  void OnRange(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnTransaction(const httplib::Request& aRequest,
                     httplib::Response& aResponse);
  void OnWatch(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool SendChanges(std::uint64_t aGeneration,
                   std::uint64_t& aNext,
                   httplib::DataSink& aSink);
  nlohmann::json RangeOf(const nlohmann::json& aRequest);
  nlohmann::json Header();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_; // By plain key.
  std::vector<nlohmann::json> history_;  // Change events, in order.
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::uint64_t generation_ = 0; // Of streams; older ones end.
  bool loseNextAnswer_ = false;
  bool stopping_ = false;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

} // namespace pumiceturn::platform
