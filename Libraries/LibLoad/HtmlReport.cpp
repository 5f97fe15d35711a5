#include "LibLoad/Report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

namespace pumiceturn::load {

namespace {

constexpr double kWidth = 760;
constexpr double kHeight = 260;
constexpr double kMargin = 56;
constexpr double kPlotWidth = kWidth - 2 * kMargin;
constexpr double kPlotHeight = kHeight - 2 * kMargin;
constexpr int kGridLines = 5;
constexpr const char* kAloneColour = "#2a6f97";
constexpr const char* kTogetherColour = "#c1440e";

struct Point
{
  double x_;
  double y_;
};

/// One line of a chart.
struct Series
{
  std::string name_;
  std::string colour_;
  std::vector<Point> points_;
};

/// A tick of the horizontal axis.
struct Tick
{
  double x_;
  std::string label_;
};

struct Chart
{
  std::string title_;
  std::string unit_;
  std::vector<Series> series_;
  std::vector<Tick> ticks_;
  std::vector<double> marks_; ///< Vertical lines.
  double xEnd_ = 1;
};

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

/// @return the next round number: 1, 2 or 5 times a power of ten.
double
RoundUp(double aValue)
{
  if (aValue <= 0) {
    return 1;
  }
  const double power = std::pow(10, std::floor(std::log10(aValue)));
  for (const double step : { 1.0, 2.0, 5.0 }) {
    if (aValue <= step * power) {
      return step * power;
    }
  }
  return 10 * power;
}

class ChartWriter
{
public:
  explicit ChartWriter(const Chart& aChart)
    : chart_(aChart)
    , yEnd_(RoundUp(Highest()))
  {
  }

  std::string Write()
  {
    Append("<figure><figcaption>{}</figcaption><svg viewBox=\"0 0 {} {}\">",
           Escape(chart_.title_),
           kWidth,
           kHeight);
    WriteGrid();
    WriteTicks();
    WriteSeries();
    svg_ += "</svg></figure>\n";
    return std::move(svg_);
  }

private:
  template<typename... Values>
  void Append(fmt::format_string<Values...> aFormat, Values&&... aValues)
  {
    fmt::format_to(
      std::back_inserter(svg_), aFormat, std::forward<Values>(aValues)...);
  }

  [[nodiscard]] double Highest() const
  {
    double highest = 0;
    for (const Series& series : chart_.series_) {
      for (const Point& point : series.points_) {
        highest = std::max(highest, point.y_);
      }
    }
    return highest;
  }

  [[nodiscard]] double X(double aValue) const
  {
    return kMargin + aValue / chart_.xEnd_ * kPlotWidth;
  }
  [[nodiscard]] double Y(double aValue) const
  {
    return kHeight - kMargin - aValue / yEnd_ * kPlotHeight;
  }

  void WriteGrid()
  {
    for (int line = 0; line <= kGridLines; ++line) {
      const double value = yEnd_ * line / kGridLines;
      Append("<line class=\"grid\" x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" "
             "y2=\"{:.1f}\"/><text x=\"{}\" y=\"{:.1f}\" "
             "text-anchor=\"end\">{:.6g}</text>",
             kMargin,
             kWidth - kMargin,
             Y(value),
             Y(value),
             kMargin - 6,
             Y(value) + 4,
             value);
    }
    Append("<text x=\"{}\" y=\"{}\">{}</text>",
           kMargin,
           kMargin - 12,
           Escape(chart_.unit_));
  }

  void WriteTicks()
  {
    for (const Tick& tick : chart_.ticks_) {
      Append("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{}</text>",
             X(tick.x_),
             kHeight - kMargin + 18,
             Escape(tick.label_));
    }
    for (const double mark : chart_.marks_) {
      Append("<line class=\"mark\" x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{}\" "
             "y2=\"{}\"/>",
             X(mark),
             X(mark),
             kMargin,
             kHeight - kMargin);
    }
  }

  void WriteSeries()
  {
    double legend = kWidth - kMargin;
    for (const Series& series : chart_.series_) {
      Append("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" "
             "points=\"",
             series.colour_);
      for (const Point& point : series.points_) {
        Append("{:.1f},{:.1f} ", X(point.x_), Y(point.y_));
      }
      svg_ += "\"/>";
      Append("<text x=\"{}\" y=\"{}\" fill=\"{}\" "
             "text-anchor=\"end\">{}</text>",
             legend,
             kMargin - 12,
             series.colour_,
             Escape(series.name_));
      legend -= 130;
    }
  }

