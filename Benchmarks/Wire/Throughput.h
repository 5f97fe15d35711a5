#pragma once

namespace pumiceturn::wire {

/// Prints messages a second by the number of links, with batches and without,
/// and the time of a round trip.
void
MeasureThroughput();

} // namespace pumiceturn::wire
