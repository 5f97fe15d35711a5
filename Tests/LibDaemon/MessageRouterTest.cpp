#include "LibDaemon/MessageRouter.h"

#include <catch2/catch.hpp>

namespace pumiceturn::daemon {

TEST_CASE("MessageRouter_EachMessage_GoesWhereTheTableSays")
{
  CHECK(ReceiverOf(wire::Heartbeat{}) == Receiver::Everyone);
  CHECK(ReceiverOf(wire::StartRun{}) == Receiver::Agent);
  CHECK(ReceiverOf(wire::AttachRun{}) == Receiver::Agent);
  CHECK(ReceiverOf(wire::BatchDemand{}) == Receiver::Agent);
  CHECK(ReceiverOf(wire::Chunk{}) == Receiver::Entry);
  CHECK(ReceiverOf(wire::RecordReply{}) == Receiver::Entry);
  CHECK(ReceiverOf(wire::RunEnded{}) == Receiver::RunStarter);
  CHECK(ReceiverOf(wire::BatchGrant{}) == Receiver::Keeper);
  CHECK(ReceiverOf(wire::SubmitFrame{}) == Receiver::Keeper);
  CHECK(ReceiverOf(wire::SealPartition{}) == Receiver::Keeper);
  CHECK(ReceiverOf(wire::FetchConfiguration{}) == Receiver::Configuration);
}

} // namespace pumiceturn::daemon
