#include "Tests/PlatformSoak/GatewayProcess.h"

#include <sys/wait.h>

#include <fcntl.h>
#include <spawn.h>

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace pumiceturn::adapter {

GatewayProcess::GatewayProcess(Place aPlace,
                               const std::filesystem::path& aFolder)
  : place_(std::move(aPlace))
  , settings_(aFolder / (place_.name_ + ".yaml"))
  , log_(aFolder / (place_.name_ + ".log"))
{
  std::ofstream file(settings_);
  file << "node: " << place_.name_ << "\nzone: a\nip: " << place_.ip_ << "\n";
  if (place_.isEntry_) {
    file << "listen: { front: \"" << place_.ip_ << ":" << kCallerPort
         << "\", ready: \"" << place_.ip_ << ":8081\" }\n";
  } else {
    file << "listen: {}\n";
  }
  file << "portRange: [ 7000, 7019 ]\nplatform: { address: \"" << place_.store_
       << "\" }\nbounds: { drainMs: 2000, settleMs: 1000, statusS: 120, "
          "graceS: 4 }\n";
}

GatewayProcess::~GatewayProcess()
{
  if (id_ != 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void
GatewayProcess::Start()
{
  isEndExpected_ = false;
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     S_IRUSR | S_IWUSR);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = PUMICETURN_GATEWAY;
  std::string settings = "PUMICETURN_BOOT=" + settings_.string();
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ settings.data(), nullptr };
  const int error = ::posix_spawn(&id_,
                                  program.c_str(),
                                  &actions,
                                  nullptr,
                                  arguments.data(),
                                  environment.data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("can't start " + program);
  }
}

void
GatewayProcess::Signal(int aSignal) const
{
  if (id_ != 0) {
    ::kill(id_, aSignal);
  }
}

bool
GatewayProcess::IsRunning()
{
  if (id_ != 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
    crashes_ += isEndExpected_ ? 0 : 1;
  }
  return id_ != 0;
}

} // namespace pumiceturn::adapter
