#include "LibDispatch/Policy.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

struct HeadroomVisitor
{
  std::uint32_t burst_;

  std::uint32_t operator()(const PassThrough& /*aPolicy*/) const { return 0; }
  std::uint32_t operator()(const StrictPriority& /*aPolicy*/) const
  {
    return 0;
  }
  std::uint32_t operator()(const StaticHeadroom& aPolicy) const
  {
    return aPolicy.places_;
  }
  std::uint32_t operator()(const BurstHeadroom& aPolicy) const
  {
    return std::max(burst_, aPolicy.min_);
  }
};

} // namespace

bool
MayPreempt(const Policy& aPolicy)
{
  return std::holds_alternative<BurstHeadroom>(aPolicy);
}

bool
QueuesAtAgent(const Policy& aPolicy)
{
  return !std::holds_alternative<PassThrough>(aPolicy);
}

std::uint32_t
HeadroomOf(const Policy& aPolicy, std::uint32_t aBurst)
{
  return std::visit(HeadroomVisitor{ aBurst }, aPolicy);
}

} // namespace pumiceturn::dispatch
