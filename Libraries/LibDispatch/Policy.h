#pragma once

#include <cstdint>
#include <variant>

namespace pumiceturn::dispatch {

/// Baseline policy: sends every request to the engine on arrival; the engine
/// queues. Called engine order in the settings.
struct PassThrough
{};

/// Baseline policy: queues requests at the agent, online runs before batch
/// runs; never preempts.
struct StrictPriority
{};

/// Baseline policy: keeps a fixed number of places free of batch.
struct StaticHeadroom
{
  std::uint32_t places_ = 0;
};

/// Keeps places free according to recent bursts, and preempts batch streams
/// when these are used up.
struct BurstHeadroom
{
  /// Minimum number of places kept free. A higher one shortens the decoding
  /// step for online streams, but leaves less to batch.
  std::uint32_t min_ = 0;
};

/// How an agent divides its engine between online and batch.
using Policy =
  std::variant<PassThrough, StrictPriority, StaticHeadroom, BurstHeadroom>;

/// @return whether a batch stream may be preempted for an online request.
bool
MayPreempt(const Policy& aPolicy);

/// @return whether requests queue at the agent rather than at the engine.
bool
QueuesAtAgent(const Policy& aPolicy);

/// @param aBurst Headroom computed from recent bursts.
/// @return the number of places to keep free of batch.
std::uint32_t
HeadroomOf(const Policy& aPolicy, std::uint32_t aBurst);

} // namespace pumiceturn::dispatch
