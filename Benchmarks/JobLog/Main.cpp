#include "Measurements.h"

#include <cstdio>
#include <functional>
#include <map>
#include <string>

int
main(int aArgumentCount, char** aArguments)
{
  using namespace pumiceturn::joblog;
  const std::map<std::string, std::function<void()>> measurements{
    { "append", MeasureAppend },         { "recovery", MeasureRecovery },
    { "takeover", MeasureTakeover },     { "memory", MeasureMemory },
    { "partitions", MeasurePartitions },
  };
  const auto chosen =
    measurements.find(aArgumentCount == 2 ? aArguments[1] : "");
  if (chosen == measurements.end()) {
    std::puts("usage: bench_joblog append|recovery|takeover|memory|partitions");
    return 1;
  }
  chosen->second();
  return 0;
}
