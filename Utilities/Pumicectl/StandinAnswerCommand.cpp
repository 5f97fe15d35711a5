#include "Command.h"

#include "LibStandin/EngineAnswer.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  aOptions.add_options()("prompt", "Prompt", cxxopts::value<std::string>())(
    "max-tokens",
    "Longest answer",
    cxxopts::value<std::uint32_t>()->default_value("0"));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  std::cout << standin::EngineAnswerText(
                 aArguments["prompt"].as<std::string>(),
                 aArguments["max-tokens"].as<std::uint32_t>())
            << std::endl;
  return ExitCode::Done;
}

} // namespace

const Command kStandinAnswerCommand{
  "standin answer", "",  "Print what the engine stand-in answers to a prompt",
  Declare,          Run,
};

} // namespace pumiceturn::pumicectl
