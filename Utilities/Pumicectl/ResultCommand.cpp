#include "Command.h"
#include "Connection.h"
#include "ResultPrinter.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("json", "Print everything as JSON");
  DeclarePositional(aOptions, { { "key", "Request key" } });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(result, client.GetResult(Positional(aArguments, "key")));
  PrintResult(result,
              aArguments.count("json") > 0 ? ResultFormat::JsonLines
                                           : ResultFormat::Text);
  return result.outcome().code() == 0 ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

const Command kResultCommand{
  "result", "KEY", "Print the recorded result of a call", Declare, Run,
};

} // namespace pumiceturn::pumicectl
