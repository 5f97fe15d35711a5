#pragma once

#include "LibBase/Result.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::settings {

/// A place in a file. Counted from 1; 0 is unknown.
struct Position
{
  int line_ = 0;
  int column_ = 0;
};

/// Where each field that a file gives stands, by its path, for example
/// `services[0].kinds[2].name`.
using PositionTable = std::map<std::string, Position, std::less<>>;

/// One thing that is wrong with a file or a message.
struct Problem
{
  base::ResultCode code_ = base::ResultCode::Internal;
  std::string field_; ///< Path of the field; empty for the whole message.
  std::string detail_;
  Position position_;
};

/// Gives each problem without a position that of its field, or of the nearest
/// enclosing field that the file gives.
void
LocateProblems(const PositionTable& aPositions,
               std::vector<Problem>& aProblems);

/// @param aName File name, or empty where the message came from no file.
/// @return success when there is no problem. Otherwise a failure with the first
/// problem's code; its detail has one line a problem: place, code, field, text.
base::Result<void>
ToResult(std::string_view aName, const std::vector<Problem>& aProblems);

} // namespace pumiceturn::settings
