#pragma once

#include <Caller.pb.h>

namespace pumiceturn::pumicectl {

/// Prints a job's counts to the standard output, a line each.
void
PrintJobStatus(const caller::JobStatus& aStatus);

} // namespace pumiceturn::pumicectl
