#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace pumiceturn::adapter {

/// One pumiceturn-gateway, which the soak starts, signals and ends by its id.
class GatewayProcess
{
public:
  /// Where it listens and which store it asks.
  struct Place
  {
    std::string name_;
    std::string ip_; ///< Of its own, within 127.0.0.0/8.
    std::string store_;
    bool isEntry_ = false;
  };

  static constexpr std::uint16_t kCallerPort = 8080;

  /// @param aFolder For its settings and its log.
  GatewayProcess(Place aPlace, const std::filesystem::path& aFolder);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  GatewayProcess(GatewayProcess&&) = delete;
  GatewayProcess& operator=(GatewayProcess&&) = delete;
  ~GatewayProcess();

  void Start();
  void Signal(int aSignal) const;

  /// @return whether it runs; takes note of its end.
  [[nodiscard]] bool IsRunning();

  /// @return how often it ended by itself, with a status or a signal that the
  ///         soak didn't send.
  [[nodiscard]] int CrashCount() const { return crashes_; }

  /// Its next end is the soak's doing.
  void ExpectEnd() { isEndExpected_ = true; }

  [[nodiscard]] const Place& Where() const { return place_; }

private:
  Place place_;
  std::filesystem::path settings_;
  std::filesystem::path log_;
  pid_t id_ = 0;
  bool isEndExpected_ = false;
  int crashes_ = 0;
};

} // namespace pumiceturn::adapter
