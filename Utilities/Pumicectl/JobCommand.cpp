#include "Command.h"
#include "Connection.h"
#include "JobStatusPrinter.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  DeclarePositional(aOptions, { { "key", "Job key" } });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(status, client.GetJob(Positional(aArguments, "key")));
  PrintJobStatus(status);
  return ExitCode::Done;
}

} // namespace

const Command kJobCommand{
  "job", "KEY", "Show how far a job is", Declare, Run,
};

} // namespace pumiceturn::pumicectl
