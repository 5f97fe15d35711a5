#include "LibJobLog/PartitionReplica.h"

#include <catch2/catch.hpp>

namespace pumiceturn::joblog {

namespace {

using base::ResultCode;

/// A copy whose disk does at once what it is asked.
class ReplicaFixture
{
protected:
  wire::AppendAck Append(std::uint64_t aEpoch,
                         std::uint64_t aPrevious,
                         std::uint64_t aPreviousEpoch,
                         const std::vector<std::uint64_t>& aEntryEpochs,
                         std::uint64_t aAcknowledged = 0)
  {
    wire::AppendFrame frame;
    frame.epoch_ = aEpoch;
    frame.previousSequence_ = aPrevious;
    frame.previousEpoch_ = aPreviousEpoch;
    frame.acknowledged_ = aAcknowledged;
    frame.trimBefore_ = trimBefore_;
    for (const std::uint64_t epoch : aEntryEpochs) {
      frame.entries_.push_back(wire::LogEntry{ ++aPrevious, epoch, "x" });
    }
    return std::get<wire::AppendAck>(
      Finish(replica_.OnAppend("owner", std::move(frame))));
  }

  wire::SealReply Seal(std::uint64_t aEpoch)
  {
    return std::get<wire::SealReply>(
      Finish(replica_.OnSeal("owner", wire::SealPartition{ 1, 0, aEpoch })));
  }

  /// Ends all stores with a code. @return the reply.
  wire::Message Finish(const PartitionReplica::Actions& aActions)
  {
    wire::Message reply;
    const auto take = [&reply](const PartitionReplica::Actions& aTaken) {
      for (const ReplicaAction& action : aTaken) {
        if (const auto* send = std::get_if<SendMessage>(&action)) {
          reply = send->message_;
        }
      }
    };
    take(aActions);
    for (const ReplicaAction& action : aActions) {
      if (!std::holds_alternative<SendMessage>(action)) {
        take(replica_.OnStored(diskCode_));
      }
    }
    return reply;
  }

  PartitionReplica replica_{ 0, CopySummary{} };
  std::uint64_t trimBefore_ = 1;
  ResultCode diskCode_ = ResultCode::Ok;
};

} // namespace

TEST_CASE_METHOD(ReplicaFixture,
                 "PartitionReplica_Frames_AreAcknowledgedInOrder")
{
  replica_.OnRecordedEpoch(1);
  CHECK(Append(1, 0, 0, { 1, 1 }).durableSequence_ == 2);
  CHECK(Append(1, 2, 1, { 1 }).durableSequence_ == 3);
  CHECK(replica_.IsWhole());
}

// A frame comes twice because its answer was lost with the connection. The
// second one must be acknowledged and store nothing again.
TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_FrameTwice_StoresOnce")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1, 1 });
  wire::AppendFrame frame;
  frame.epoch_ = 1;
  frame.entries_ = { { 1, 1, "x" }, { 2, 1, "x" } };
  const auto actions = replica_.OnAppend("owner", frame);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<SendMessage>(actions.front()));
}

// An owner was paused past its takeover and writes when it wakes. Its frame
// must be refused, and the answer must tell it of the newer epoch.
TEST_CASE_METHOD(ReplicaFixture,
                 "PartitionReplica_FrameOfSealedEpoch_IsRefused")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1 });
  CHECK(Seal(2).lastSequence_ == 1);
  const wire::AppendAck ack = Append(1, 1, 1, { 1 });
  CHECK(ack.code_ == ResultCode::StaleEpoch);
  CHECK(ack.epoch_ == 2);
  CHECK(Seal(1).code_ == ResultCode::StaleEpoch);
}

TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_FrameBehindAGap_NamesItsEnd")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1, 1 });
  const wire::AppendAck ack = Append(1, 5, 1, { 1 });
  CHECK(ack.code_ == ResultCode::LogGap);
  CHECK(ack.durableSequence_ == 2);
}

