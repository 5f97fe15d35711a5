#include "Command.h"

#include "LibBase/ResultCode.h"

#include <fmt/format.h>

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& /*aOptions*/)
{
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& /*aArguments*/)
{
  for (const base::ResultCodeRow& row : base::AllResultCodes()) {
    std::cout << fmt::format("{:>3}  {:<22} {}\n",
                             static_cast<int>(row.code_),
                             row.name_,
                             row.meaning_);
  }
  std::cout << std::flush;
  return ExitCode::Done;
}

} // namespace

const Command kCodesCommand{
  "codes", "", "List the result codes", Declare, Run,
};

} // namespace pumiceturn::pumicectl
