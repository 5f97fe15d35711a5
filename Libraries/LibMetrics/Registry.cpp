#include "LibMetrics/Registry.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <map>
#include <mutex>
#include <tuple>
#include <vector>

namespace pumiceturn::metrics {

namespace {

namespace histogram = boost::histogram;

// Ten decades, so that one axis serves milliseconds, bytes and tokens. Twenty
// bins a decade bound the error of a quantile to 12%.
constexpr double kLeast = 1e-3;
constexpr double kMost = 1e7;
constexpr unsigned kBinsPerDecade = 20;
constexpr unsigned kDecades = 10;

/// Bins that one line of the text format covers: half a decade, to keep the
/// page short.
constexpr int kBinsPerLine = kBinsPerDecade / 2;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Cell = histogram::accumulators::count<std::uint64_t, true>;
using Bins =
  histogram::histogram<std::tuple<Axis>, histogram::dense_storage<Cell>>;

Bins
MakeBins()
{
  return histogram::make_histogram_with(
    histogram::dense_storage<Cell>(),
    Axis(kBinsPerDecade * kDecades, kLeast, kMost));
}

std::string
Join(std::string_view aLabels, std::string_view aLast)
{
  if (aLabels.empty()) {
    return std::string(aLast);
  }
  return fmt::format("{},{}", aLabels, aLast);
}

std::string
Braces(std::string_view aLabels)
{
  return aLabels.empty() ? std::string{} : fmt::format("{{{}}}", aLabels);
}

} // namespace

struct Histogram::State
{
  Bins bins_ = MakeBins();
  std::atomic<double> sum_{ 0 };

  /// Copies the counts, first what lies below the axis, last what lies above.
  [[nodiscard]] std::vector<std::uint64_t> Counts() const
  {
    std::vector<std::uint64_t> counts;
    const int size = bins_.axis().size();
    counts.reserve(static_cast<std::size_t>(size) + 2);
    for (int bin = -1; bin <= size; ++bin) {
      counts.push_back(bins_.at(bin).value());
    }
    return counts;
  }

  void Write(std::string& aPage,
             std::string_view aName,
             std::string_view aLabels) const;
};

Histogram::Histogram()
  : state_(std::make_unique<State>())
{
}

Histogram::~Histogram() = default;

void
Histogram::Record(double aValue)
{
  // A value of 0 or less has no logarithm; it belongs below the axis.
  state_->bins_(std::max(aValue, kLeast / 2));
  state_->sum_.fetch_add(aValue, std::memory_order_relaxed);
}

double
Histogram::Quantile(double aShare) const
{
  const std::vector<std::uint64_t> counts = state_->Counts();
  std::uint64_t total = 0;
  for (const std::uint64_t count : counts) {
    total += count;
  }
  if (total == 0) {
    return 0;
  }
  const auto& axis = state_->bins_.axis();
  const double wanted =
    std::clamp(aShare, 0.0, 1.0) * static_cast<double>(total);
  double below = 0;
  for (std::size_t index = 0; index < counts.size(); ++index) {
    const auto count = static_cast<double>(counts[index]);
    if (count == 0 || below + count < wanted) {
      below += count;
      continue;
    }
    const int bin = static_cast<int>(index) - 1;
    const double within = (wanted - below) / count;
    // The bins at the ends have one bound only.
    return bin < 0              ? kLeast
           : bin == axis.size() ? kMost
                                : axis.value(bin + within);
  }
  return kMost;
}

std::uint64_t
Histogram::Count() const
{
  std::uint64_t total = 0;
  for (const std::uint64_t count : state_->Counts()) {
    total += count;
  }
  return total;
}

void
Histogram::State::Write(std::string& aPage,
                        std::string_view aName,
                        std::string_view aLabels) const
{
  const std::vector<std::uint64_t> counts = Counts();
  const auto& axis = bins_.axis();
  auto out = std::back_inserter(aPage);
  std::uint64_t total = 0;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    total += counts[static_cast<std::size_t>(bin) + 1];
    const bool endsLine = bin < axis.size() && (bin + 1) % kBinsPerLine == 0;
    if (endsLine) {
      const std::string bound =
        fmt::format("le=\"{:.3g}\"", axis.value(bin + 1));
      fmt::format_to(
        out, "{}_bucket{{{}}} {}\n", aName, Join(aLabels, bound), total);
    }
  }
  fmt::format_to(
    out, "{}_bucket{{{}}} {}\n", aName, Join(aLabels, "le=\"+Inf\""), total);
  fmt::format_to(out,
                 "{}_sum{} {}\n",
                 aName,
                 Braces(aLabels),
                 sum_.load(std::memory_order_relaxed));
  fmt::format_to(out, "{}_count{} {}\n", aName, Braces(aLabels), total);
}

