#include "StandinRunner.h"

#include "LibStandin/KeyValueStandin.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  const standin::KeyValueFaults faults;
  DeclareListen(aOptions, "127.0.0.1:7400");
  aOptions.add_options()("state-file",
                         "Keep keys over a restart; empty: none",
                         cxxopts::value<std::string>()->default_value(""))(
    "writes-per-second",
    "0: no limit",
    cxxopts::value<double>()->default_value(std::to_string(
      faults.writesPerSecond_)))("reads-per-second",
                                 "0: no limit",
                                 cxxopts::value<double>()->default_value(
                                   std::to_string(faults.readsPerSecond_)));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(address, ListenAddress(aArguments));
  standin::KeyValueStandin::Options options;
  options.host_ = address.ip_;
  options.port_ = address.port_;
  options.stateFile_ = aArguments["state-file"].as<std::string>();
  options.faults_.writesPerSecond_ =
    aArguments["writes-per-second"].as<double>();
  options.faults_.readsPerSecond_ = aArguments["reads-per-second"].as<double>();
  PrepareStandin("key-value");
  BOOST_LEAF_AUTO(service, standin::KeyValueStandin::Start(options));
  WaitForEnd(address, service->Port());
  return ExitCode::Done;
}

} // namespace

const Command kStandinKeyValueCommand{
  "standin kv", "", "Run a stand-in for the key-value service", Declare, Run,
};

} // namespace pumiceturn::pumicectl
