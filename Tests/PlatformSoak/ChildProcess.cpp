#include "Tests/PlatformSoak/ChildProcess.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace pumiceturn::adapter {

namespace {

constexpr int kExitExecFailed = 127;

/// @return the texts as execve() takes them; they must outlive the result.
std::vector<char*>
PointersTo(std::vector<std::string>& aTexts)
{
  std::vector<char*> pointers;
  pointers.reserve(aTexts.size() + 1);
  for (std::string& text : aTexts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

} // namespace

ChildProcess::ChildProcess(std::filesystem::path aLog)
  : log_(std::move(aLog))
{
}

ChildProcess::~ChildProcess()
{
  if (id_ != 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void
ChildProcess::Start(std::vector<std::string> aCommand,
                    std::vector<std::string> aEnvironment)
{
  const std::vector<char*> arguments = PointersTo(aCommand);
  const std::vector<char*> environment = PointersTo(aEnvironment);
  const int log = ::open(
    log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
  id_ = ::fork();
  if (id_ == 0) {
    // Ends the process if the test program itself is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A socket of this program would stay open after it was closed here.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execve(arguments.front(), arguments.data(), environment.data());
    ::_exit(kExitExecFailed);
  }
  ::close(log);
  if (id_ < 0) {
    id_ = 0;
    throw std::runtime_error("can't start " + aCommand.front());
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  if (id_ != 0) {
    ::kill(id_, aSignal);
  }
}

bool
ChildProcess::CheckRunning()
{
  if (id_ != 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
  }
  return id_ != 0;
}

} // namespace pumiceturn::adapter