namespace {

enum class MetricType : std::uint8_t
{
  Counter,
  Gauge,
  Histogram,
};

std::string_view
NameOf(MetricType aType)
{
  switch (aType) {
    case MetricType::Counter:
      return "counter";
    case MetricType::Gauge:
      return "gauge";
    case MetricType::Histogram:
      break;
  }
  return "histogram";
}

/// The series of one name, by their labels. Map nodes stay where they are, so
/// references to the metrics stay valid.
struct Family
{
  MetricType type_ = MetricType::Counter;
  std::string help_;
  std::map<std::string, Counter, std::less<>> counters_;
  std::map<std::string, Histogram, std::less<>> histograms_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

} // namespace

struct Registry::State
{
  mutable std::mutex mutex_;
  std::map<std::string, Family, std::less<>> families_;

  Family& GetFamily(std::string_view aName,
                    std::string_view aHelp,
                    MetricType aType)
  {
    auto [found, isNew] = families_.try_emplace(std::string(aName));
    if (isNew) {
      found->second.type_ = aType;
      found->second.help_ = aHelp;
    }
    assert(found->second.type_ == aType && "a name has one type");
    return found->second;
  }
};

Registry::Registry()
  : state_(std::make_unique<State>())
{
}

Registry::~Registry() = default;

Counter&
Registry::GetCounter(std::string_view aName,
                     std::string_view aHelp,
                     std::string_view aLabels)
{
  const std::lock_guard lock(state_->mutex_);
  Family& family = state_->GetFamily(aName, aHelp, MetricType::Counter);
  return family.counters_.try_emplace(std::string(aLabels)).first->second;
}

Histogram&
Registry::GetHistogram(std::string_view aName,
                       std::string_view aHelp,
                       std::string_view aLabels)
{
  const std::lock_guard lock(state_->mutex_);
  Family& family = state_->GetFamily(aName, aHelp, MetricType::Histogram);
  return family.histograms_.try_emplace(std::string(aLabels)).first->second;
}

void
Registry::AddGauge(std::string_view aName,
                   std::string_view aHelp,
                   std::string_view aLabels,
                   std::function<double()> aRead)
{
  const std::lock_guard lock(state_->mutex_);
  Family& family = state_->GetFamily(aName, aHelp, MetricType::Gauge);
  family.gauges_[std::string(aLabels)] = std::move(aRead);
}

std::string
Registry::Write() const
{
  std::string page;
  std::vector<std::pair<std::string, std::function<double()>>> gauges;
  {
    const std::lock_guard lock(state_->mutex_);
    auto out = std::back_inserter(page);
    for (const auto& [name, family] : state_->families_) {
      if (family.type_ == MetricType::Gauge) {
        continue;
      }
      fmt::format_to(out, "# HELP {} {}\n", name, family.help_);
      fmt::format_to(out, "# TYPE {} {}\n", name, NameOf(family.type_));
      for (const auto& [labels, counter] : family.counters_) {
        fmt::format_to(out, "{}{} {}\n", name, Braces(labels), counter.Value());
      }
      for (const auto& [labels, series] : family.histograms_) {
        series.state_->Write(page, name, labels);
      }
    }
    for (const auto& [name, family] : state_->families_) {
      if (family.type_ != MetricType::Gauge) {
        continue;
      }
      gauges.emplace_back(
        fmt::format(
          "# HELP {} {}\n# TYPE {} gauge\n", name, family.help_, name),
        nullptr);
      for (const auto& [labels, read] : family.gauges_) {
        gauges.emplace_back(name + Braces(labels), read);
      }
    }
  }
  // Gauges take the locks of the tables that they read, so they run unlocked.
  for (const auto& [text, read] : gauges) {
    page += read ? fmt::format("{} {}\n", text, read()) : text;
  }
  return page;
}

} // namespace pumiceturn::metrics
