#include "Command.h"
#include "Connection.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("partitions", "Show each partition too");
}

const char*
LinkText(bool aIsLinked, bool aIsDraining)
{
  if (!aIsLinked) {
    return "lost";
  }
  return aIsDraining ? "draining" : "up";
}

void
PrintHosts(const operations::StatusReply& aStatus)
{
  std::cout << fmt::format("{:<20} {:<14} {:<9} {:>8} {:>9}\n",
                           "HOST",
                           "DOMAIN",
                           "LINK",
                           "VERSION",
                           "HEARD MS");
  for (const operations::HostStatus& host : aStatus.hosts()) {
    std::cout << fmt::format("{:<20} {:<14} {:<9} {:>8} {:>9}\n",
                             host.name(),
                             host.failure_domain(),
                             LinkText(host.linked(), host.draining()),
                             host.configuration_version(),
                             host.last_heard_ms());
  }
}

void
PrintEndpoints(const operations::StatusReply& aStatus)
{
  std::cout << fmt::format(
    "\n{:<20} {:<14} {:<14} {:<9} {:>7} {:>6} {:>8} {:>8}\n",
    "ENDPOINT",
    "SERVICE",
    "DOMAIN",
    "LINK",
    "RUNNING",
    "QUEUED",
    "CAPACITY",
    "VERSION");
  for (const operations::EndpointStatus& endpoint : aStatus.endpoints()) {
    std::cout << fmt::format(
      "{:<20} {:<14} {:<14} {:<9} {:>7} {:>6} {:>8} {:>8}\n",
      endpoint.name(),
      endpoint.service(),
      endpoint.failure_domain(),
      LinkText(endpoint.linked(), endpoint.draining()),
      endpoint.running(),
      endpoint.queued_online(),
      endpoint.capacity(),
      endpoint.configuration_version());
  }
}

void
PrintPartitions(const operations::StatusReply& aStatus)
{
  std::cout << fmt::format(
    "\n{:>9} {:<20} {:>6}  {}\n", "PARTITION", "OWNER", "EPOCH", "COPIES");
  for (const operations::PartitionStatus& partition : aStatus.partitions()) {
    std::cout << fmt::format("{:>9} {:<20} {:>6}  {}\n",
                             partition.partition(),
                             partition.owner(),
                             partition.epoch(),
                             fmt::join(partition.copies(), " "));
  }
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  BOOST_LEAF_AUTO(status, client.GetStatus());
  std::cout << "configuration version " << status.configuration_version()
            << "\n\n";
  PrintHosts(status);
  PrintEndpoints(status);
  if (aArguments.count("partitions") > 0) {
    PrintPartitions(status);
  }
  std::cout << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kStatusCommand{
  "status", "", "Show hosts, endpoints and partitions", Declare, Run,
};

} // namespace pumiceturn::pumicectl
