#include "platform/PlatformSettings.h"

#include <catch2/catch.hpp>

#include <variant>

namespace pumiceturn::adapter {

class PlatformSettingsFixture
{
protected:
  static base::Outcome<PlatformSettings> Read(const std::string& aText)
  {
    return base::Capture([&aText] { return ReadPlatformSettings(aText); });
  }

  static base::ResultCode CodeOf(const std::string& aText)
  {
    const auto outcome = Read(aText);
    const auto* failure = std::get_if<base::Failure>(&outcome);
    return failure != nullptr ? failure->code_ : base::ResultCode::Ok;
  }

  static constexpr const char* kCommon = R"(
node: "n1"
ip: "10.1.0.10"
zone: "a"
portRange: [7720, 7735]
bounds: {graceS: 8, drainMs: 2000, settleMs: 1000, statusS: 120}
platform: {address: "10.200.1.7:8169", form: "kv"}
unknown: {new: 1}
)";
  static constexpr const char* kEntry =
    "listen: {front: \"10.1.0.10:8161\", ready: \"10.1.0.10:8167\"}\n";
};

TEST_CASE_METHOD(PlatformSettingsFixture, "PlatformSettings_EntryHost_IsRead")
{
  const auto outcome = Read(std::string(kCommon) + kEntry);
  const auto* settings = std::get_if<PlatformSettings>(&outcome);
  REQUIRE(settings != nullptr);
  CHECK(settings->gateway_.host_ == "n1");
  CHECK(settings->gateway_.callerAddress_ == "10.1.0.10:8161");
  CHECK(settings->gateway_.peerAddress_ == "10.1.0.10:7720");
  CHECK(settings->gateway_.jobRetention_ == std::chrono::seconds(180));
  CHECK(settings->gateway_.gracePeriod_ == std::chrono::seconds(8));
  CHECK(settings->gateway_.batchPreference_ ==
        batch::BatchPreference::Fallback);
}

// Guards against outlier detection in deployments that don't call for it.
TEST_CASE_METHOD(PlatformSettingsFixture,
                 "PlatformSettings_Contracts_SwitchOutlierDetection")
{
  const std::string common = std::string(kCommon) + kEntry;
  for (const auto& [contracts, isExpected] :
       { std::pair{ "", false },
         std::pair{ "contracts: [base, drain]\n", false },
         std::pair{ "contracts: [base, health]\n", true } }) {
    const auto outcome = Read(common + contracts);
    const auto* settings = std::get_if<PlatformSettings>(&outcome);
    REQUIRE(settings != nullptr);
    CHECK(settings->gateway_.detectsOutliers_ == isExpected);
  }
}

TEST_CASE_METHOD(PlatformSettingsFixture,
                 "PlatformSettings_NoCallerAddress_IsWorker")
{
  const auto outcome = Read(std::string(kCommon) + "listen: {}\n");
  const auto* settings = std::get_if<PlatformSettings>(&outcome);
  REQUIRE(settings != nullptr);
  CHECK(settings->gateway_.callerAddress_.empty());
  CHECK(settings->gateway_.batchPreference_ == batch::BatchPreference::Worker);
}

TEST_CASE_METHOD(PlatformSettingsFixture,
                 "PlatformSettings_Malformed_ReportsCode")
{
  CHECK(CodeOf("node: [") == base::ResultCode::MalformedYaml);
  CHECK(CodeOf("node: n1") == base::ResultCode::MissingField);
  CHECK(CodeOf(std::string(kCommon)) == base::ResultCode::MissingField);
  CHECK(CodeOf(std::string(kCommon) +
               "listen: {front: \"nowhere\", ready: \"10.1.0.10:1\"}\n") ==
        base::ResultCode::OutOfRange);
}

} // namespace pumiceturn::adapter
