#include "LibGateway/CrashReports.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

namespace pumiceturn::gateway {

using nlohmann::json;

class CrashEvidenceCodecFixture
{
protected:
  static base::Instant At(int aMilliseconds)
  {
    return base::Instant{ std::chrono::hours{ 48 } } +
           std::chrono::milliseconds(aMilliseconds);
  }

  static fleet::CrashEvidence MakeEvidence()
  {
    fleet::CrashEvidence evidence;
    evidence.broken_.push_back(
      { { "i-1", 5 }, { 11, { 12, 13 } }, At(-300), At(-200) });
    evidence.broken_.push_back(
      { { "i-2", 6 }, { 14, {} }, At(-250), At(-100), true });
    evidence.answered_.push_back({ 13, At(-50) });
    evidence.verdicts_.push_back({ 12, At(-40), 2, 4 });
    evidence.verdicts_.push_back({ 15, At(-5000), 0, 3, true, At(-30) });
    return evidence;
  }
};

// Guards against times that depend on the clocks of other hosts: what is sent
// has ages.
TEST_CASE_METHOD(CrashEvidenceCodecFixture,
                 "CrashEvidenceCodec_OtherClock_KeepsAges")
{
  const fleet::CrashEvidence sent = MakeEvidence();
  constexpr std::chrono::hours kClockDifference{ 5 };
  const fleet::CrashEvidence read = DecodeCrashEvidence(
    EncodeCrashEvidence(sent, At(0)), At(0) + kClockDifference);
  REQUIRE(read.broken_.size() == 2);
  for (std::size_t row = 0; row < 2; ++row) {
    CHECK(read.broken_[row].endpoint_ == sent.broken_[row].endpoint_);
    CHECK(read.broken_[row].features_ == sent.broken_[row].features_);
    CHECK(read.broken_[row].isBatchItem_ == sent.broken_[row].isBatchItem_);
    CHECK(read.broken_[row].sentAt_ ==
          sent.broken_[row].sentAt_ + kClockDifference);
    CHECK(read.broken_[row].brokeAt_ ==
          sent.broken_[row].brokeAt_ + kClockDifference);
  }
  REQUIRE(read.answered_.size() == 1);
  CHECK(read.answered_[0].answeredAt_ == At(-50) + kClockDifference);
  REQUIRE(read.verdicts_.size() == 2);
  CHECK(read.verdicts_[0].trials_ == 2);
  CHECK(read.verdicts_[0].endpoints_ == 4);
  CHECK_FALSE(read.verdicts_[0].isLifted_);
  CHECK(read.verdicts_[1].isLifted_);
  CHECK(read.verdicts_[1].liftedAt_ == At(-30) + kClockDifference);
}

TEST_CASE_METHOD(CrashEvidenceCodecFixture,
                 "CrashEvidenceCodec_NothingKnown_IsEmptyMessage")
{
  CHECK(EncodeCrashEvidence({}, At(0)).empty());
  CHECK(DecodeCrashEvidence(json::object(), At(0)).IsEmpty());
}

// Guards against memory that a peer's message takes beyond what a host sends.
TEST_CASE_METHOD(CrashEvidenceCodecFixture,
                 "CrashEvidenceCodec_TooManyRows_AreLeftOut")
{
  using Crashes = fleet::CrashAttribution;
  fleet::CrashEvidence evidence;
  for (std::uint64_t row = 0; row < 5000; ++row) {
    evidence.broken_.push_back({ { "i", 1 }, { row, {} }, At(-2), At(-1) });
    evidence.verdicts_.push_back({ row, At(-1), 0, 1 });
  }
  evidence.broken_[0].features_.parts_.resize(Crashes::kMaxParts + 1);
  const fleet::CrashEvidence read =
    DecodeCrashEvidence(EncodeCrashEvidence(evidence, At(0)), At(0));
  CHECK(read.broken_.size() == Crashes::kMaxReported - 1);
  CHECK(read.verdicts_.size() == Crashes::kMaxVerdicts);
}

// Guards against a malformed message that ends the process or brings times in
// the future.
TEST_CASE_METHOD(CrashEvidenceCodecFixture,
                 "CrashEvidenceCodec_AlteredBytes_AreRejectedOrInThePast")
{
  const std::vector<std::uint8_t> bytes =
    json::to_cbor(EncodeCrashEvidence(MakeEvidence(), At(0)));
  std::mt19937_64 random(3);
  int readable = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::uint8_t> altered = bytes;
    for (int edit = 0; edit < 2; ++edit) {
      altered[random() % altered.size()] = static_cast<std::uint8_t>(random());
    }
    try {
      const fleet::CrashEvidence read =
        DecodeCrashEvidence(json::from_cbor(altered), At(0));
      ++readable;
      for (const fleet::BrokenAttempt& attempt : read.broken_) {
        REQUIRE(attempt.sentAt_ <= At(0));
        REQUIRE(attempt.brokeAt_ <= At(0));
      }
    } catch (const json::exception&) {
      // Rejected.
      continue;
    }
  }
  CHECK(readable > 0);
}

} // namespace pumiceturn::gateway
