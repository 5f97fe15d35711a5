#include "LibSettings/SettingsFile.h"

#include "LibSettings/Address.h"
#include "LibSettings/NumberRule.h"
#include "LibSettings/YamlReader.h"

#include <algorithm>
#include <array>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;

constexpr double kMebibyte = 1024.0 * 1024.0;
constexpr double kMostBytes = 1e15;
constexpr double kDayMs = 86'400'000;

constexpr auto kCommonRules = std::to_array<NumberRule>({
  { "worker_threads", 4, 1, 64 },
  { "link.heartbeat_ms", 1000, 20, 60'000 },
  { "link.missed_heartbeats", 2, 1, 20 },
  { "link.connect_timeout_ms", 1000, 10, 60'000 },
  { "platform.host_list_poll_ms", 1000, 20, 600'000 },
  { "platform.calls_per_second", 5, 1, 1000 },
  { "platform.call_timeout_ms", 2000, 10, 60'000 },
  { "platform.poll_ms", 5000, 20, 600'000 },
});

constexpr auto kEntryRules = std::to_array<NumberRule>({
  { "entry.subset_size", 20, 1, 1000 },
  { "entry.retry_share", 0.1, 0, 1 },
  { "entry.retry_burst", 10, 0, 10'000 },
  { "entry.retry_backoff_ms", 20, 1, 10'000 },
  { "entry.quarantine_s", 600, 1, 86'400 },
  { "entry.shutdown_grace_ms", 30'000, 0, kDayMs },
});

constexpr auto kKeeperRules = std::to_array<NumberRule>({
  { "keeper.copies", 2, 1, 7 },
  { "keeper.min_copies", 2, 1, 7 },
  { "keeper.partitions", 256, 1, 65'536 },
  { "keeper.segment_bytes", 64 * kMebibyte, kMebibyte, kMostBytes },
  { "keeper.reserve_bytes", 64 * kMebibyte, 0, kMostBytes },
  { "keeper.takeover_after_ms", 2000, 50, 600'000 },
});

constexpr auto kAgentRules = std::to_array<NumberRule>({
  { "agent.max_running", 0, 1, 4096 },
  { "agent.static_headroom", 0, 0, 4096 },
  { "agent.max_queued_online", 256, 1, 100'000 },
  { "agent.first_token_target_ms", 700, 1, 600'000 },
  { "agent.shutdown_grace_ms", 30'000, 0, kDayMs },
});

bool
HasFunction(const Settings& aSettings, Function aFunction)
{
  const auto& functions = aSettings.functions();
  return std::find(functions.begin(), functions.end(), aFunction) !=
         functions.end();
}

void
CheckText(const std::string& aValue,
          const char* aField,
          std::vector<Problem>& aProblems)
{
  if (aValue.empty()) {
    aProblems.push_back(
      { ResultCode::MissingField, aField, "needs a value", {} });
  }
}

void
CheckAddress(const std::string& aValue,
             const std::string& aField,
             std::vector<Problem>& aProblems)
{
  if (aValue.empty()) {
    aProblems.push_back(
      { ResultCode::MissingField, aField, "needs an IP:port", {} });
    return;
  }
  if (!ParseAddress(aValue)) {
    aProblems.push_back({ ResultCode::OutOfRange,
                          aField,
                          "expects IP:port, not '" + aValue + "'",
                          {} });
  }
}

void
CheckFunctions(const Settings& aSettings, std::vector<Problem>& aProblems)
{
  const auto& functions = aSettings.functions();
  if (functions.empty()) {
    aProblems.push_back(
      { ResultCode::MissingField, "functions", "needs at least one", {} });
  }
  for (int index = 0; index < functions.size(); ++index) {
    const auto first =
      std::find(functions.begin(), functions.end(), functions[index]);
    if (first - functions.begin() != index) {
      aProblems.push_back({ ResultCode::DuplicateName,
                            "functions[" + std::to_string(index) + "]",
                            "the function is listed twice",
                            {} });
    }
  }
}

void
CheckPlatform(const PlatformSettings& aPlatform,
              std::vector<Problem>& aProblems)
{
  if (aPlatform.key_value_addresses().empty()) {
    aProblems.push_back({ ResultCode::MissingField,
                          "platform.key_value_addresses",
                          "needs at least one IP:port",
                          {} });
  }
  for (int index = 0; index < aPlatform.key_value_addresses_size(); ++index) {
    CheckAddress(aPlatform.key_value_addresses(index),
                 "platform.key_value_addresses[" + std::to_string(index) + "]",
                 aProblems);
  }
  CheckText(aPlatform.host_list(), "platform.host_list", aProblems);
}

void
CheckKeeper(const Settings& aSettings, std::vector<Problem>& aProblems)
{
  const KeeperSettings& keeper = aSettings.keeper();
  CheckText(keeper.data_folder(), "keeper.data_folder", aProblems);
  if (keeper.min_copies() > keeper.copies()) {
    aProblems.push_back({ ResultCode::OutOfRange,
                          "keeper.min_copies",
                          "must not exceed copies",
                          {} });
  }
  CheckNumbers(kKeeperRules, aSettings, aProblems);
}

void
CheckAgent(const Settings& aSettings, std::vector<Problem>& aProblems)
{
  const AgentSettings& agent = aSettings.agent();
  CheckText(agent.service(), "agent.service", aProblems);
  CheckText(agent.endpoint(), "agent.endpoint", aProblems);
  CheckAddress(agent.engine_address(), "agent.engine_address", aProblems);
  CheckNumbers(kAgentRules, aSettings, aProblems);
}

} // namespace

void
ApplyDefaults(const PositionTable& aGiven, Settings& aSettings)
{
  SetDefaults(kCommonRules, aGiven, aSettings);
  if (aSettings.log().format() == LOG_FORMAT_UNSPECIFIED) {
    aSettings.mutable_log()->set_format(LOG_FORMAT_KEY_VALUE);
  }
  if (aSettings.log().level() == LOG_LEVEL_UNSPECIFIED) {
    aSettings.mutable_log()->set_level(LOG_LEVEL_INFO);
  }
  if (aSettings.platform().key_prefix().empty()) {
    aSettings.mutable_platform()->set_key_prefix("/pumiceturn/");
  }
  if (HasFunction(aSettings, FUNCTION_ENTRY)) {
    SetDefaults(kEntryRules, aGiven, aSettings);
    if (aSettings.entry().routing() == ROUTING_POLICY_UNSPECIFIED) {
      aSettings.mutable_entry()->set_routing(ROUTING_POLICY_LEAST_OF_TWO);
    }
  }
  if (HasFunction(aSettings, FUNCTION_KEEPER)) {
    SetDefaults(kKeeperRules, aGiven, aSettings);
  }
  if (HasFunction(aSettings, FUNCTION_AGENT)) {
    SetDefaults(kAgentRules, aGiven, aSettings);
    if (aSettings.agent().dispatch() == DISPATCH_POLICY_UNSPECIFIED) {
      aSettings.mutable_agent()->set_dispatch(DISPATCH_POLICY_GATE);
    }
  }
}

std::vector<Problem>
FindProblems(const Settings& aSettings)
{
  std::vector<Problem> problems;
  CheckText(aSettings.host(), "host", problems);
  CheckText(aSettings.region(), "region", problems);
  CheckText(aSettings.failure_domain(), "failure_domain", problems);
  CheckFunctions(aSettings, problems);
  CheckAddress(aSettings.link_address(), "link_address", problems);
  CheckAddress(aSettings.http_address(), "http_address", problems);
  CheckNumbers(kCommonRules, aSettings, problems);
  CheckPlatform(aSettings.platform(), problems);
  if (HasFunction(aSettings, FUNCTION_ENTRY)) {
    CheckAddress(
      aSettings.entry().grpc_address(), "entry.grpc_address", problems);
    CheckNumbers(kEntryRules, aSettings, problems);
  }
  if (HasFunction(aSettings, FUNCTION_KEEPER)) {
    CheckKeeper(aSettings, problems);
  }
  if (HasFunction(aSettings, FUNCTION_AGENT)) {
    CheckAgent(aSettings, problems);
  }
  return problems;
}

base::Result<Settings>
LoadSettingsFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadFileText(aPath));
  Settings settings;
  YamlReading reading = ReadYaml(text, settings);
  if (reading.problems_.empty()) {
    ApplyDefaults(reading.positions_, settings);
    reading.problems_ = FindProblems(settings);
    LocateProblems(reading.positions_, reading.problems_);
  }
  BOOST_LEAF_CHECK(ToResult(aPath, reading.problems_));
  return settings;
}

} // namespace pumiceturn::settings
