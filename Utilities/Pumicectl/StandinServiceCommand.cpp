#include "StandinRunner.h"

#include "LibStandin/PlainServiceStandin.h"

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareListen(aOptions, "127.0.0.1:7420");
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(address, ListenAddress(aArguments));
  standin::PlainServiceStandin::Options options;
  options.host_ = address.ip_;
  options.port_ = address.port_;
  PrepareStandin("service");
  BOOST_LEAF_AUTO(service, standin::PlainServiceStandin::Start(options));
  WaitForEnd(address, service->Port());
  return ExitCode::Done;
}

} // namespace

const Command kStandinServiceCommand{
  "standin service", "", "Run a stand-in for a plain service", Declare, Run,
};

} // namespace pumiceturn::pumicectl
