#pragma once

#include <Caller.pb.h>

namespace pumiceturn::pumicectl {

/// Prints a result to the standard output as one line of JSON.
void
PrintResult(const caller::ItemResult& aResult);

} // namespace pumiceturn::pumicectl