  const Chart& chart_;
  double yEnd_;
  std::string svg_;
};

/// @return latency by percentile; each nine gets the same width, because the
/// tail is what is looked at.
Series
PercentileSeries(const char* aName,
                 const char* aColour,
                 const Samples& aSamples)
{
  constexpr int kStepsPerNine = 20;
  constexpr int kNines = 3;
  Series series{ aName, aColour, {} };
  if (aSamples.Count() == 0) {
    return series;
  }
  for (int step = 0; step <= kStepsPerNine * kNines; ++step) {
    const double nines = static_cast<double>(step) / kStepsPerNine;
    series.points_.push_back(
      { nines, aSamples.Quantile(1 - std::pow(10, -nines)) });
  }
  return series;
}

Chart
PercentileChart(const char* aTitle,
                const Samples& aAlone,
                const Samples& aTogether)
{
  return { aTitle,
           "ms, by share of tokens",
           { PercentileSeries("with batch", kTogetherColour, aTogether),
             PercentileSeries("alone", kAloneColour, aAlone) },
           { { 0, "min" }, { 1, "90%" }, { 2, "99%" }, { 3, "99.9%" } },
           {},
           3 };
}

Chart
TimeChart(const char* aTitle,
          const char* aUnit,
          const RunOutcome& aOutcome,
          const std::vector<Series>& aSeries)
{
  constexpr std::size_t kTicks = 10;
  Chart chart{ aTitle, aUnit, aSeries, {}, {}, 1 };
  const std::size_t seconds = aOutcome.recorded_.seconds_.size();
  chart.xEnd_ = static_cast<double>(std::max<std::size_t>(seconds, 2) - 1);
  const std::size_t step = std::max<std::size_t>(1, seconds / kTicks);
  for (std::size_t second = 0; second < seconds; second += step) {
    chart.ticks_.push_back(
      { static_cast<double>(second), std::to_string(second) + " s" });
  }
  for (const PostedFault& fault : aOutcome.faults_) {
    chart.marks_.push_back(std::chrono::duration<double>(fault.at_).count());
  }
  return chart;
}

Series
TimeSeries(const char* aName,
           const char* aColour,
           const std::vector<Second>& aSeconds,
           const std::function<double(const Second&)>& aValue)
{
  Series series{ aName, aColour, {} };
  for (std::size_t second = 0; second < aSeconds.size(); ++second) {
    series.points_.push_back(
      { static_cast<double>(second), aValue(aSeconds[second]) });
  }
  return series;
}

std::string
WriteCharts(const RunOutcome& aOutcome)
{
  const Recorder::Snapshot& recorded = aOutcome.recorded_;
  const std::vector<Second>& seconds = recorded.seconds_;
  const Chart charts[] = {
    PercentileChart("Online: time to the first token",
                    recorded.alone_.firstTokenMs_,
                    recorded.together_.firstTokenMs_),
    PercentileChart("Online: time between tokens",
                    recorded.alone_.betweenTokensMs_,
                    recorded.together_.betweenTokensMs_),
    TimeChart("Use of the engines over time; vertical lines are fault orders",
              "tokens a second",
              aOutcome,
              { TimeSeries("batch",
                           kTogetherColour,
                           seconds,
                           [](const Second& aSecond) {
                             return static_cast<double>(aSecond.batchTokens_);
                           }),
                TimeSeries("online",
                           kAloneColour,
                           seconds,
                           [](const Second& aSecond) {
                             return static_cast<double>(aSecond.onlineTokens_);
                           }) }),
    TimeChart("Online over time",
              "ms to the first token",
              aOutcome,
              { TimeSeries("p99",
                           kTogetherColour,
                           seconds,
                           [](const Second& aSecond) {
                             return aSecond.firstTokenMs_.Summary().p99_;
                           }),
                TimeSeries("p50",
                           kAloneColour,
                           seconds,
                           [](const Second& aSecond) {
                             return aSecond.firstTokenMs_.Summary().p50_;
                           }) }),
  };
  std::string text;
  for (const Chart& chart : charts) {
    text += ChartWriter(chart).Write();
  }
  return text;
}

std::string
WriteLatencyRow(const char* aName, const Samples& aSamples)
{
  const Quantiles quantiles = aSamples.Summary();
  return fmt::format("<tr><td>{}</td><td>{:.1f}</td><td>{:.1f}</td>"
                     "<td>{:.1f}</td><td>{}</td></tr>\n",
                     aName,
                     quantiles.p50_,
                     quantiles.p95_,
                     quantiles.p99_,
                     quantiles.count_);
}

std::string
WriteLatencies(const Recorder::Snapshot& aRecorded)
{
  return "<table><tr><th>ms</th><th>p50</th><th>p95</th><th>p99</th>"
         "<th>samples</th></tr>\n" +
         WriteLatencyRow("first token, alone", aRecorded.alone_.firstTokenMs_) +
         WriteLatencyRow("first token, with batch",
                         aRecorded.together_.firstTokenMs_) +
         WriteLatencyRow("between tokens, alone",
                         aRecorded.alone_.betweenTokensMs_) +
         WriteLatencyRow("between tokens, with batch",
                         aRecorded.together_.betweenTokensMs_) +
         "</table>\n";
}

std::string
WriteCounts(const LoadPlan& aPlan, const RunOutcome& aOutcome)
{
  const Counts& counts = aOutcome.recorded_.counts_;
  const BatchUse use = MeasureBatch(aPlan, aOutcome.recorded_.seconds_);
  std::string rows;
  const auto add = [&](const char* aName, const std::string& aValue) {
    rows += fmt::format("<tr><td>{}</td><td>{}</td></tr>\n", aName, aValue);
  };
  add("harm: p99 of the first token with batch over alone",
      fmt::format("{:.2f}", HarmAtP99(aOutcome.recorded_)));
  add("batch items a second", fmt::format("{:.2f}", use.itemsPerS_));
  add("batch share of idle capacity",
      use.idleTokensPerS_ > 0 ? fmt::format("{:.3f}", use.shareOfIdleCapacity_)
                              : "not known");
  add("accepted", std::to_string(counts.accepted_));
  add("completed", std::to_string(counts.completed_));
  add("of these, with a failure of their own", std::to_string(counts.failed_));
  add("unfinished at the end", std::to_string(counts.unfinished_));
  add("lost", std::to_string(counts.lost_));
  add("doubled", std::to_string(counts.doubled_));
  add("mixed up", std::to_string(counts.mixedUp_));
  add("refused, not run", std::to_string(counts.refusedNotRun_));
  add("refused, but run",
      aOutcome.hasCheckedRefusals_ ? std::to_string(counts.refusedButRun_)
                                   : "not checked");
  add("due time missed", std::to_string(counts.dueMissed_));
  return "<table>" + rows + "</table>\n";
}

} // namespace

std::string
WriteHtml(const LoadPlan& aPlan, const RunOutcome& aOutcome)
{
  return fmt::format(
           "<!DOCTYPE html>\n<html lang=\"en\"><head><meta "
           "charset=\"utf-8\"><title>Load report: {0}</title>\n"
           "<style>body{{font:15px sans-serif;max-width:820px;margin:2em "
           "auto}}table{{border-collapse:collapse;margin:1em "
           "0}}td,th{{padding:3px 12px;border-bottom:1px solid "
           "#ddd;text-align:right}}td:first-child{{text-align:left}}"
           "figure{{margin:1.5em 0}}figcaption{{font-weight:bold}}text{{font:"
           "11px sans-serif}}.grid{{stroke:#ddd}}.mark{{stroke:#888;"
           "stroke-dasharray:3 3}}</style></head><body>\n"
           "<h1>Load report: {0}</h1>\n<p>Seed {1}. Latencies count from the "
           "intended start of a call.</p>\n",
           Escape(aPlan.service()),
           aPlan.seed()) +
         WriteLatencies(aOutcome.recorded_) + WriteCounts(aPlan, aOutcome) +
         WriteCharts(aOutcome) + "</body></html>\n";
}

} // namespace pumiceturn::load
