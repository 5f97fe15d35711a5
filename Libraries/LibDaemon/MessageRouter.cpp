#include "LibDaemon/MessageRouter.h"

namespace pumiceturn::daemon {

namespace {

struct ReceiverVisitor
{
  Receiver operator()(const wire::Heartbeat&) const
  {
    return Receiver::Everyone;
  }

  Receiver operator()(const wire::StartRun&) const { return Receiver::Agent; }
  Receiver operator()(const wire::CancelRun&) const { return Receiver::Agent; }
  Receiver operator()(const wire::AttachRun&) const { return Receiver::Agent; }
  Receiver operator()(const wire::RunRecorded&) const
  {
    return Receiver::Agent;
  }
  Receiver operator()(const wire::BatchDemand&) const
  {
    return Receiver::Agent;
  }

  Receiver operator()(const wire::Chunk&) const { return Receiver::Entry; }
  Receiver operator()(const wire::RecordReply&) const
  {
    return Receiver::Entry;
  }
  Receiver operator()(const wire::RecordResultReply&) const
  {
    return Receiver::Entry;
  }
  Receiver operator()(const wire::SubmitReply&) const
  {
    return Receiver::Entry;
  }
  Receiver operator()(const wire::JobStatusReply&) const
  {
    return Receiver::Entry;
  }
  Receiver operator()(const wire::ResultsPage&) const
  {
    return Receiver::Entry;
  }

  Receiver operator()(const wire::RunEnded&) const
  {
    return Receiver::RunStarter;
  }

  Receiver operator()(const wire::BatchGrant&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::RecordRequest&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::RecordResult&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::SubmitFrame&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::GetJob&) const { return Receiver::Keeper; }
  Receiver operator()(const wire::ReadResults&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::CancelJob&) const { return Receiver::Keeper; }
  Receiver operator()(const wire::AppendFrame&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::AppendAck&) const { return Receiver::Keeper; }
  Receiver operator()(const wire::SealPartition&) const
  {
    return Receiver::Keeper;
  }
  Receiver operator()(const wire::SealReply&) const { return Receiver::Keeper; }
  Receiver operator()(const wire::FetchLog&) const { return Receiver::Keeper; }
  Receiver operator()(const wire::LogPage&) const { return Receiver::Keeper; }

  Receiver operator()(const wire::FetchConfiguration&) const
  {
    return Receiver::Configuration;
  }
  Receiver operator()(const wire::ConfigurationContent&) const
  {
    return Receiver::Configuration;
  }
};

} // namespace

Receiver
ReceiverOf(const wire::Message& aMessage)
{
  return std::visit(ReceiverVisitor{}, aMessage);
}

} // namespace pumiceturn::daemon
