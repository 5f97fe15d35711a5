#include "Command.h"
#include "Connection.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  DeclarePositional(
    aOptions, { { "fingerprint", "As `pumicectl quarantine` shows it" } });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  const std::string fingerprint = Positional(aArguments, "fingerprint");
  BOOST_LEAF_AUTO(found, client.LiftQuarantine(fingerprint));
  if (!found) {
    return base::Fail(base::ResultCode::NotFound,
                      "'" + fingerprint + "' is not in quarantine");
  }
  std::cout << "lifted" << std::endl;
  return ExitCode::Done;
}

} // namespace

const Command kLiftCommand{
  "lift", "FINGERPRINT", "Take a request out of quarantine", Declare, Run,
};

} // namespace pumiceturn::pumicectl
