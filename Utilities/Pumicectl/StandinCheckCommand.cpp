#include "Command.h"

#include "LibClient/LotReader.h"
#include "LibSettings/YamlReader.h"
#include "LibStandin/EngineAnswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <vector>

namespace pumiceturn::pumicectl {

namespace {

struct CheckCounts
{
  std::size_t right_ = 0;
  std::size_t wrong_ = 0;
  std::size_t failed_ = 0;
  std::size_t doubled_ = 0;
  std::size_t foreign_ = 0; ///< Results of no item in the lot.
};

void
Declare(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "lot", "JSON Lines that were submitted", cxxopts::value<std::string>())(
    "results",
    "JSON Lines that `pumicectl results` printed",
    cxxopts::value<std::string>())(
    "max-tokens",
    "Longest answer",
    cxxopts::value<std::uint32_t>()->default_value("0"));
}

void
CheckResult(const nlohmann::json& aResult,
            const client::Lot& aLot,
            std::uint32_t aMaxTokens,
            std::vector<bool>& aSeen,
            CheckCounts& aCounts)
{
  const auto item = aResult.at("item").get<std::size_t>();
  if (item >= aSeen.size()) {
    ++aCounts.foreign_;
    return;
  }
  aCounts.doubled_ += aSeen[item] ? 1 : 0;
  aSeen[item] = true;
  if (aResult.at("code").get<int>() != 0) {
    ++aCounts.failed_;
    return;
  }
  const std::string expected =
    standin::EngineAnswerText(aLot.items_[item].prompt(), aMaxTokens);
  const bool isRight =
    aResult.at("text").get<std::string>() == expected &&
    aResult.at("name").get<std::string>() == aLot.items_[item].name();
  ++(isRight ? aCounts.right_ : aCounts.wrong_);
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(lotText,
                  settings::ReadFileText(aArguments["lot"].as<std::string>()));
  BOOST_LEAF_AUTO(
    resultsText,
    settings::ReadFileText(aArguments["results"].as<std::string>()));
  const auto maxTokens = aArguments["max-tokens"].as<std::uint32_t>();
  const client::Lot lot = client::ReadLot(lotText);
  std::vector<bool> seen(lot.items_.size(), false);
  CheckCounts counts;
  std::istringstream lines(resultsText);
  std::string line;
  while (std::getline(lines, line)) {
    try {
      CheckResult(nlohmann::json::parse(line), lot, maxTokens, seen, counts);
    } catch (const nlohmann::json::exception& exception) {
      return base::Fail(base::ResultCode::MalformedJsonLine, exception.what());
    }
  }
  const auto missing =
    static_cast<std::size_t>(std::count(seen.begin(), seen.end(), false));
  std::cout << lot.items_.size() << " items: " << counts.right_ << " right, "
            << counts.wrong_ << " wrong, " << counts.failed_ << " failed, "
            << missing << " missing, " << counts.doubled_ << " doubled, "
            << counts.foreign_ << " foreign" << std::endl;
  const bool isGood = counts.right_ == lot.items_.size() &&
                      counts.doubled_ == 0 && counts.foreign_ == 0;
  return isGood ? ExitCode::Done : ExitCode::SomeFailed;
}

} // namespace

const Command kStandinCheckCommand{
  "standin check", "",  "Compare results with what the engine stand-in answers",
  Declare,         Run,
};

} // namespace pumiceturn::pumicectl
