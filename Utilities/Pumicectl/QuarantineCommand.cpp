#include "Command.h"
#include "Connection.h"

#include <fmt/format.h>

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(quarantine, client.GetQuarantine());
  std::cout << fmt::format("{:<34} {:>7} {:<11} {:>9}\n",
                           "FINGERPRINT",
                           "CRASHES",
                           "STATE",
                           "EXPIRES S");
  for (const operations::QuarantineEntry& entry : quarantine.entries()) {
    std::cout << fmt::format("{:<34} {:>7} {:<11} {:>9}\n",
                             entry.fingerprint(),
                             entry.crashes(),
                             entry.quarantined() ? "quarantined" : "suspect",
                             entry.expires_in_s());
  }
  std::cout << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kQuarantineCommand{
  "quarantine",      "",  "List requests that crashed endpoints",
  DeclareConnection, Run,
};

} // namespace pumiceturn::pumicectl
