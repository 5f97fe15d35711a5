#include "Command.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

namespace pumiceturn::pumicectl {

namespace {

using base::ResultCode;

constexpr auto kFirstSystemCode = ResultCode::Unauthenticated;

std::string
NameList()
{
  std::string list;
  for (const Command* command : AllCommands()) {
    std::string name(command->name_);
    constexpr std::size_t kNameWidth = 15;
    name.resize(std::max(name.size(), kNameWidth), ' ');
    list += "  " + name + " " + std::string(command->summary_) + "\n";
  }
  return list;
}

void
PrintHelp(std::ostream& aStream)
{
  aStream
    << "usage: pumicectl COMMAND [OPTION...]\n\n"
    << NameList() << "\n`pumicectl COMMAND --help` lists a command's options.\n"
    << "\nexit codes: 0 done; 1 refused or failed, with the numbered code;\n"
       "2 wrong command line; 3 wrong input, nothing sent; 4 no entry "
       "reached;\n"
       "5 done, but some items or checks failed\n";
}

ExitCode
ExitCodeFor(ResultCode aCode)
{
  if (aCode == ResultCode::Disconnected || aCode == ResultCode::TimedOut) {
    return ExitCode::NotReached;
  }
  // What is below was found here, before anything was sent.
  return aCode < kFirstSystemCode ? ExitCode::InvalidInput : ExitCode::Failed;
}

/// Puts the code before a detail that does not begin with it.
std::string
Describe(const base::Failure& aFailure)
{
  const std::string code = std::to_string(static_cast<int>(aFailure.code_)) +
                           " " + std::string(base::NameOf(aFailure.code_));
  return aFailure.detail_.find(code) != std::string::npos
           ? aFailure.detail_
           : code + ": " + aFailure.detail_;
}

ExitCode
RunCommand(const Command& aCommand, int aCount, char** aValues)
{
  cxxopts::Options options("pumicectl " + std::string(aCommand.name_),
                           std::string(aCommand.summary_));
  options.positional_help(std::string(aCommand.arguments_));
  options.add_options()("help", "Show this help");
  aCommand.declare_(options);
  const cxxopts::ParseResult arguments = options.parse(aCount, aValues);
  if (arguments.count("help") > 0) {
    std::cout << options.help() << std::flush;
    return ExitCode::Done;
  }
  // The handlers of Capture() would take an exception for a defect.
  std::exception_ptr usageError;
  const auto outcome = base::Capture([&]() -> base::Result<ExitCode> {
    try {
      return aCommand.run_(arguments);
    } catch (const cxxopts::exceptions::exception&) {
      usageError = std::current_exception();
      return ExitCode::Usage;
    }
  });
  if (usageError) {
    std::rethrow_exception(usageError);
  }
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    std::cerr << Describe(*failure) << std::endl;
    return ExitCodeFor(failure->code_);
  }
  return std::get<ExitCode>(outcome);
}

ExitCode
Run(int aCount, char** aValues)
{
  const std::string name = aCount > 1 ? aValues[1] : "";
  if (name == "--help" || name == "help") {
    PrintHelp(std::cout);
    return ExitCode::Done;
  }
  const std::string twoWords =
    aCount > 2 ? name + " " + aValues[2] : std::string{};
  const auto commands = AllCommands();
  const auto found = std::find_if(
    commands.begin(), commands.end(), [&](const Command* aCommand) {
      return aCommand->name_ == name || aCommand->name_ == twoWords;
    });
  if (found == commands.end()) {
    std::cerr << (name.empty() ? "" : "no command '" + name + "'\n");
    PrintHelp(std::cerr);
    return ExitCode::Usage;
  }
  try {
    const int words = (*found)->name_ == name ? 1 : 2;
    return RunCommand(**found, aCount - words, aValues + words);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << exception.what() << "\nsee `pumicectl " << (*found)->name_
              << " --help`" << std::endl;
    return ExitCode::Usage;
  }
}

} // namespace

} // namespace pumiceturn::pumicectl

int
main(int aCount, char** aValues)
{
  try {
    return static_cast<int>(pumiceturn::pumicectl::Run(aCount, aValues));
  } catch (const std::exception& exception) {
    // For example, no memory for the lot that was read.
    std::fputs(exception.what(), stderr);
    return static_cast<int>(pumiceturn::pumicectl::ExitCode::Failed);
  }
}
