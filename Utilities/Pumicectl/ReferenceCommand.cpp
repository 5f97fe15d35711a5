#include "Command.h"

#include "LibSettings/ReferencePage.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "schema",
    "Folder of the schema files",
    cxxopts::value<std::string>()->default_value("Schema"));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(
    page, settings::WriteReferencePage(aArguments["schema"].as<std::string>()));
  std::cout << page << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kReferenceCommand{
  "reference", "",  "Print docs/SETTINGS.md from the schema's comments",
  Declare,     Run,
};

} // namespace pumiceturn::pumicectl
