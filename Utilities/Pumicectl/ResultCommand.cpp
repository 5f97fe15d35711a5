#include "Command.h"
#include "Connection.h"
#include "ResultPrinter.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  DeclarePositional(aOptions, "key", "Request key");
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(result, client.GetResult(Positional(aArguments, "key")));
  PrintResult(result);
  return result.outcome().code() == 0 ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

const Command kResultCommand{
  "result", "KEY", "Print the recorded result of a call", Declare, Run,
};

} // namespace pumiceturn::pumicectl
