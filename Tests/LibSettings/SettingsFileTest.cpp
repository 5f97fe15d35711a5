#include "LibSettings/SettingsFile.h"

#include "LibSettings/Address.h"
#include "LibSettings/YamlReader.h"

#include <catch2/catch.hpp>

namespace pumiceturn::settings {

namespace {

class SettingsFixture
{
protected:
  /// Reads, completes and checks as LoadSettingsFile() does.
  std::vector<std::string> Problems(const std::string& aText)
  {
    const YamlReading reading = ReadYaml(aText, settings_);
    REQUIRE(reading.problems_.empty());
    ApplyDefaults(reading.positions_, settings_);
    std::vector<Problem> problems = FindProblems(settings_);
    LocateProblems(reading.positions_, problems);
    std::vector<std::string> list;
    list.reserve(problems.size());
    for (const Problem& problem : problems) {
      list.push_back(std::to_string(problem.position_.line_) + " " +
                     std::string(base::NameOf(problem.code_)) + " " +
                     problem.field_);
    }
    return list;
  }

  const std::string common_ = "host: h1\n"
                              "region: dk-east\n"
                              "failure_domain: dk-east-a\n"
                              "link_address: 127.0.0.1:7101\n"
                              "http_address: 127.0.0.1:7301\n"
                              "platform:\n"
                              "  key_value_addresses: [127.0.0.1:7400]\n"
                              "  host_list: hosts.yaml\n";
  Settings settings_;
};

using List = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(SettingsFixture, "Settings_MinimalEntry_GetsEveryDefault")
{
  CHECK(Problems(common_ + "functions: [entry]\n"
                           "entry: {grpc_address: 127.0.0.1:7201}\n")
          .empty());
  CHECK(settings_.worker_threads() == 4);
  CHECK(settings_.link().heartbeat_ms() == 1000);
  CHECK(settings_.platform().key_prefix() == "/pumiceturn/");
  CHECK(settings_.entry().subset_size() == 20);
  CHECK(settings_.entry().retry_share() == 0.1);
  CHECK(settings_.entry().routing() == ROUTING_POLICY_LEAST_OF_TWO);
  CHECK_FALSE(settings_.has_keeper());
}

TEST_CASE_METHOD(SettingsFixture, "Settings_ZeroThatIsGiven_IsNotReplaced")
{
  CHECK(Problems(common_ + "functions: [entry]\n"
                           "entry:\n"
                           "  grpc_address: 127.0.0.1:7201\n"
                           "  retry_share: 0\n"
                           "  subset_size: 0\n") ==
        List{ "13 OutOfRange entry.subset_size" });
  CHECK(settings_.entry().retry_share() == 0);
}

TEST_CASE_METHOD(SettingsFixture, "Settings_MissingSection_IsToldAtTheTop")
{
  CHECK(Problems(common_ + "functions: [keeper, agent]\n") ==
        List{ "1 MissingField keeper.data_folder",
              "1 MissingField agent.service",
              "1 MissingField agent.endpoint",
              "1 MissingField agent.engine_address",
              "1 OutOfRange agent.max_running" });
}

TEST_CASE_METHOD(SettingsFixture, "Settings_NotANumberOrHostName_IsRefused")
{
  CHECK(Problems(common_ + "functions: [entry, entry]\n"
                           "entry:\n"
                           "  grpc_address: localhost:7201\n"
                           "  retry_share: nan\n") ==
        List{ "9 DuplicateName functions[1]",
              "11 OutOfRange entry.grpc_address",
              "12 OutOfRange entry.retry_share" });
}

TEST_CASE("ParseAddress_IpWithPort_IsSplit")
{
  const auto address = ParseAddress("[::1]:80");
  REQUIRE(address);
  CHECK(address->ip_ == "::1");
  CHECK(address->port_ == 80);
  CHECK(ParseAddress("10.0.0.1:65535"));
}

TEST_CASE("ParseAddress_OtherText_IsRefused")
{
  const std::string text = GENERATE(as<std::string>{},
                                    "",
                                    "10.0.0.1",
                                    "10.0.0.1:",
                                    "10.0.0.1:65536",
                                    "10.0.0.1:7x",
                                    "host:80",
                                    "::1:80",
                                    "[10.0.0.1]:80");
  CAPTURE(text);
  CHECK_FALSE(ParseAddress(text));
}

} // namespace pumiceturn::settings
