#include "JobFixture.h"

#include "LibJobs/RecordCodec.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

namespace pumiceturn::jobs {

namespace {

struct RecordCodecFixture
{
  base::JobId job_ = base::MakeJobId("partner", "key");
  wire::ItemResult result_{ 7,
                            1,
                            "label",
                            base::ResultCode::EndpointFailed,
                            base::Ran::Ran,
                            std::string("a\0b", 3),
                            12,
                            "why" };

  std::vector<Record> AllRecordKinds() const
  {
    wire::JobDescription job = MakeBatchJob("lot", 9, 2);
    job.online_ = true;
    job.idempotent_ = false;
    return {
      { 1, JobOpened{ job } },
      { 2, ItemsAccepted{ job_, 3, { { "a", "x" }, { "b", "y" } } } },
      { 3, JobAccepted{ job_ } },
      { 4, ItemsEnded{ { { { job_, 1, 2 }, result_ } } } },
      { 5, ItemStarted{ { job_, 1, 2 }, "endpoint-1" } },
      { 6, JobCancelled{ job_ } },
      { 7, EpochStarted{ 4, "host-1" } },
    };
  }
};

/// @return the record, or null if it is corrupt.
std::unique_ptr<Record>
Decode(std::string_view aBytes, PayloadMode aPayloadMode = PayloadMode::Read)
{
  auto decoded = base::Capture([&]() -> base::Result<std::unique_ptr<Record>> {
    BOOST_LEAF_AUTO(record, DecodeRecord(aBytes, aPayloadMode));
    return std::make_unique<Record>(std::move(record));
  });
  if (const auto* failure = std::get_if<base::Failure>(&decoded)) {
    CHECK(failure->code_ == base::ResultCode::CorruptRecord);
    return nullptr;
  }
  return std::get<0>(std::move(decoded));
}

} // namespace

TEST_CASE_METHOD(RecordCodecFixture, "RecordCodec_EveryRecordType_RoundTrips")
{
  for (const Record& record : AllRecordKinds()) {
    const auto decoded = Decode(EncodeRecord(record));
    REQUIRE(decoded != nullptr);
    CHECK(*decoded == record);
  }
}

TEST_CASE_METHOD(RecordCodecFixture,
                 "RecordCodec_SkippedPayloads_KeepCountsAndCodes")
{
  const auto items =
    Decode(EncodeRecord(AllRecordKinds()[1]), PayloadMode::Skip);
  CHECK(std::get<ItemsAccepted>(items->body_).items_.size() == 2);
  CHECK(std::get<ItemsAccepted>(items->body_).items_[0].payload_.empty());
  const auto ended =
    Decode(EncodeRecord(AllRecordKinds()[3]), PayloadMode::Skip);
  const wire::ItemResult& result =
    std::get<ItemsEnded>(ended->body_).ended_[0].result_;
  CHECK(result.code_ == result_.code_);
  CHECK(result.text_.empty());
}

TEST_CASE_METHOD(RecordCodecFixture, "RecordCodec_ItemOrResultByIndex_IsRead")
{
  const std::string bytes = EncodeRecord(AllRecordKinds()[1]);
  const auto item = base::Capture([&] { return ReadItem(bytes, 1); });
  CHECK(std::get<wire::JobItem>(item) == wire::JobItem{ "b", "y" });
  const auto outside = base::Capture([&] { return ReadItem(bytes, 2); });
  CHECK(std::get<base::Failure>(outside).code_ ==
        base::ResultCode::CorruptRecord);
  const std::string ended = EncodeRecord(AllRecordKinds()[3]);
  const auto result = base::Capture([&] { return ReadItemEnded(ended, 0); });
  CHECK(std::get<ItemEnded>(result).result_ == result_);
}

TEST_CASE_METHOD(RecordCodecFixture, "RecordCodec_CorruptBytes_FailCleanly")
{
  // A truncated record or one with flipped bits must neither terminate the
  // process nor be read out of bounds.
  std::mt19937 random(4);
  std::size_t failures = 0;
  for (const Record& record : AllRecordKinds()) {
    const std::string whole = EncodeRecord(record);
    for (std::size_t size = 0; size < whole.size(); size += 8) {
      const auto torn = Decode(std::string_view(whole).substr(0, size));
      failures += torn == nullptr ? 1 : 0;
    }
    CHECK(Decode(std::string_view(whole).substr(0, whole.size() - 1)) ==
          nullptr);
    for (int round = 0; round < 200; ++round) {
      std::string damaged = whole;
      char& byte = damaged[random() % damaged.size()];
      byte = static_cast<char>(static_cast<unsigned char>(byte) ^
                               (1U << (random() % 8)));
      const auto decoded = Decode(damaged);
      failures += decoded == nullptr ? 1 : 0;
    }
  }
  CHECK(failures > 0);
}

} // namespace pumiceturn::jobs