// Two owners wrote different ends to different copies before they died. The
// next owner's log replaces the end that it does not have.
TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_OtherEndOfLog_IsReplaced")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1, 1, 1, 1 });
  const wire::AppendAck gap = Append(3, 4, 2, { 3 });
  CHECK(gap.code_ == ResultCode::LogGap);
  CHECK(gap.durableSequence_ == 0);
  CHECK(Append(3, 2, 1, { 2, 3 }).durableSequence_ == 4);
  CHECK(replica_.Accepted().runs_ ==
        std::vector<EpochRun>{ { 1, 1 }, { 3, 2 }, { 4, 3 } });
}

// A host comes back with an empty folder, and an owner that slept through its
// takeover reaches it first. That owner's log is outdated: the copy must not
// be whole by it.
TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_EmptyCopy_WaitsForRecord")
{
  CHECK(Append(1, 0, 0, { 1 }).code_ == ResultCode::Recovering);
  replica_.OnRecordedEpoch(2);
  CHECK(Append(1, 0, 0, { 1 }).code_ == ResultCode::StaleEpoch);
  CHECK_FALSE(replica_.IsWhole());
  CHECK(Append(2, 0, 0, { 1 }, 3).code_ == ResultCode::Ok);
  CHECK_FALSE(replica_.IsWhole());
  CHECK(Append(2, 1, 1, { 1, 2 }, 3).code_ == ResultCode::Ok);
  CHECK(replica_.IsWhole());
}

TEST_CASE_METHOD(ReplicaFixture,
                 "PartitionReplica_OwnerTrimmedFurther_BeginsThere")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1, 1 });
  trimBefore_ = 11;
  CHECK(Append(1, 10, 1, { 1 }, 10).durableSequence_ == 11);
  CHECK(replica_.Accepted().state_.firstSequence_ == 11);
  CHECK(replica_.IsWhole());
}

// Bits of the copy's disk flipped. It says that it cannot be taken over from,
// and the owner fills it anew.
TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_DamagedCopy_IsFilledAnew")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1, 1 });
  replica_.MarkDamaged();
  CHECK_FALSE(replica_.IsWhole());
  CHECK(Seal(2).code_ == ResultCode::CorruptRecord);
  CHECK(Append(2, 2, 1, { 2 }, 2).durableSequence_ == 0);
  CHECK(Append(2, 0, 0, { 1, 1, 2 }, 2).durableSequence_ == 3);
  CHECK(replica_.IsWhole());
}

// The disk is full. What was accepted is not durable and must not be
// acknowledged, nor may the next frame build on it.
TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_DiskFull_FallsBackToTheDisk")
{
  replica_.OnRecordedEpoch(1);
  Append(1, 0, 0, { 1 });
  const CopySummary durable = replica_.Accepted();
  diskCode_ = ResultCode::DiskFull;
  CHECK(Append(1, 1, 1, { 1 }).code_ == ResultCode::DiskFull);
  REQUIRE(replica_.NeedsReload());
  replica_.Reload(durable);
  diskCode_ = ResultCode::Ok;
  CHECK(Append(1, 2, 1, { 1 }).code_ == ResultCode::LogGap);
  CHECK(Append(1, 1, 1, { 1 }).code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(ReplicaFixture, "PartitionReplica_MalformedFrame_IsRefused")
{
  replica_.OnRecordedEpoch(1);
  wire::AppendFrame frame;
  frame.epoch_ = 1;
  frame.entries_ = { { 2, 1, "x" } };
  CHECK(
    std::get<wire::AppendAck>(Finish(replica_.OnAppend("p", frame))).code_ ==
    ResultCode::MalformedMessage);
  frame.entries_ = { { 1, 2, "x" } };
  CHECK(
    std::get<wire::AppendAck>(Finish(replica_.OnAppend("p", frame))).code_ ==
    ResultCode::MalformedMessage);
}

} // namespace pumiceturn::joblog
