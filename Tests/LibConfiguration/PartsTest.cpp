#include "LibConfiguration/Parts.h"
#include "LibConfiguration/Difference.h"
#include "Samples.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pumiceturn::configuration {

namespace {

stored::ConfigurationHead
HeadOf(const Split& aSplit)
{
  stored::ConfigurationHead head;
  head.set_version(3);
  *head.mutable_parts() = { aSplit.references_.begin(),
                            aSplit.references_.end() };
  return head;
}

} // namespace

TEST_CASE("Split_ThenAssemble_GivesTheSameDeclarations")
{
  const declarations::Declarations all = MakeDeclarations(100);
  const Split split = SplitDeclarations(all);
  const auto outcome = base::Capture(
    [&] { return AssembleConfiguration(HeadOf(split), {}, split.contents_); });
  REQUIRE(outcome.index() == 0);
  const auto& content = std::get<0>(outcome);
  CHECK(content.version() == 3);
  CHECK(DescribeDifference(all, content.declarations()).empty());
}

TEST_CASE("Split_OtherOrder_GivesTheSameParts")
{
  declarations::Declarations all = MakeDeclarations(100);
  const auto first = SplitDeclarations(all);
  std::reverse(all.mutable_partners()->begin(), all.mutable_partners()->end());
  const auto second = SplitDeclarations(all);
  CHECK(first.contents_.size() == second.contents_.size());
  CHECK(HeadOf(first).SerializeAsString() ==
        HeadOf(second).SerializeAsString());
}

TEST_CASE("Split_OnePartnerChanged_ChangesOnePart")
{
  declarations::Declarations all = MakeDeclarations(1000);
  const Split before = SplitDeclarations(all);
  all.mutable_partners(500)->set_batch_share(3);
  Split after = SplitDeclarations(all);
  std::erase_if(after.contents_, [&](const auto& aPart) {
    return before.contents_.contains(aPart.first);
  });
  CHECK(after.contents_.size() == 1);
}

// The service refuses values above one megabyte, so all partners in one value
// could not be stored at all. Each value must stay far below that.
TEST_CASE("Split_32000Partners_KeepsEachValueSmall")
{
  constexpr std::size_t kMostBytes = 64U << 10U;
  const Split split = SplitDeclarations(MakeDeclarations(32000));
  CHECK(HeadOf(split).ByteSizeLong() < kMostBytes);
  CHECK(std::all_of(
    split.contents_.begin(), split.contents_.end(), [](const auto& aPart) {
      return aPart.second->size() < kMostBytes;
    }));
}

TEST_CASE("Assemble_OneServiceInScope_NeedsItsPartAlone")
{
  declarations::Declarations all = MakeDeclarations(50);
  all.add_services()->set_name("other");
  const Split split = SplitDeclarations(all);
  const stored::ConfigurationHead head = HeadOf(split);
  const Scope scope{ "other" };
  REQUIRE(DigestsInScope(head, scope).size() == 1);
  const auto outcome = base::Capture(
    [&] { return AssembleConfiguration(head, scope, split.contents_); });
  REQUIRE(outcome.index() == 0);
  const auto& content = std::get<0>(outcome).declarations();
  CHECK(content.services_size() == 1);
  CHECK(content.partners_size() == 0);
}

TEST_CASE("Assemble_PartMissing_Fails")
{
  const Split split = SplitDeclarations(MakeDeclarations(5));
  const auto outcome = base::Capture(
    [&] { return AssembleConfiguration(HeadOf(split), {}, PartTable{}); });
  CHECK(CodeOf(outcome) == base::ResultCode::NotFound);
}

TEST_CASE("Difference_EachKindOfChange_IsOneLine")
{
  const declarations::Declarations old = MakeDeclarations(3);
  declarations::Declarations changed = old;
  changed.mutable_partners()->DeleteSubrange(0, 1);
  changed.mutable_partners(0)->set_batch_share(4);
  *changed.add_partners() = MakePartner("new");
  changed.mutable_services(0)->mutable_kinds(0)->set_deadline_ms(800);
  changed.mutable_services(0)->add_endpoints()->set_name("agent-2");
  CHECK(DescribeDifference(old, changed) ==
        "~ kind look-up of service origin-llm: deadline_ms: 500 -> 800\n"
        "+ endpoint agent-2 of service origin-llm\n"
        "- partner partner-0\n"
        "+ partner new\n"
        "~ partner partner-1: batch_share: 0 -> 4\n");
  CHECK(DescribeDifference(old, old).empty());
}

} // namespace pumiceturn::configuration
