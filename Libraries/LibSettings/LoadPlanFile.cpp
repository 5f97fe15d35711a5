#include "LibSettings/LoadPlanFile.h"

#include "LibSettings/Address.h"
#include "LibSettings/YamlReader.h"

#include <fmt/format.h>

#include <set>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;

constexpr double kDefaultWarmUpS = 2;
constexpr double kDefaultDrainS = 60;
constexpr std::uint32_t kDefaultWords = 12;
constexpr std::uint32_t kDefaultPrefixWords = 32;
constexpr double kMaxLengthS = 86'400;
constexpr double kMaxPerS = 100'000;
constexpr std::uint32_t kMaxItems = 1'000'000;

class Checker
{
public:
  explicit Checker(const load::LoadPlan& aPlan)
    : plan_(aPlan)
    , lengthS_(aPlan.warm_up_s() + aPlan.alone_s() + aPlan.together_s())
  {
  }

  std::vector<Problem> Check();

private:
  void CheckStreams();
  void CheckBursts();
  void CheckLots();
  void CheckFaults();
  void CheckAddresses(
    const google::protobuf::RepeatedPtrField<std::string>& aAddresses,
    const std::string& aPath);
  void CheckRange(double aValue,
                  double aLeast,
                  double aMost,
                  const std::string& aPath);
  void CheckMoment(double aAtS, const std::string& aPath)
  {
    CheckRange(aAtS, 0, lengthS_, aPath);
  }
  void RequireKind(const std::string& aKind, const std::string& aPath);

  const load::LoadPlan& plan_;
  double lengthS_;
  std::set<std::string> onlineKinds_;
  std::vector<Problem> problems_;
};

void
Checker::CheckRange(double aValue,
                    double aLeast,
                    double aMost,
                    const std::string& aPath)
{
  // Not-a-number fails every comparison, so the test asks for what is right.
  if (aValue >= aLeast && aValue <= aMost) {
    return;
  }
  problems_.push_back(
    { ResultCode::OutOfRange,
      aPath,
      fmt::format("{} is not from {} to {}", aValue, aLeast, aMost),
      {} });
}

void
Checker::CheckAddresses(
  const google::protobuf::RepeatedPtrField<std::string>& aAddresses,
  const std::string& aPath)
{
  for (int index = 0; index < aAddresses.size(); ++index) {
    if (!ParseAddress(aAddresses[index])) {
      problems_.push_back({ ResultCode::OutOfRange,
                            fmt::format("{}[{}]", aPath, index),
                            "expects IP:port, not '" + aAddresses[index] + "'",
                            {} });
    }
  }
}

void
Checker::RequireKind(const std::string& aKind, const std::string& aPath)
{
  if (aKind.empty()) {
    problems_.push_back(
      { ResultCode::MissingField, aPath + ".kind", "needs a value", {} });
  }
}

void
Checker::CheckStreams()
{
  for (int index = 0; index < plan_.online_size(); ++index) {
    const std::string path = fmt::format("online[{}]", index);
    const load::OnlineStream& stream = plan_.online(index);
    RequireKind(stream.kind(), path);
    CheckRange(stream.per_s(), 0, kMaxPerS, path + ".per_s");
    CheckRange(stream.resend_share(), 0, 1, path + ".resend_share");
    if (!onlineKinds_.insert(stream.kind()).second) {
      problems_.push_back({ ResultCode::DuplicateName,
                            path + ".kind",
                            "'" + stream.kind() + "' has a stream already",
                            {} });
    }
  }
}

void
Checker::CheckBursts()
{
  for (int index = 0; index < plan_.bursts_size(); ++index) {
    const std::string path = fmt::format("bursts[{}]", index);
    const load::Burst& burst = plan_.bursts(index);
    CheckMoment(burst.at_s(), path + ".at_s");
    CheckRange(burst.length_s(), 0, lengthS_, path + ".length_s");
    CheckRange(burst.per_s(), 0, kMaxPerS, path + ".per_s");
    if (!onlineKinds_.contains(burst.kind())) {
      problems_.push_back({ ResultCode::DanglingReference,
                            path + ".kind",
                            "no online stream of kind '" + burst.kind() + "'",
                            {} });
    }
  }
}

