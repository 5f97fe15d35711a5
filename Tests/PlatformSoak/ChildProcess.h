#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// A process that a soak starts, signals and ends. It ends with the test.
class ChildProcess
{
public:
  /// @param aLog Its output is appended to this file.
  explicit ChildProcess(std::filesystem::path aLog);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess(ChildProcess&&) = delete;
  ChildProcess& operator=(ChildProcess&&) = delete;
  ~ChildProcess();

  /// @param aCommand     Program and arguments.
  /// @param aEnvironment NAME=VALUE each.
  /// @throws std::runtime_error if there can't be another process.
  void Start(std::vector<std::string> aCommand,
             std::vector<std::string> aEnvironment);

  void Signal(int aSignal) const;

  /// Reaps the process if it has ended.
  /// @return whether it is running.
  [[nodiscard]] bool CheckRunning();

private:
  std::filesystem::path log_;
  pid_t id_ = 0;
};

} // namespace pumiceturn::adapter
