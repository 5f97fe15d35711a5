#include "LibGateway/StoreReport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using nlohmann::json;

class StoreReportFixture
{
protected:
  [[nodiscard]] static StoreDelta MakeDelta(std::size_t aValueBytes)
  {
    StoreDelta delta;
    delta.prefix_ = StorePrefix::Endpoints;
    delta.delta_.previousChange_ = 7;
    delta.delta_.view_ = { 11, 12, 30ms };
    // Not valid UTF-8: anyone may write under the endpoints' prefix.
    delta.delta_.items_ = { { "s/1", std::string(aValueBytes, '\xff'), 10 },
                            { "s/2", {}, 11, true } };
    return delta;
  }

  /// @return the row after encoding to CBOR and decoding.
  [[nodiscard]] static json RoundTrip(const json& aRow)
  {
    return json::from_cbor(json::to_cbor(aRow));
  }
};

TEST_CASE_METHOD(StoreReportFixture, "StoreReport_RoundTrip_IsEqual")
{
  StoreReport report;
  report.state_ = { true, false };
  report.views_.push_back({ StorePrefix::BatchJobs, { 5, 9, 120ms } });
  const StoreReport read =
    DecodeStoreReport(RoundTrip(EncodeStoreReport(report)));
  CHECK(read.state_.mayFollow_);
  CHECK_FALSE(read.state_.isPreferred_);
  REQUIRE(read.views_.size() == 1);
  CHECK(read.views_.front().prefix_ == StorePrefix::BatchJobs);
  CHECK(read.views_.front().view_.lastChangeRevision_ == 5);
  CHECK(read.views_.front().view_.followedRevision_ == 9);
  CHECK(read.views_.front().view_.age_ == 120ms);
}

TEST_CASE_METHOD(StoreReportFixture, "StoreDelta_RoundTrip_IsEqual")
{
  const StoreDelta delta = MakeDelta(3);
  const auto row = EncodeStoreDelta(delta);
  REQUIRE(row);
  const StoreDelta read = DecodeStoreDelta(RoundTrip(*row));
  CHECK(read.prefix_ == StorePrefix::Endpoints);
  CHECK(read.delta_.previousChange_ == 7);
  REQUIRE(read.delta_.items_.size() == 2);
  CHECK(read.delta_.items_[0].value_ == delta.delta_.items_[0].value_);
  CHECK(read.delta_.items_[0].revision_ == 10);
  CHECK(read.delta_.items_[1].isRemoved_);
}

// Guards against sending more than fits into a datagram to each peer.
TEST_CASE_METHOD(StoreReportFixture, "StoreDelta_TooLarge_IsNotSent")
{
  std::mt19937 random(7);
  StoreDelta delta = MakeDelta(100000);
  for (char& byte : delta.delta_.items_[0].value_) {
    byte = static_cast<char>(random());
  }
  CHECK_FALSE(EncodeStoreDelta(delta));
  CHECK_FALSE(EncodeStoreDelta(MakeDelta(4000000)));
}

// Guards against a read of the store by each host for each change of a
// configuration with hundreds of routes.
TEST_CASE_METHOD(StoreReportFixture, "StoreDelta_LargeConfiguration_IsSent")
{
  constexpr int kRoutes = 460;
  constexpr std::size_t kMaxDatagramBytes = 32768;
  std::mt19937 random(7);
  json routes = json::array();
  for (int route = 0; route < kRoutes; ++route) {
    routes.push_back({ { "name", "r-" + std::to_string(random()) },
                       { "hostname", "service.example" },
                       { "prefix", "/" + std::to_string(random()) + "/" },
                       { "kind", "stream" },
                       { "timeoutMs", 5000 },
                       { "sloMs", 300 },
                       { "priority", 0 },
                       { "maxAttempts", 2 },
                       { "resumable", true } });
  }
  StoreDelta delta = MakeDelta(0);
  delta.delta_.items_[0].value_ = routes.dump();
  const auto row = EncodeStoreDelta(delta);
  REQUIRE(row);
  CHECK(json::to_cbor(*row).size() < kMaxDatagramBytes);
  const StoreDelta read = DecodeStoreDelta(RoundTrip(*row));
  CHECK(read.delta_.items_[0].value_ == delta.delta_.items_[0].value_);
}

// Guards against a forged datagram that takes much memory when decompressed.
TEST_CASE_METHOD(StoreReportFixture, "StoreDelta_ForgedSize_IsRejected")
{
  json row = *EncodeStoreDelta(MakeDelta(20));
  for (const std::uint64_t size : { 0ULL, 10ULL, 1ULL << 20U, 1ULL << 40U }) {
    row["size"] = size;
    CHECK_THROWS_AS(DecodeStoreDelta(RoundTrip(row)), json::exception);
  }
}

// Guards against a forged report making a mirror look fresh for a long time.
TEST_CASE_METHOD(StoreReportFixture, "StoreReport_FieldOutOfRange_IsRejected")
{
  StoreReport report;
  report.views_.push_back({ StorePrefix::BatchJobs, { 5, 9, 120ms } });
  json row = EncodeStoreReport(report);
  for (const std::int64_t age : { std::int64_t{ -1 }, INT64_MAX }) {
    row["views"][0]["age"] = age;
    CHECK_THROWS_AS(DecodeStoreReport(row), json::exception);
  }
  row["views"][0]["age"] = 1;
  row["views"][0]["prefix"] = 99;
  CHECK_THROWS_AS(DecodeStoreReport(row), json::exception);
}

// Guards against a crash on a forged or corrupt datagram.
TEST_CASE_METHOD(StoreReportFixture,
                 "StoreDelta_CorruptBytes_ThrowsJsonExceptionsOnly")
{
  constexpr int kInputs = 5000;
  constexpr int kMaxChanges = 4;
  std::mt19937 random(7);
  const std::vector<std::uint8_t> valid =
    json::to_cbor(*EncodeStoreDelta(MakeDelta(20)));
  int decodedCount = 0;
  for (int input = 0; input < kInputs; ++input) {
    std::vector<std::uint8_t> bytes = valid;
    for (int change = 0; change < kMaxChanges; ++change) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    try {
      (void)DecodeStoreDelta(json::from_cbor(bytes));
      ++decodedCount;
    } catch (const json::exception&) {
      // Rejected as expected.
    }
  }
  CHECK(decodedCount < kInputs);
}

} // namespace pumiceturn::gateway
