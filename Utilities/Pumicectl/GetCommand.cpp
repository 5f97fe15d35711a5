#include "Command.h"
#include "Connection.h"

#include "LibSettings/YamlWriter.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("version",
                         "0: the one in force",
                         cxxopts::value<std::uint64_t>()->default_value("0"));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(
    configuration,
    client.GetConfiguration(aArguments["version"].as<std::uint64_t>()));
  std::cout << "# version " << configuration.version() << ", applied "
            << FormatTime(configuration.applied_unix_ms()) << "\n"
            << settings::WriteYaml(configuration.declarations()) << std::flush;
  for (const std::string& host : configuration.drained_hosts()) {
    std::cerr << "drained: " << host << "\n";
  }
  return ExitCode::Done;
}

} // namespace

const Command kGetCommand{
  "get", "", "Print declarations in a form that apply takes", Declare, Run,
};

} // namespace pumiceturn::pumicectl
