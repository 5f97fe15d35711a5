#pragma once

#include <cstddef>
#include <vector>

namespace pumiceturn::load {

/// Three quantiles of a distribution.
struct Quantiles
{
  double p50_ = 0;
  double p95_ = 0;
  double p99_ = 0;
  std::size_t count_ = 0;
};

/// All values of one measure, kept, so that quantiles are exact.
class Samples
{
public:
  void Add(double aValue) { values_.push_back(static_cast<float>(aValue)); }

  [[nodiscard]] std::size_t Count() const { return values_.size(); }

  /// Sorts the values. Call once, before Quantile().
  void Sort();

  /// @param aShare 0 to 1.
  /// @return the smallest value that at least this share does not exceed; 0
  /// when there is none.
  [[nodiscard]] double Quantile(double aShare) const;

  [[nodiscard]] Quantiles Summary() const;

private:
  std::vector<float> values_;
};

} // namespace pumiceturn::load
