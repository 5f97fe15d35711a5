#include "LibBase/Log.h"
#include "LibDaemon/Daemon.h"
#include "LibNode/Events.h"
#include "LibSettings/SettingsFile.h"

#include <cxxopts.hpp>

#include <csignal>
#include <ctime>
#include <iostream>
#include <pthread.h>

namespace pumiceturn {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;
constexpr timespec kIdlePollInterval{ .tv_sec = 0, .tv_nsec = 50'000'000 };

/// Blocks the signals that end the process in this thread and all later ones,
/// so that only WaitForSignal() receives them.
sigset_t
BlockEndSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes a connection shows as a write error there.
  std::signal(SIGPIPE,
              SIG_IGN); // NOLINT(performance-no-int-to-ptr): the C macro.
  return signals;
}

base::LogOptions
LogOptionsFrom(const settings::Settings& aSettings)
{
  base::LogOptions options;
  const settings::LogSettings& log = aSettings.log();
  options.format_ = log.format() == settings::LOG_FORMAT_JSON
                      ? base::LogFormat::JsonLines
                      : base::LogFormat::KeyValue;
  options.file_ = log.file();
  options.host_ = aSettings.host();
  switch (log.level()) {
    case settings::LOG_LEVEL_DEBUG:
      options.level_ = base::LogLevel::Debug;
      break;
    case settings::LOG_LEVEL_WARNING:
      options.level_ = base::LogLevel::Warning;
      break;
    case settings::LOG_LEVEL_ERROR:
      options.level_ = base::LogLevel::Error;
      break;
    default:
      options.level_ = base::LogLevel::Info;
      break;
  }
  return options;
}

/// Waits until nothing is left to do, for at most the grace. A second signal
/// ends the wait.
void
WaitUntilIdle(daemon::Daemon& aDaemon, const sigset_t& aSignals)
{
  const base::Instant end = base::MonotonicNow() + aDaemon.ShutdownGrace();
  while (!aDaemon.IsIdle()) {
    const bool isAskedAgain =
      sigtimedwait(&aSignals, nullptr, &kIdlePollInterval) > 0;
    if (isAskedAgain || base::MonotonicNow() >= end) {
      base::Log(node::kGraceSpent);
      return;
    }
  }
}

int
RunDaemon(const settings::Settings& aSettings, const sigset_t& aSignals)
{
  auto started =
    base::Capture([&] { return daemon::Daemon::Start(aSettings); });
  if (const auto* failure = std::get_if<base::Failure>(&started)) {
    std::cerr << "pumiceturnd: " << base::NameOf(failure->code_) << ": "
              << failure->detail_ << '\n';
    return kExitNotStarted;
  }
  auto& process = *std::get<0>(started);
  base::Log(node::kProcessStarted, { { "settings_host", aSettings.host() } });
  int signal = 0;
  sigwait(&aSignals, &signal);
  base::Log(node::kProcessDraining, { { "signal", signal } });
  process.BeginDrain();
  WaitUntilIdle(process, aSignals);
  std::get<0>(started).reset();
  base::Log(node::kProcessStopped);
  base::FlushLog();
  return kExitOk;
}

int
Main(int aArgumentCount, const char* const* aArguments)
{
  cxxopts::Options options(
    "pumiceturnd",
    "The process on every host; its settings name its functions.");
  options.add_options()("s,settings",
                        "YAML file with this process's settings",
                        cxxopts::value<std::string>())("h,help",
                                                       "Show this help");
  const cxxopts::ParseResult arguments =
    options.parse(aArgumentCount, aArguments);
  if (arguments.count("help") != 0 || arguments.count("settings") == 0) {
    std::cout << options.help()
              << "Exit codes: 0 ended; 2 bad settings; 3 not started.\n";
    return arguments.count("help") != 0 ? kExitOk : kExitBadSettings;
  }
  const std::string path = arguments["settings"].as<std::string>();
  const auto loaded =
    base::Capture([&] { return settings::LoadSettingsFile(path); });
  if (const auto* failure = std::get_if<base::Failure>(&loaded)) {
    std::cerr << failure->detail_ << '\n';
    return kExitBadSettings;
  }
  const sigset_t signals = BlockEndSignals();
  base::StartLog(LogOptionsFrom(std::get<0>(loaded)));
  return RunDaemon(std::get<0>(loaded), signals);
}

} // namespace

} // namespace pumiceturn

int
main(int aArgumentCount, char** aArguments)
{
  try {
    return pumiceturn::Main(aArgumentCount, aArguments);
  } catch (const std::exception& problem) {
    std::cerr << "pumiceturnd: " << problem.what() << '\n';
    return pumiceturn::kExitBadSettings;
  }
}
