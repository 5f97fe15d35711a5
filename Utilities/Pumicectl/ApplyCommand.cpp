#include "Command.h"
#include "Connection.h"

#include "LibSettings/DeclarationsFile.h"

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
    "expect",
    "Version that the change was made from; without it, the one in force",
    cxxopts::value<std::uint64_t>())(
    "author",
    "Who applies it",
    cxxopts::value<std::string>()->default_value(user == nullptr ? "" : user))(
    "comment", "Why", cxxopts::value<std::string>()->default_value(""));
  DeclarePositional(aOptions, { { "file", "Declarations file" } });
}

base::Result<std::uint64_t>
ExpectedVersion(const cxxopts::ParseResult& aArguments, client::Client& aClient)
{
  if (aArguments.count("expect") > 0) {
    return aArguments["expect"].as<std::uint64_t>();
  }
  BOOST_LEAF_AUTO(configuration, aClient.GetConfiguration(0));
  return configuration.version();
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(
    declarations,
    settings::LoadDeclarationsFile(Positional(aArguments, "file")));
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(expected, ExpectedVersion(aArguments, client));
  operations::ApplyRequest request;
  *request.mutable_declarations() = declarations;
  request.set_expected_version(expected);
  request.set_author(aArguments["author"].as<std::string>());
  request.set_comment(aArguments["comment"].as<std::string>());
  BOOST_LEAF_AUTO(outcome, client.Apply(request));
  std::cout << "version " << outcome.version_
            << (outcome.unchanged_ ? " already in force" : " in force")
            << std::endl;
  return ExitCode::Done;
}

} // namespace

const Command kApplyCommand{
  "apply", "FILE", "Put declarations in force", Declare, Run,
};

} // namespace pumiceturn::pumicectl
