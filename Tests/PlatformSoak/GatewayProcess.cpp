#include "Tests/PlatformSoak/GatewayProcess.h"

#include <fstream>
#include <utility>

namespace pumiceturn::adapter {

GatewayProcess::GatewayProcess(HostSettings aSettings,
                               const std::filesystem::path& aFolder)
  : hostSettings_(std::move(aSettings))
  , settings_(aFolder / (hostSettings_.name_ + ".yaml"))
  , child_(aFolder / (hostSettings_.name_ + ".log"))
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

void
GatewayProcess::Start()
{
  isEndExpected_ = false;
  isStarted_ = true;
  child_.Start({ PUMICETURN_GATEWAY },
               { "PUMICETURN_BOOT=" + settings_.string() });
}

bool
GatewayProcess::CheckRunning()
{
  const bool isRunning = child_.CheckRunning();
  if (!isRunning && std::exchange(isStarted_, false)) {
    crashCount_ += isEndExpected_ ? 0 : 1;
  }
  return isRunning;
}

} // namespace pumiceturn::adapter
