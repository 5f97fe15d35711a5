#include "Tests/PlatformSoak/GatewayProcess.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace pumiceturn::adapter {

namespace {

constexpr int kExitExecFailed = 127;

} // namespace

GatewayProcess::GatewayProcess(HostSettings aSettings,
                               const std::filesystem::path& aFolder)
  : hostSettings_(std::move(aSettings))
  , settings_(aFolder / (hostSettings_.name_ + ".yaml"))
  , log_(aFolder / (hostSettings_.name_ + ".log"))
{
  std::ofstream file(settings_);
  file << "node: " << hostSettings_.name_
       << "\nzone: a\nip: " << hostSettings_.ip_ << "\n";
  if (hostSettings_.isEntry_) {
    file << "listen: { front: \"" << hostSettings_.ip_ << ":" << kCallerPort
         << "\", ready: \"" << hostSettings_.ip_ << ":8081\" }\n";
  } else {
    file << "listen: {}\ndataDir: "
         << (aFolder / (hostSettings_.name_ + "-data")).string() << "\n";
  }
  file << "portRange: [ 7000, 7019 ]\nplatform: { address: \""
       << hostSettings_.store_
       << "\" }\nbounds: { drainMs: 2000, settleMs: 1000, statusS: 120, "
          "graceS: "
       << hostSettings_.graceSeconds_ << hostSettings_.bounds_ << " }\n";
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
  std::string program = PUMICETURN_GATEWAY;
  std::string settings = "PUMICETURN_BOOT=" + settings_.string();
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ settings.data(), nullptr };
  const int log = ::open(
    log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
  id_ = ::fork();
  if (id_ == 0) {
    // Ends the process if the test program itself is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(kExitExecFailed);
  }
  ::close(log);
  if (id_ < 0) {
    id_ = 0;
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
GatewayProcess::CheckRunning()
{
  if (id_ != 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
    crashCount_ += isEndExpected_ ? 0 : 1;
  }
  return id_ != 0;
}

} // namespace pumiceturn::adapter
