#include "LibLoad/Schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace pumiceturn::load {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

/// How long after its call a resent one follows at most.
constexpr double kMaxResendAfterS = 1.0;

constexpr std::string_view kSyllables[] = {
  "ka", "ri", "sto", "mel", "va", "ndo", "ber", "li", "sen", "thu", "ma", "go",
};

base::Duration
Seconds(double aSeconds)
{
  return base::Duration{ static_cast<std::int64_t>(aSeconds *
                                                   kMicrosecondsPerSecond) };
}

/// Random numbers that are the same with every standard library.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /// @return 0 to below 1.
  double Share()
  {
    constexpr double kUnit = 0x1.0p-53;
    constexpr unsigned kUnusedBits = 11;
    return static_cast<double>(engine_() >> kUnusedBits) * kUnit;
  }

  /// @return 0 to below the limit, which is at least 1.
  std::uint64_t Below(std::uint64_t aLimit) { return engine_() % aLimit; }

  /// @return the time to the next of random arrivals.
  double Gap(double aPerSecond) { return -std::log1p(-Share()) / aPerSecond; }

private:
  std::mt19937_64 engine_;
};

std::string
MakeWords(std::uint32_t aCount, Random& aRandom)
{
  std::string words;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    words += index == 0 ? "" : " ";
    words += kSyllables[aRandom.Below(std::size(kSyllables))];
    words += kSyllables[aRandom.Below(std::size(kSyllables))];
  }
  return words;
}

std::string
MakePrompt(const PromptShape& aShape,
           std::string_view aLabel,
           std::uint64_t aSeed,
           Random& aRandom)
{
  std::string prompt;
  if (aShape.prefixes() > 0) {
    // A beginning is drawn from its own number, so that all of its prompts
    // share it.
    Random beginning(aSeed + 1 + aRandom.Below(aShape.prefixes()));
    prompt = MakeWords(aShape.prefix_words(), beginning) + "\n";
  }
  prompt += MakeWords(aShape.words(), aRandom);
  return fmt::format("{} {}", prompt, aLabel);
}

/// Appends arrivals of one stream from a moment on.
void
AppendArrivals(const LoadPlan& aPlan,
               std::uint32_t aStream,
               double aFromS,
               double aToS,
               double aPerSecond,
               Random& aRandom,
               std::vector<Arrival>& aArrivals)
{
  if (aPerSecond <= 0) {
    return;
  }
  const double resendShare =
    aPlan.online(static_cast<int>(aStream)).resend_share();
  double at = aFromS + aRandom.Gap(aPerSecond);
  while (at < aToS) {
    Arrival arrival;
    arrival.at_ = Seconds(at);
    arrival.phase_ = PhaseAt(aPlan, arrival.at_);
    arrival.stream_ = aStream;
    arrival.isResent_ = aRandom.Share() < resendShare;
    arrival.resendAfter_ = Seconds(aRandom.Share() * kMaxResendAfterS);
    aArrivals.push_back(std::move(arrival));
    at += aRandom.Gap(aPerSecond);
  }
}

std::vector<Arrival>
MakeArrivals(const LoadPlan& aPlan, Random& aRandom)
{
  const double endS = aPlan.warm_up_s() + aPlan.alone_s() + aPlan.together_s();
  std::vector<Arrival> arrivals;
  for (int stream = 0; stream < aPlan.online_size(); ++stream) {
    const auto index = static_cast<std::uint32_t>(stream);
    AppendArrivals(
      aPlan, index, 0, endS, aPlan.online(stream).per_s(), aRandom, arrivals);
    for (const Burst& burst : aPlan.bursts()) {
      if (burst.kind() == aPlan.online(stream).kind()) {
        AppendArrivals(aPlan,
                       index,
                       burst.at_s(),
                       std::min(burst.at_s() + burst.length_s(), endS),
                       burst.per_s(),
                       aRandom,
                       arrivals);
      }
    }
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.at_ < aRight.at_;
                   });
  return arrivals;
}

} // namespace

Phase
PhaseAt(const LoadPlan& aPlan, base::Duration aMoment)
{
  if (aMoment < Seconds(aPlan.warm_up_s())) {
    return Phase::WarmUp;
  }
  return aMoment < Seconds(aPlan.warm_up_s() + aPlan.alone_s())
           ? Phase::Alone
           : Phase::Together;
}

base::Duration
LengthOf(const LoadPlan& aPlan)
{
  return Seconds(aPlan.warm_up_s() + aPlan.alone_s() + aPlan.together_s());
}

Schedule
MakeSchedule(const LoadPlan& aPlan, std::string_view aRunId)
{
  Random random(aPlan.seed());
  Schedule schedule;
  schedule.arrivals_ = MakeArrivals(aPlan, random);
  std::size_t number = 0;
  for (Arrival& arrival : schedule.arrivals_) {
    const OnlineStream& stream =
      aPlan.online(static_cast<int>(arrival.stream_));
    arrival.prompt_ = MakePrompt(stream.prompt(),
                                 fmt::format("#{}-{}", aRunId, number++),
                                 aPlan.seed(),
                                 random);
  }
  for (const LotPlan& lot : aPlan.lots()) {
    std::vector<caller::JobItem>& items = schedule.lots_.emplace_back();
    for (std::uint32_t index = 0; index < lot.items(); ++index) {
      caller::JobItem& item = items.emplace_back();
      item.set_name(std::to_string(index));
      item.set_prompt(MakePrompt(
        lot.prompt(),
        fmt::format("#{}-lot{}-{}", aRunId, schedule.lots_.size(), index),
        aPlan.seed(),
        random));
    }
  }
  return schedule;
}

} // namespace pumiceturn::load
