#include "LibSettings/YamlReader.h"

#include <Declarations.pb.h>
#include <Settings.pb.h>
#include <catch2/catch.hpp>

namespace pumiceturn::settings {

namespace {

class YamlReaderFixture
{
protected:
  /// @return `line:column code` of each problem.
  std::vector<std::string> Problems(std::string_view aText)
  {
    std::vector<std::string> list;
    for (const Problem& problem : ReadYaml(aText, settings_).problems_) {
      list.push_back(std::to_string(problem.position_.line_) + ":" +
                     std::to_string(problem.position_.column_) + " " +
                     std::string(base::NameOf(problem.code_)));
    }
    return list;
  }

  Settings settings_;
};

using List = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_EveryType_FillsTheMessage")
{
  CHECK(Problems("host: h1\n"
                 "functions: [entry, keeper]\n"
                 "worker_threads: 3\n"
                 "entry: {retry_share: 0.25, routing: round_robin}\n"
                 "keeper:\n"
                 "  segment_bytes: 5000000000\n")
          .empty());
  CHECK(settings_.host() == "h1");
  REQUIRE(settings_.functions_size() == 2);
  CHECK(settings_.functions(1) == FUNCTION_KEEPER);
  CHECK(settings_.worker_threads() == 3);
  CHECK(settings_.entry().retry_share() == 0.25);
  CHECK(settings_.entry().routing() == ROUTING_POLICY_ROUND_ROBIN);
  CHECK(settings_.keeper().segment_bytes() == 5'000'000'000ULL);
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_EnumOfTwoWords_TakesEitherSign")
{
  declarations::RequestKind kind;
  CHECK(ReadYaml("idempotency: non-idempotent", kind).problems_.empty());
  CHECK(kind.idempotency() == declarations::IDEMPOTENCY_NON_IDEMPOTENT);
  CHECK(ReadYaml("idempotency: non_idempotent", kind).problems_.empty());
  CHECK(kind.idempotency() == declarations::IDEMPOTENCY_NON_IDEMPOTENT);
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_UnknownKeys_AreAllToldWithPlace")
{
  CHECK(Problems("hots: h1\nlink:\n  heartbeat: 5\n") ==
        List{ "1:1 UnknownKey", "3:3 UnknownKey" });
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_WrongTypes_AreAllToldWithPlace")
{
  CHECK(Problems("host: [a]\n"
                 "functions: entry\n"
                 "worker_threads: '4'\n"
                 "log: 3\n"
                 "entry: {retry_share: much, subset_size: -1}\n") ==
        List{ "1:7 WrongType",
              "2:12 WrongType",
              "3:17 WrongType",
              "4:6 WrongType",
              "5:22 WrongType",
              "5:41 WrongType" });
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_UnknownOrZeroEnum_ListsTheValues")
{
  const auto problems =
    ReadYaml("functions: [entries]\nlog: {level: unspecified}", settings_)
      .problems_;
  REQUIRE(problems.size() == 2);
  CHECK(problems[0].detail_ ==
        "expects one of entry, keeper, agent, not 'entries'");
  CHECK(problems[1].code_ == base::ResultCode::WrongType);
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_NumberTooLarge_IsOutOfRange")
{
  CHECK(Problems("worker_threads: 4294967296") == List{ "1:17 OutOfRange" });
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_DuplicateKey_IsToldAtTheSecond")
{
  CHECK(Problems("host: a\nregion: r\nhost: b\n") ==
        List{ "3:1 DuplicateName" });
  CHECK(settings_.host() == "a");
}

TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_BrokenYaml_IsToldWithPlace")
{
  CHECK(Problems("host: a\n  region: [b\n").front().substr(0, 2) == "2:");
  CHECK(Problems("") == List{ "1:1 MalformedYaml" });
  CHECK(Problems("a: 1\n---\nb: 2\n") == List{ "1:1 MalformedYaml" });
  CHECK(Problems("- a\n") == List{ "1:1 WrongType" });
}

// A file of opening brackets must not exhaust the reader's stack and take the
// process with it.
TEST_CASE_METHOD(YamlReaderFixture, "ReadYaml_DeepNesting_IsMalformed")
{
  constexpr std::size_t kDepth = 200'000;
  REQUIRE(Problems(std::string(kDepth, '[')).size() == 1);
}

TEST_CASE_METHOD(YamlReaderFixture, "ParseYamlText_TwoProblems_ListsBothLines")
{
  const auto outcome = base::Capture(
    [&] { return ParseYamlText("hots: a\nregoin: b\n", "s.yaml", settings_); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome) ==
        base::Failure{ base::ResultCode::UnknownKey,
                       "s.yaml:1:1: 100 UnknownKey: hots: no such key\n"
                       "s.yaml:2:1: 100 UnknownKey: regoin: no such key" });
}

TEST_CASE_METHOD(YamlReaderFixture, "ParseYamlFile_NoSuchFile_IsUnreadable")
{
  for (const char* path : { "/nonexistent/settings.yaml", "/" }) {
    const auto outcome =
      base::Capture([&] { return ParseYamlFile(path, settings_); });
    REQUIRE(std::holds_alternative<base::Failure>(outcome));
    CHECK(std::get<base::Failure>(outcome).code_ ==
          base::ResultCode::UnreadableFile);
  }
}

} // namespace pumiceturn::settings
