#pragma once

#include "Tests/PlatformSoak/FleetSoakFixture.h"
#include "platform/Standin/ServerStandin.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes while servers are replaced by other software versions
/// in series, servers crash, and hosts are killed, suspended and cut off from
/// the store. Callers resume broken streams at other hosts, several times.
/// Checks from what callers get that no stream joins versions, and that streams
/// go on.
class VersionSoakFixture : protected FleetSoakFixture
{
protected:
  VersionSoakFixture();
  ~VersionSoakFixture();

  /// Starts the hosts and applies load and faults for aTime.
  void Run(std::uint64_t aSeed, std::chrono::seconds aTime);

  struct RunCounts
  {
    int streams_ = 0;
    int begun_ = 0;
    int whole_ = 0;
    int joined_ = 0;
    /// Resumptions at hosts that have run for 3 s, while two servers of the
    /// stream's version are registered.
    int owed_ = 0;
    int owedGoneOn_ = 0;
    int resumptions_ = 0;
    int goneOn_ = 0;
    int faults_ = 0;
    int releases_ = 0;
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }
  [[nodiscard]] int RestartCount() const { return restarts_; }

private:
  struct Server
  {
    std::string id_;
    std::unique_ptr<ServerStandin> standin_;
  };
  /// A caller's stream over all its tries.
  struct Stream
  {
    std::unique_ptr<CallerCall> call_; ///< Empty between two tries.
    Clock::time_point nextTryAt_;
    std::string beganAs_; ///< Id of the try that brought the first event.
    std::string tryId_;
    std::string events_; ///< Complete events of all tries.
    int tries_ = 0;
    bool isOwed_ = false; ///< The current try is a resumption that must go on.
  };

  void WriteConfiguration();
  void StartFleet();
  void AddServer(const std::string& aVersion);
  void EndServer(std::size_t aIndex);
  void CrashServers();
  void BeginRelease();
  void Step();
  void Try(Stream& aStream);
  void EndTry(Stream& aStream);
  void EndStream(Stream& aStream);
  void CheckShares();
  void InjectFault();
  void KillHosts(int aOneIn, bool aWithWorkers);
  [[nodiscard]] int CountServers(const std::string& aVersion) const;

  std::vector<Server> servers_;
  std::vector<Server> endedServers_; ///< Their handlers may still be called.
  std::vector<std::unique_ptr<Stream>> streams_;
  RunCounts counts_;
  int version_ = 1;
  int nextServer_ = 0;
  int nextTry_ = 0;
};

} // namespace pumiceturn::adapter
