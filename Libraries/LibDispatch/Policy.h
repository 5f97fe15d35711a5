#pragma once

#include <cstdint>
#include <variant>

namespace pumiceturn::dispatch {

/// Baseline: every request goes to the engine as it comes, and waits there.
struct EngineOrder
{};

/// Baseline: online before batch in the agent's queue; what runs is left alone.
struct StrictPriority
{};

/// Baseline: a fixed number of places is kept free of batch.
struct StaticHeadroom
{
  std::uint32_t slots_ = 0;
};

/// Places kept free by recent bursts, and batch streams preempted when these
/// are used up.
struct BurstHeadroom
{
  std::uint32_t least_ = 0; ///< Places kept free in any case: a shorter step
                            ///< for online against less batch.
};

/// How an agent shares its engine between online and batch.
using Policy =
  std::variant<EngineOrder, StrictPriority, StaticHeadroom, BurstHeadroom>;

/// @return whether a batch stream gives its place to a waiting online request.
bool
MayPreempt(const Policy& aPolicy);

/// @return whether requests wait at the agent for room, not at the engine.
bool
IsGated(const Policy& aPolicy);

/// @param aBurst Places that recent bursts would have needed.
/// @return places kept free of batch.
std::uint32_t
HeadroomOf(const Policy& aPolicy, std::uint32_t aBurst);

} // namespace pumiceturn::dispatch
