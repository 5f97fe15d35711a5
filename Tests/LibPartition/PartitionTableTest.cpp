#include "LibPartition/PartitionTable.h"

#include "LibPartition/PartitionCodec.h"
#include "LibPartition/Rendezvous.h"

#include <catch2/catch.hpp>

#include <map>

namespace pumiceturn::partition {

namespace {

PartitionRecord
MakeRecord(std::uint64_t aEpoch,
           std::uint64_t aRevision,
           const std::string& aOwner)
{
  PartitionRecord record;
  record.partition_ = 3;
  record.owner_ = aOwner;
  record.epoch_ = aEpoch;
  record.copies_.push_back(aOwner);
  record.copies_.emplace_back("keeper-z");
  record.writeId_.push_back('w');
  record.modRevision_ = aRevision;
  return record;
}

class TableFixture
{
protected:
  PartitionTable table_;
};

} // namespace

// An entry reads the whole table while a takeover happens. The watch tells of
// the new owner first, and the slower read then brings the old record. Calls
// would go to the dead owner until the next change.
TEST_CASE_METHOD(TableFixture, "PartitionTable_OlderReadAfterNewer_KeepsNewer")
{
  table_.Update(MakeRecord(2, 20, "keeper-b"));
  table_.Update(MakeRecord(1, 10, "keeper-a"));
  CHECK(table_.OwnerOf(3) == "keeper-b");
  table_.Update(MakeRecord(1, 30, "keeper-a"));
  CHECK(table_.Get(3).epoch_ == 2);
}

TEST_CASE_METHOD(TableFixture, "PartitionTable_Hint_RoutesUntilTheNextUpdate")
{
  table_.Update(MakeRecord(1, 10, "keeper-a"));
  table_.Hint(3, "keeper-c");
  CHECK(table_.OwnerOf(3) == "keeper-c");
  CHECK(table_.Get(3).owner_ == "keeper-a");
  table_.Update(MakeRecord(2, 20, "keeper-b"));
  CHECK(table_.OwnerOf(3) == "keeper-b");
}

TEST_CASE_METHOD(TableFixture, "PartitionTable_UnknownPartition_HasNoOwner")
{
  CHECK(table_.OwnerOf(7).empty());
  CHECK(table_.Get(7).epoch_ == 0);
  CHECK(table_.All().empty());
}

TEST_CASE("PartitionCodec_Record_ReadsBackEqual")
{
  const PartitionRecord record = MakeRecord(5, 44, "keeper-a");
  const platform::KeyValue entry{ PartitionKey("/p/", 3),
                                  EncodePartitionRecord(record),
                                  44 };
  const auto outcome =
    base::Capture([&] { return ParsePartitionRecord("/p/", entry); });
  REQUIRE(std::holds_alternative<PartitionRecord>(outcome));
  CHECK(std::get<PartitionRecord>(outcome) == record);
}

TEST_CASE("PartitionCodec_MalformedValues_AreRefused")
{
  const std::string key = PartitionKey("/p/", 3);
  const std::vector<platform::KeyValue> entries{
    { key, "", 1 },
    { key, "[]", 1 },
    { key, R"({"owner":"a","epoch":-1,"copies":[],"write_id":""})", 1 },
    { key, R"({"owner":"a","epoch":1,"copies":[1],"write_id":""})", 1 },
    { "/p/partition/x", EncodePartitionRecord(MakeRecord(1, 1, "a")), 1 },
    { "/p/partition/4294967295", EncodePartitionRecord({}), 1 },
  };
  for (const platform::KeyValue& entry : entries) {
    CAPTURE(entry.key_, entry.value_);
    const auto outcome =
      base::Capture([&] { return ParsePartitionRecord("/p/", entry); });
    CHECK(std::holds_alternative<base::Failure>(outcome));
  }
}

TEST_CASE("Rendezvous_HostGone_MovesOnlyItsOwnPartitions")
{
  const std::vector<std::string> all{ "keeper-a", "keeper-b", "keeper-c" };
  std::map<std::string, int> first;
  for (std::uint32_t partition = 0; partition < 256; ++partition) {
    std::vector<std::string> before = all;
    SortByRendezvous(partition, before);
    ++first[before.front()];
    std::vector<std::string> after{ "keeper-a", "keeper-c" };
    SortByRendezvous(partition, after);
    std::erase(before, "keeper-b");
    CHECK(before == after);
  }
  for (const std::string& host : all) {
    CHECK(first[host] > 256 / 6);
  }
}

} // namespace pumiceturn::partition
