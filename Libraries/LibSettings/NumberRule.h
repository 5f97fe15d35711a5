#pragma once

#include "LibSettings/Problem.h"

#include <google/protobuf/message.h>

#include <span>
#include <string_view>
#include <vector>

namespace pumiceturn::settings {

/// The default and the range of one numeric field.
struct NumberRule
{
  std::string_view field_; ///< Path, `link.heartbeat_ms`.
  double default_;         ///< Used where no value is given; 0: none.
  double least_;
  double most_;
};

/// Sets the numbers that have no value to their defaults.
/// @param aGiven Fields that the file gives; they keep their value, even 0.
void
SetDefaults(std::span<const NumberRule> aRules,
            const PositionTable& aGiven,
            google::protobuf::Message& aMessage);

/// Appends an OutOfRange for each number outside its range.
void
CheckNumbers(std::span<const NumberRule> aRules,
             const google::protobuf::Message& aMessage,
             std::vector<Problem>& aProblems);

} // namespace pumiceturn::settings
