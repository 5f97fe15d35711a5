#include "Command.h"
#include "Connection.h"
#include "ResultPrinter.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("follow", "Wait for more until the job has ended")(
    "json", "Print JSON Lines with position, item, code and tokens")(
    "from",
    "First position: one more than the last one read",
    cxxopts::value<std::uint32_t>()->default_value("0"));
  DeclarePositional(aOptions, { { "key", "Job key" } });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  caller::ReadResultsRequest request;
  request.set_job_key(Positional(aArguments, "key"));
  request.set_from(aArguments["from"].as<std::uint32_t>());
  request.set_follow(aArguments.count("follow") > 0);
  const auto format =
    aArguments.count("json") > 0 ? ResultFormat::JsonLines : ResultFormat::Text;
  bool hasFailed = false;
  BOOST_LEAF_CHECK(
    client.ReadResults(request, [&](const caller::ItemResult& aResult) {
      hasFailed = hasFailed || aResult.outcome().code() != 0;
      PrintResult(aResult, format);
    }));
  return hasFailed ? ExitCode::SomeFailed : ExitCode::Done;
}

} // namespace

const Command kResultsCommand{
  "results", "KEY", "Print a job's results in the order recorded", Declare, Run,
};

} // namespace pumiceturn::pumicectl
