#include "LibGateway/StreamOriginStore.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using metadata::FakeStore;
using metadata::StoreStatus;

class StreamOriginStoreFixture
{
protected:
  StreamOriginStoreFixture()
  {
    origins_.SetOnRead([this](base::Instant aSentAt, const auto& aRows) {
      readSentAt_ = aSentAt;
      read_ = aRows;
    });
  }

  void Add(const std::string& aId, base::Duration aLifetime = 10s)
  {
    const auto lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(aLifetime);
    origins_.Add({ aId, { "service", "v1" }, wallNow_ + lifetime }, wallNow_);
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    now_ += aTime;
    wallNow_ += aTime;
    origins_.Tick(now_, wallNow_, 3);
  }

  void GrantLease(std::uint64_t aLease)
  {
    FakeStore::Pop(store_.grants_)({ StoreStatus::Ok, aLease });
  }

  /// Answers the write in flight.
  /// @return what was written.
  metadata::Transaction::Write Written(StoreStatus aStatus = StoreStatus::Ok)
  {
    REQUIRE(store_.commits_.size() == 1);
    const auto [transaction, answer] = FakeStore::Pop(store_.commits_);
    metadata::TransactionResponse response;
    response.status_ = aStatus;
    answer(response);
    return transaction.writes_.front();
  }

  void AnswerRead(const std::vector<std::string>& aValues)
  {
    metadata::RangeResponse response;
    response.status_ = StoreStatus::Ok;
    for (const std::string& value : aValues) {
      response.items_.push_back({ "streams/a", value, 1 });
    }
    FakeStore::Pop(store_.ranges_).second(response);
  }

  FakeStore store_;
  StreamOriginStore origins_{ store_, "streams/", "host/1" };
  base::Instant now_{ 1h };
  base::WallTime wallNow_{ 1h };
  base::Instant readSentAt_{};
  std::vector<StoredOrigin> read_;
};

TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_RowsAreWritten_AnotherProcessReadsThem")
{
  Add("a");
  Pass(0ms);
  GrantLease(7);
  const auto first = Written();
  CHECK(first.key_ == "streams/host/1");
  CHECK(first.lease_ == 7);
  Add("b");
  Pass(100ms);
  const auto second = Written();
  origins_.RequestRead(now_);
  AnswerRead({ second.value_ });
  CHECK(readSentAt_ == now_);
  REQUIRE(read_.size() == 2);
  CHECK(read_[1].id_ == "b");
  CHECK(read_[1].origin_ == fleet::StreamOrigin{ "service", "v1" });
}

TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_NothingIsAdded_StoreIsNotCalled")
{
  for (int tick = 0; tick < 100; ++tick) {
    Pass(100ms);
  }
  CHECK(store_.grants_.empty());
  CHECK(store_.commits_.empty());
  CHECK(store_.ranges_.empty());
}

// Guards against records that are lost as one write failed, or as the lease has
// ended.
TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_WriteFails_IsRepeated")
{
  Add("a");
  Pass(0ms);
  GrantLease(7);
  (void)Written(StoreStatus::Unknown);
  Pass(300ms);
  (void)Written(StoreStatus::NotFound);
  Pass(300ms);
  GrantLease(8);
  const auto written = Written();
  CHECK(written.lease_ == 8);
  CHECK(written.value_.find("\"a\"") != std::string::npos);
  Pass(1000ms);
  CHECK(store_.commits_.empty());
}

// Guards against a host that never stores records again once it had too many.
TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_RowsExpire_NewOnesHaveRoom")
{
  for (std::size_t row = 0; row < StreamOriginStore::kMaxRows + 5; ++row) {
    Add(std::to_string(row), 1s);
  }
  Pass(0ms);
  GrantLease(7);
  const auto full = DecodeOriginRows(Written().value_);
  REQUIRE(full);
  CHECK(full->size() == StreamOriginStore::kMaxRows);
  Pass(2000ms);
  Add("new");
  Pass(100ms);
  const auto rows = DecodeOriginRows(Written().value_);
  REQUIRE(rows);
  REQUIRE(rows->size() == 1);
  CHECK(rows->front().id_ == "new");
}

// Guards against a store that is overloaded when all hosts have just started.
TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_ManyReadsAreRequested_FewAreSent")
{
  std::size_t sent = 0;
  for (int tick = 0; tick < 10; ++tick) {
    origins_.RequestRead(now_);
    Pass(100ms);
    sent += store_.ranges_.size();
    while (!store_.ranges_.empty()) {
      AnswerRead({});
    }
  }
  CHECK(sent >= 2);
  CHECK(sent <= 5);
}

// Guards against one entry that can't be read hiding those of other hosts.
TEST_CASE_METHOD(StreamOriginStoreFixture,
                 "StreamOriginStore_EntryIsUnreadable_OthersAreRead")
{
  Add("a");
  Pass(0ms);
  GrantLease(7);
  const auto written = Written();
  origins_.RequestRead(now_);
  AnswerRead({ "{", written.value_, "[1]" });
  CHECK(read_.size() == 1);
}

} // namespace pumiceturn::gateway
