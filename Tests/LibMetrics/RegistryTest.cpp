#include "LibMetrics/Registry.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace pumiceturn::metrics {

namespace {

class RegistryFixture
{
protected:
  /// @return whether the page has exactly this line.
  bool HasLine(const std::string& aLine) const
  {
    return ("\n" + registry_.Write()).find("\n" + aLine + "\n") !=
           std::string::npos;
  }

  Registry registry_;
};

} // namespace

TEST_CASE_METHOD(RegistryFixture, "Registry_SameNameAndLabels_IsOneCounter")
{
  registry_.GetCounter("pumiceturn_runs_total", "Runs.", "a=\"1\"").Add(2);
  registry_.GetCounter("pumiceturn_runs_total", "Runs.", "a=\"1\"").Add();
  registry_.GetCounter("pumiceturn_runs_total", "Runs.").Add(7);
  CHECK(HasLine("# TYPE pumiceturn_runs_total counter"));
  CHECK(HasLine("pumiceturn_runs_total{a=\"1\"} 3"));
  CHECK(HasLine("pumiceturn_runs_total 7"));
}

TEST_CASE_METHOD(RegistryFixture, "Registry_Gauge_IsReadAtEachScrape")
{
  double value = 1;
  registry_.AddGauge(
    "pumiceturn_queue_items", "Queued.", "", [&value] { return value; });
  CHECK(HasLine("pumiceturn_queue_items 1"));
  value = 2.5;
  CHECK(HasLine("pumiceturn_queue_items 2.5"));
}

TEST_CASE_METHOD(RegistryFixture, "Registry_Histogram_WritesCumulativeBuckets")
{
  Histogram& histogram =
    registry_.GetHistogram("pumiceturn_wait_ms", "Wait.", "k=\"v\"");
  histogram.Record(0);
  histogram.Record(5);
  histogram.Record(50);
  histogram.Record(1e9);
  CHECK(HasLine("pumiceturn_wait_ms_bucket{k=\"v\",le=\"0.001\"} 1"));
  CHECK(HasLine("pumiceturn_wait_ms_bucket{k=\"v\",le=\"10\"} 2"));
  CHECK(HasLine("pumiceturn_wait_ms_bucket{k=\"v\",le=\"100\"} 3"));
  CHECK(HasLine("pumiceturn_wait_ms_bucket{k=\"v\",le=\"+Inf\"} 4"));
  CHECK(HasLine("pumiceturn_wait_ms_sum{k=\"v\"} 1000000055"));
  CHECK(HasLine("pumiceturn_wait_ms_count{k=\"v\"} 4"));
}

TEST_CASE("Histogram_OneToThousand_GivesQuantilesWithinABin")
{
  Histogram histogram;
  CHECK(histogram.Quantile(0.5) == 0);
  for (int value = 1; value <= 1000; ++value) {
    histogram.Record(value);
  }
  CHECK(histogram.Count() == 1000);
  CHECK(histogram.Quantile(0.5) == Approx(500).epsilon(0.12));
  CHECK(histogram.Quantile(0.99) == Approx(990).epsilon(0.12));
}

TEST_CASE("Histogram_ManyThreads_CountsEveryValue")
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kValues = 2000;
  Histogram histogram;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::size_t index = 0; index < kThreads; ++index) {
    threads.emplace_back([&histogram] {
      for (std::size_t value = 0; value < kValues; ++value) {
        histogram.Record(static_cast<double>(value));
        (void)histogram.Quantile(0.5);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(histogram.Count() == kThreads * kValues);
}

} // namespace pumiceturn::metrics
