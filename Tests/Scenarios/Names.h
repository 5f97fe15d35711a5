#pragma once

#include "LibBase/ResultCode.h"

#include <string>

namespace pumiceturn::scenarios {

inline std::string
YesOrNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

inline std::string
NameOf(base::Ran aRan)
{
  switch (aRan) {
    case base::Ran::NotRun:
      return "NotRun";
    case base::Ran::Ran:
      return "Ran";
    case base::Ran::Unknown:
      return "Unknown";
    case base::Ran::Unspecified:
      break;
  }
  return "Unspecified";
}

/// @return whole, none, part (a true beginning) or wrong.
inline std::string
JudgeAnswer(const std::string& aSeen, const std::string& aTrue)
{
  if (aSeen == aTrue) {
    return "whole";
  }
  if (aSeen.empty()) {
    return "none";
  }
  return aTrue.starts_with(aSeen) ? "part" : "wrong";
}

} // namespace pumiceturn::scenarios
