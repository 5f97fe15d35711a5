#include "Command.h"
#include "Connection.h"

#include <cstdlib>
#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  const char* user = std::getenv("USER");
  aOptions.add_options()(
    "author",
    "Who orders it",
    cxxopts::value<std::string>()->default_value(user == nullptr ? "" : user));
  DeclarePositional(aOptions, { { "host", "Host name" } });
}

base::Result<ExitCode>
SetDrained(const cxxopts::ParseResult& aArguments, bool aIsDrained)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  operations::DrainRequest request;
  request.set_host(Positional(aArguments, "host"));
  request.set_drained(aIsDrained);
  request.set_author(aArguments["author"].as<std::string>());
  BOOST_LEAF_AUTO(version, client.SetDrained(request));
  std::cout << "version " << version << " in force" << std::endl;
  return ExitCode::Done;
}

base::Result<ExitCode>
Drain(const cxxopts::ParseResult& aArguments)
{
  return SetDrained(aArguments, true);
}

base::Result<ExitCode>
Undrain(const cxxopts::ParseResult& aArguments)
{
  return SetDrained(aArguments, false);
}

} // namespace

const Command kDrainCommand{
  "drain", "HOST", "Give a host no new work", Declare, Drain,
};

const Command kUndrainCommand{
  "undrain", "HOST", "Take a drained host back into service", Declare, Undrain,
};

} // namespace pumiceturn::pumicectl
