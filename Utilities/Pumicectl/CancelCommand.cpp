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
  BOOST_LEAF_AUTO(status, client.CancelJob(Positional(aArguments, "key")));
  PrintJobStatus(status);
  return ExitCode::Done;
}

} // namespace

const Command kCancelCommand{
  "cancel", "KEY", "Cancel a job", Declare, Run,
};

} // namespace pumiceturn::pumicectl