void
Checker::CheckLots()
{
  for (int index = 0; index < plan_.lots_size(); ++index) {
    const std::string path = fmt::format("lots[{}]", index);
    const load::LotPlan& lot = plan_.lots(index);
    RequireKind(lot.kind(), path);
    // Earlier, it would count as online alone.
    CheckRange(lot.at_s(),
               plan_.warm_up_s() + plan_.alone_s(),
               lengthS_,
               path + ".at_s");
    CheckRange(lot.items(), 1, kMaxItems, path + ".items");
    CheckRange(lot.due_s(), 0, kMaxLengthS, path + ".due_s");
  }
}

void
Checker::CheckFaults()
{
  for (int index = 0; index < plan_.faults_size(); ++index) {
    const std::string path = fmt::format("faults[{}]", index);
    const load::FaultPlan& fault = plan_.faults(index);
    CheckMoment(fault.at_s(), path + ".at_s");
    CheckRange(fault.length_s(), 0, kMaxLengthS, path + ".length_s");
    CheckAddresses(fault.addresses(), path + ".addresses");
  }
}

std::vector<Problem>
Checker::Check()
{
  if (plan_.service().empty()) {
    problems_.push_back(
      { ResultCode::MissingField, "service", "needs a value", {} });
  }
  CheckRange(plan_.warm_up_s(), 0, kMaxLengthS, "warm_up_s");
  CheckRange(plan_.alone_s(), 0, kMaxLengthS, "alone_s");
  CheckRange(plan_.together_s(), 0, kMaxLengthS, "together_s");
  CheckRange(plan_.drain_s(), 0, kMaxLengthS, "drain_s");
  CheckStreams();
  CheckBursts();
  CheckLots();
  CheckFaults();
  CheckAddresses(plan_.engine_addresses(), "engine_addresses");
  for (int index = 0; index < plan_.configuration_changes_at_s_size();
       ++index) {
    CheckMoment(plan_.configuration_changes_at_s(index),
                fmt::format("configuration_changes_at_s[{}]", index));
  }
  return std::move(problems_);
}

void
ApplyDefaults(load::PromptShape& aShape)
{
  if (aShape.words() == 0) {
    aShape.set_words(kDefaultWords);
  }
  if (aShape.prefix_words() == 0) {
    aShape.set_prefix_words(kDefaultPrefixWords);
  }
}

void
ApplyDefaults(const PositionTable& aGiven, load::LoadPlan& aPlan)
{
  if (!aGiven.contains("warm_up_s")) {
    aPlan.set_warm_up_s(kDefaultWarmUpS);
  }
  if (!aGiven.contains("drain_s")) {
    aPlan.set_drain_s(kDefaultDrainS);
  }
  for (load::OnlineStream& stream : *aPlan.mutable_online()) {
    ApplyDefaults(*stream.mutable_prompt());
  }
  for (load::LotPlan& lot : *aPlan.mutable_lots()) {
    ApplyDefaults(*lot.mutable_prompt());
  }
}

} // namespace

std::vector<Problem>
FindProblems(const load::LoadPlan& aPlan)
{
  return Checker(aPlan).Check();
}

base::Result<load::LoadPlan>
LoadLoadPlanFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadFileText(aPath));
  load::LoadPlan plan;
  YamlReading reading = ReadYaml(text, plan);
  if (reading.problems_.empty()) {
    ApplyDefaults(reading.positions_, plan);
    reading.problems_ = FindProblems(plan);
    LocateProblems(reading.positions_, reading.problems_);
  }
  BOOST_LEAF_CHECK(ToResult(aPath, reading.problems_));
  return plan;
}

} // namespace pumiceturn::settings
