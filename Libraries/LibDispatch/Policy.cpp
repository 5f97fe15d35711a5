#include "LibDispatch/Policy.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

struct HeadroomVisitor
{
  std::uint32_t burst_;

  std::uint32_t operator()(const EngineOrder& /*aPolicy*/) const { return 0; }
  std::uint32_t operator()(const StrictPriority& /*aPolicy*/) const
  {
    return 0;
  }
  std::uint32_t operator()(const StaticHeadroom& aPolicy) const
  {
    return aPolicy.slots_;
  }
  std::uint32_t operator()(const BurstHeadroom& aPolicy) const
  {
    return std::max(burst_, aPolicy.least_);
  }
};

} // namespace

bool
MayPreempt(const Policy& aPolicy)
{
  return std::holds_alternative<BurstHeadroom>(aPolicy);
}

bool
IsGated(const Policy& aPolicy)
{
  return !std::holds_alternative<EngineOrder>(aPolicy);
}

std::uint32_t
HeadroomOf(const Policy& aPolicy, std::uint32_t aBurst)
{
  return std::visit(HeadroomVisitor{ aBurst }, aPolicy);
}

} // namespace pumiceturn::dispatch
