#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::metrics {

/// A number that only grows. Lock-free.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Value() const
  {
    return value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/// A distribution over a Boost.Histogram with logarithmic bins. Thread-safe.
class Histogram
{
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// @param aValue In the unit that the metric's name ends with.
  void Record(double aValue);

  /// @param aShare 0 to 1.
  /// @return the value below which that share lies; 0 when empty.
  [[nodiscard]] double Quantile(double aShare) const;
  [[nodiscard]] std::uint64_t Count() const;

private:
  friend class Registry;
  struct State;
  std::unique_ptr<State> state_;
};

/// All metrics of a process, written in the Prometheus text format. Names
/// follow its conventions: pumiceturn_<subject>_<unit>[_total]. Labels are
/// given as the text between the braces, e.g. `kind="look-up"`. References stay
/// valid for the registry's life. Thread-safe.
class Registry
{
public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  /// @return the metric of that name and labels, made at the first call.
  Counter& GetCounter(std::string_view aName,
                      std::string_view aHelp,
                      std::string_view aLabels = {});
  Histogram& GetHistogram(std::string_view aName,
                          std::string_view aHelp,
                          std::string_view aLabels = {});

  /// Adds a gauge that is read at each scrape.
  void AddGauge(std::string_view aName,
                std::string_view aHelp,
                std::string_view aLabels,
                std::function<double()> aRead);

  /// @return everything in the Prometheus text format.
  [[nodiscard]] std::string Write() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::metrics
