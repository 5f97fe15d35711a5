#include "Cases.h"

#include <exception>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace review;
  const std::map<std::string, void (*)(Recorder&)> cases{
    { "late-bytes", RunLateBytes },
    { "truncated-streams", RunTruncatedStreams },
    { "failing-items", RunFailingItems },
    { "draining-servers", RunDrainingServers },
    { "slow-readers", RunSlowReaders },
  };
  const auto found = aCount == 3 ? cases.find(aArguments[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review-rig CASE RECORD\n";
    return kCouldNotRun;
  }
  try {
    Recorder recorder(aArguments[2]);
    found->second(recorder);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return kCouldNotRun;
}
