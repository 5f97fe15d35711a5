#pragma once

#include "LibBase/Result.h"

#include <cxxopts.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace pumiceturn::pumicectl {

/// What the process tells the shell.
enum class ExitCode : std::uint8_t
{
  Done = 0,
  Failed = 1,       ///< The fleet refused or failed; its code is printed.
  Usage = 2,        ///< The command line is wrong.
  InvalidInput = 3, ///< A file or a lot is wrong; nothing was sent.
  NotReached = 4,   ///< No entry answered.
  SomeFailed = 5,   ///< Done, but some items or checks ended as failed.
};

/// One command: what it takes and what it does.
struct Command
{
  std::string_view name_;      ///< One word, or two.
  std::string_view arguments_; ///< Positional arguments, for the help.
  std::string_view summary_;
  void (*declare_)(cxxopts::Options& aOptions);
  base::Result<ExitCode> (*run_)(const cxxopts::ParseResult& aArguments);
};

extern const Command kValidateCommand;
extern const Command kCallCommand;
extern const Command kSubmitCommand;
extern const Command kJobCommand;
extern const Command kResultsCommand;
extern const Command kResultCommand;
extern const Command kCancelCommand;
extern const Command kApplyCommand;
extern const Command kDiffCommand;
extern const Command kGetCommand;
extern const Command kHistoryCommand;
extern const Command kStatusCommand;
extern const Command kQuarantineCommand;
extern const Command kLiftCommand;
extern const Command kDrainCommand;
extern const Command kUndrainCommand;
extern const Command kCodesCommand;
extern const Command kLoadCommand;
extern const Command kAccountCommand;
extern const Command kReferenceCommand;
extern const Command kStandinEngineCommand;
extern const Command kStandinKeyValueCommand;
extern const Command kStandinServiceCommand;
extern const Command kStandinAnswerCommand;
extern const Command kStandinCheckCommand;

/// @return all commands in the order of the help.
std::span<const Command* const>
AllCommands();

} // namespace pumiceturn::pumicectl
