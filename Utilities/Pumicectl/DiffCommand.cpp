#include "Command.h"
#include "Connection.h"

#include "LibSettings/DeclarationsFile.h"
#include "LibSettings/LineDiff.h"
#include "LibSettings/YamlWriter.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("version",
                         "Version to compare with; 0: the one in force",
                         cxxopts::value<std::uint64_t>()->default_value("0"));
  DeclarePositional(aOptions, { { "file", "Declarations file" } });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(
    declarations,
    settings::LoadDeclarationsFile(Positional(aArguments, "file")));
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(
    configuration,
    client.GetConfiguration(aArguments["version"].as<std::uint64_t>()));
  std::cerr << "from version " << configuration.version() << " to the file"
            << std::endl;
  std::cout << settings::DiffLines(
                 settings::WriteYaml(configuration.declarations()),
                 settings::WriteYaml(declarations))
            << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kDiffCommand{
  "diff", "FILE", "Show what applying a file would change", Declare, Run,
};

} // namespace pumiceturn::pumicectl
