#include "Idle.h"
#include "Throughput.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

namespace pumiceturn::wire {

namespace {

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options("bench_wire", "What links cost.");
  options.add_options()(
    "mode",
    "throughput, peers or idle",
    cxxopts::value<std::string>()->default_value("throughput"))(
    "links", "Most links", cxxopts::value<int>()->default_value("200"))(
    "port",
    "First port of the peers, below those that the system gives out",
    cxxopts::value<int>()->default_value("21000"))(
    "seconds",
    "How long the peers stay",
    cxxopts::value<int>()->default_value("120"));
  options.parse_positional({ "mode" });
  const auto given = options.parse(aCount, aArguments);
  const auto mode = given["mode"].as<std::string>();
  const IdlePlan plan{ given["links"].as<int>(),
                       given["port"].as<int>(),
                       given["seconds"].as<int>() };
  if (mode == "throughput") {
    MeasureThroughput();
  } else if (mode == "peers") {
    ServePeers(plan);
  } else if (mode == "idle") {
    MeasureIdle(plan);
  } else {
    std::cerr << options.help();
    return 1;
  }
  return 0;
}

} // namespace

} // namespace pumiceturn::wire

/// What links cost. On loopback addresses only:
///
///   bench_wire throughput
///     Token chunks a second from 1, 8 and 64 peers to one process, batched by
///     the link table and one a call; time of a round trip.
///
///   bench_wire peers --links 200 --port 21000 &
///   bench_wire idle --links 200 --port 21000
///     Bytes, processor time and memory of idle links, as slopes over their
///     number, seen from the process that dialed them. The first command ends
///     by itself after --seconds.
int
main(int aCount, char** aArguments)
{
  try {
    return pumiceturn::wire::Run(aCount, aArguments);
  } catch (const std::exception& exception) {
    std::fputs(exception.what(), stderr);
    return 1;
  }
}
