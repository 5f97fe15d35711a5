#pragma once

/// Each prints one table in Markdown.
namespace pumiceturn::joblog {

/// Items accepted a second and time to durable, by copies and items a frame,
/// against a plain loop of write and fdatasync with the same frames.
void
MeasureAppend();

/// Time to read a store back, and to own its partition again, by log size.
void
MeasureRecovery();

/// From the kill of an owner to the first append that the next one
/// acknowledges.
void
MeasureTakeover();

/// Memory by record held.
void
MeasureMemory();

/// Claim of all partitions by three keepers, by the count of partitions.
void
MeasurePartitions();

} // namespace pumiceturn::joblog
