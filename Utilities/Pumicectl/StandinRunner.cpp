#include "StandinRunner.h"

#include "LibBase/Log.h"

#include <csignal>
#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

sigset_t
EndSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

} // namespace

void
DeclareListen(cxxopts::Options& aOptions, const char* aDefault)
{
  aOptions.add_options()(
    "listen",
    "IP:port; port 0 takes a free one",
    cxxopts::value<std::string>()->default_value(aDefault));
}

base::Result<settings::Address>
ListenAddress(const cxxopts::ParseResult& aArguments)
{
  const auto text = aArguments["listen"].as<std::string>();
  const auto address = settings::ParseAddress(text);
  if (!address) {
    return base::Fail(base::ResultCode::OutOfRange,
                      "--listen expects IP:port, not '" + text + "'");
  }
  return *address;
}

void
PrepareStandin(const std::string& aName)
{
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  base::LogOptions options;
  options.host_ = aName;
  base::StartLog(options);
}

void
WaitForEnd(const settings::Address& aAddress, int aPort)
{
  std::cout << "listening on " << aAddress.ip_ << ":" << aPort << std::endl;
  const sigset_t signals = EndSignals();
  int received = 0;
  sigwait(&signals, &received);
  base::FlushLog();
}

} // namespace pumiceturn::pumicectl
