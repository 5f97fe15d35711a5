#pragma once

#include "Tests/PlatformSoak/ChildProcess.h"

#include <cstdint>
#include <filesystem>
#include <string>

namespace pumiceturn::adapter {

/// A pumiceturn-gateway process that the soak test starts, signals and ends.
class GatewayProcess
{
public:
  /// The addresses and the role of a host.
  struct HostSettings
  {
    std::string name_;
    std::string ip_;    ///< Unique to the host, within 127.0.0.0/8.
    std::string store_; ///< IP:PORT
    bool isEntry_ = false;
    int graceSeconds_ = 4; ///< From SIGTERM to SIGKILL.
    /// More bounds, as in the settings file: ", name: value" each.
    std::string bounds_ = {};
  };

  static constexpr std::uint16_t kCallerPort = 8080;

  /// @param aFolder Holds the settings, the log and the data.
  GatewayProcess(HostSettings aSettings, const std::filesystem::path& aFolder);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  GatewayProcess(GatewayProcess&&) = delete;
  GatewayProcess& operator=(GatewayProcess&&) = delete;
  ~GatewayProcess() = default;

  void Start();
  void Signal(int aSignal) const { child_.Signal(aSignal); }

  /// Reaps the process if it has ended, and counts an unexpected end.
  /// @return whether the process is running.
  [[nodiscard]] bool CheckRunning();

  /// @return how often the process ended without a preceding ExpectEnd().
  [[nodiscard]] int CrashCount() const { return crashCount_; }

  /// Marks the next end of the process as caused by the test.
  void ExpectEnd() { isEndExpected_ = true; }

  [[nodiscard]] const HostSettings& Settings() const { return hostSettings_; }

private:
  HostSettings hostSettings_;
  std::filesystem::path settings_;
  ChildProcess child_;
  bool isStarted_ = false; ///< Its end hasn't been noticed.
  bool isEndExpected_ = false;
  int crashCount_ = 0;
};

} // namespace pumiceturn::adapter
