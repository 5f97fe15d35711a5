#include "Command.h"

#include <array>

namespace pumiceturn::pumicectl {

std::span<const Command* const>
AllCommands()
{
  static constexpr auto kCommands = std::to_array<const Command*>({
    &kValidateCommand,       &kCallCommand,
    &kSubmitCommand,         &kJobCommand,
    &kResultsCommand,        &kResultCommand,
    &kCancelCommand,         &kApplyCommand,
    &kDiffCommand,           &kGetCommand,
    &kHistoryCommand,        &kStatusCommand,
    &kQuarantineCommand,     &kLiftCommand,
    &kDrainCommand,          &kUndrainCommand,
    &kCodesCommand,          &kLoadCommand,
    &kAccountCommand,        &kReferenceCommand,
    &kStandinEngineCommand,  &kStandinKeyValueCommand,
    &kStandinServiceCommand, &kStandinAnswerCommand,
    &kStandinCheckCommand,
  });
  return kCommands;
}

} // namespace pumiceturn::pumicectl
