#pragma once

#include "LibBase/Result.h"
#include "LibSettings/Problem.h"

#include <Declarations.pb.h>

#include <string>
#include <vector>

namespace pumiceturn::settings {

/// Checks names, references, ranges, required enums, addresses and digests.
/// @return what is wrong, in the order of the message.
std::vector<Problem>
FindProblems(const declarations::Declarations& aDeclarations);

/// FindProblems() as a Result, for declarations that came from no file.
base::Result<void>
CheckDeclarations(const declarations::Declarations& aDeclarations);

/// Reads and checks a declarations file.
/// @return the declarations, or a failure whose detail lists every problem as
/// `file:line:column: code name: field: text`.
base::Result<declarations::Declarations>
LoadDeclarationsFile(const std::string& aPath);

} // namespace pumiceturn::settings
