#include "Command.h"
#include "Connection.h"

#include <fmt/format.h>

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("limit",
                         "Most versions shown",
                         cxxopts::value<std::uint32_t>()->default_value("20"));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(history,
                  client.GetHistory(aArguments["limit"].as<std::uint32_t>()));
  for (const operations::HistoryEntry& entry : history.entries()) {
    std::cout << fmt::format("{:>8}  {}  {}  {}\n",
                             entry.version(),
                             FormatTime(entry.applied_unix_ms()),
                             entry.author(),
                             entry.comment());
  }
  std::cout << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kHistoryCommand{
  "history", "", "List the versions of the configuration", Declare, Run,
};

} // namespace pumiceturn::pumicectl
