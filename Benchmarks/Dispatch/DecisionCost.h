#pragma once

namespace pumiceturn::bench {

/// Prints the time of one dispatch decision by the number of runs that wait.
void
PrintDecisionCosts();

} // namespace pumiceturn::bench
