#pragma once

#include "LibBase/Result.h"
#include "LibSettings/Problem.h"

#include <LoadPlan.pb.h>

#include <string>
#include <vector>

namespace pumiceturn::settings {

/// Checks ranges and references within a load plan.
std::vector<Problem>
FindProblems(const load::LoadPlan& aPlan);

/// Reads a load plan, applies the defaults and checks the whole.
/// @return the plan, or a failure whose detail lists every problem as
/// `file:line:column: code name: field: text`.
base::Result<load::LoadPlan>
LoadLoadPlanFile(const std::string& aPath);

} // namespace pumiceturn::settings
