#include "LibLoad/Samples.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::load {

void
Samples::Sort()
{
  std::sort(values_.begin(), values_.end());
}

double
Samples::Quantile(double aShare) const
{
  if (values_.empty()) {
    return 0;
  }
  const double rank = std::ceil(aShare * static_cast<double>(values_.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return values_[std::min(index, values_.size() - 1)];
}

Quantiles
Samples::Summary() const
{
  constexpr double kMedian = 0.5;
  constexpr double kMost = 0.95;
  constexpr double kNearlyAll = 0.99;
  return { Quantile(kMedian), Quantile(kMost), Quantile(kNearlyAll), Count() };
}

} // namespace pumiceturn::load
