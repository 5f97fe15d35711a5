#include "LibStandin/KeyValueStore.h"

#include <catch2/catch.hpp>

#include <string>

namespace pumiceturn::standin {

namespace {

using base::ResultCode;

struct StoreFixture
{
  void Put(const std::string& aKey,
           const std::string& aValue,
           std::uint64_t aLease = 0)
  {
    PutOperation put;
    put.key_ = aKey;
    put.value_ = aValue;
    put.lease_ = aLease;
    REQUIRE(CodeOf(Operation{ put }) == ResultCode::Ok);
  }

  template<typename Request>
  ResultCode CodeOf(const Request& aRequest)
  {
    const auto outcome =
      base::Capture([&] { return store_.Execute(aRequest); });
    const auto* failure = std::get_if<base::Failure>(&outcome);
    return failure == nullptr ? ResultCode::Ok : failure->code_;
  }

  /// Puts a value if the key's last change has a revision.
  bool Swap(const std::string& aKey,
            const std::string& aValue,
            std::uint64_t aExpected)
  {
    Transaction transaction;
    Compare compare;
    compare.target_ = CompareTarget::ModRevision;
    compare.key_ = aKey;
    compare.number_ = aExpected;
    transaction.compares_.push_back(compare);
    transaction.success_.emplace_back(PutOperation{ aKey, aValue });
    auto outcome = base::Capture([&] { return store_.Execute(transaction); });
    return std::get<0>(outcome).succeeded_;
  }

  std::string Read(const std::string& aKey)
  {
    const auto found = store_.Entries().find(aKey);
    return found == store_.Entries().end() ? "" : found->second.value_;
  }

  KeyValueStore store_;
  const base::Instant start_;
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "Transaction_TwoWriters_OnlyTheFirstWins")
{
  CHECK(Swap("k", "first", 0));
  CHECK_FALSE(Swap("k", "second", 0));
  CHECK(Read("k") == "first");
  const std::uint64_t revision = store_.Entries().at("k").modRevision_;
  CHECK(Swap("k", "third", revision));
  CHECK(store_.Entries().at("k").version_ == 2);
  CHECK(store_.Entries().at("k").createRevision_ == revision);
}

TEST_CASE_METHOD(StoreFixture, "Transaction_SeveralPuts_ShareOneRevision")
{
  Transaction transaction;
  transaction.success_.emplace_back(PutOperation{ "a", "1" });
  transaction.success_.emplace_back(PutOperation{ "b", "2" });
  const std::uint64_t before = store_.Revision();
  CHECK(CodeOf(transaction) == ResultCode::Ok);
  CHECK(store_.Revision() == before + 1);
  transaction.success_.emplace_back(PutOperation{ "a", "3" });
  CHECK(CodeOf(transaction) == ResultCode::InvalidRequest);
  CHECK(Read("a") == "1");
}

TEST_CASE_METHOD(StoreFixture, "Lease_NotKeptAlive_TakesItsKeysAlong")
{
  auto granted = base::Capture(
    [&] { return store_.GrantLease(0, base::Duration{ 10 }, start_); });
  const std::uint64_t lease = std::get<0>(granted);
  Put("held", "x", lease);
  Put("free", "y");
  CHECK(store_.KeepLeaseAlive(lease, start_ + base::Duration{ 9 }));
  store_.ExpireLeases(start_ + base::Duration{ 18 });
  CHECK(Read("held") == "x");
  store_.ExpireLeases(start_ + base::Duration{ 19 });
  CHECK(Read("held").empty());
  CHECK(Read("free") == "y");
  CHECK_FALSE(store_.KeepLeaseAlive(lease, start_));
  CHECK(CodeOf(Operation{ PutOperation{ "held", "z", lease } }) ==
        ResultCode::NotFound);
}

TEST_CASE_METHOD(StoreFixture, "EventsFrom_AfterCompaction_SaysThatTheyAreGone")
{
  Put("a", "1");
  const std::uint64_t first = store_.Revision();
  Put("b", "2");
  const KeyRange all{ std::string(1, '\0'), std::string(1, '\0') };
  REQUIRE(store_.EventsFrom(all, first));
  CHECK(store_.EventsFrom(all, first)->size() == 2);
  CHECK(store_.EventsFrom({ "b", "" }, first)->size() == 1);
  store_.Compact();
  CHECK_FALSE(store_.EventsFrom(all, first));
  Put("c", "3");
  CHECK(store_.EventsFrom(all, store_.Revision())->size() == 1);
}

} // namespace pumiceturn::standin
