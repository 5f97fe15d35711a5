#include "LibWire/MessageCodec.h"

#include <variant>

namespace pumiceturn::wire {

namespace {

capnp::Text::Reader
AsText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

capnp::Data::Reader
AsData(const std::string& aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

template<typename Element>
unsigned int
CountOf(const std::vector<Element>& aElements)
{
  return static_cast<unsigned int>(aElements.size());
}

void
WriteNumbers(capnp::List<std::uint64_t>::Builder aTo,
             const std::vector<std::uint64_t>& aFrom)
{
  for (unsigned int i = 0; i < aTo.size(); ++i) {
    aTo.set(i, aFrom[i]);
  }
}

void
Write(schema::Suspect::Builder aTo, const Suspect& aFrom);
void
Write(schema::ItemResult::Builder aTo, const ItemResult& aFrom);
void
Write(schema::JobItem::Builder aTo, const JobItem& aFrom);
void
Write(schema::LogEntry::Builder aTo, const LogEntry& aFrom);
void
Write(schema::ConfigurationPart::Builder aTo, const ConfigurationPart& aFrom);

template<typename List, typename Element>
void
WriteList(List aTo, const std::vector<Element>& aFrom)
{
  for (unsigned int i = 0; i < aTo.size(); ++i) {
    Write(aTo[i], aFrom[i]);
  }
}

void
Write(schema::Id::Builder aTo, const JobId& aFrom)
{
  aTo.setHigh(aFrom.high_);
  aTo.setLow(aFrom.low_);
}

void
Write(schema::Run::Builder aTo, const RunId& aFrom)
{
  Write(aTo.initJob(), aFrom.job_);
  aTo.setItem(aFrom.item_);
  aTo.setAttempt(aFrom.attempt_);
}

void
Write(schema::Suspect::Builder aTo, const Suspect& aFrom)
{
  aTo.setFingerprint(aFrom.fingerprint_);
  aTo.setCrashes(aFrom.crashes_);
  aTo.setExpiresInMs(aFrom.expiresInMs_);
}

void
Write(schema::Heartbeat::Builder aTo, const Heartbeat& aFrom)
{
  aTo.setSequence(aFrom.sequence_);
  aTo.setConfigurationVersion(aFrom.configurationVersion_);
  aTo.setDraining(aFrom.draining_);
  aTo.setRunning(aFrom.running_);
  aTo.setQueuedOnline(aFrom.queuedOnline_);
  aTo.setCapacity(aFrom.capacity_);
  aTo.setExpectedWaitMs(aFrom.expectedWaitMs_);
  WriteList(aTo.initSuspects(CountOf(aFrom.suspects_)), aFrom.suspects_);
  WriteNumbers(aTo.initPrefixesAdded(CountOf(aFrom.prefixesAdded_)),
               aFrom.prefixesAdded_);
  WriteNumbers(aTo.initPrefixesDropped(CountOf(aFrom.prefixesDropped_)),
               aFrom.prefixesDropped_);
  aTo.setPartitionTableRevision(aFrom.partitionTableRevision_);
}

void
Write(schema::StartRun::Builder aTo, const StartRun& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
  aTo.setService(AsText(aFrom.service_));
  aTo.setKind(AsText(aFrom.kind_));
  aTo.setOnline(aFrom.online_);
  aTo.setIdempotent(aFrom.idempotent_);
  aTo.setWantChunks(aFrom.wantChunks_);
  aTo.setDeadlineMs(aFrom.deadlineMs_);
  aTo.setDueUnixMs(aFrom.dueUnixMs_);
  aTo.setFingerprint(aFrom.fingerprint_);
  aTo.setPrefix(aFrom.prefix_);
  aTo.setMaxTokens(aFrom.maxTokens_);
  aTo.setPayload(AsData(aFrom.payload_));
  aTo.setFence(aFrom.fence_);
}

void
Write(schema::CancelRun::Builder aTo, const CancelRun& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
}

void
Write(schema::AttachRun::Builder aTo, const AttachRun& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
  aTo.setReceivedSequence(aFrom.receivedSequence_);
}

void
Write(schema::Chunk::Builder aTo, const Chunk& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
  aTo.setSequence(aFrom.sequence_);
  aTo.setText(AsData(aFrom.text_));
  aTo.setTokens(aFrom.tokens_);
}

void
Write(schema::RunEnded::Builder aTo, const RunEnded& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
  aTo.setLastSequence(aFrom.lastSequence_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setRan(static_cast<std::uint8_t>(aFrom.ran_));
  aTo.setText(AsData(aFrom.text_));
  aTo.setTokens(aFrom.tokens_);
  aTo.setRetryAfterMs(aFrom.retryAfterMs_);
  aTo.setDetail(AsText(aFrom.detail_));
}

void
Write(schema::RunRecorded::Builder aTo, const RunRecorded& aFrom)
{
  Write(aTo.initRun(), aFrom.run_);
}

void
Write(schema::BatchDemand::Builder aTo, const BatchDemand& aFrom)
{
  aTo.setService(AsText(aFrom.service_));
  aTo.setWaiting(aFrom.waiting_);
  aTo.setSlackMs(aFrom.slackMs_);
}

void
Write(schema::BatchGrant::Builder aTo, const BatchGrant& aFrom)
{
  aTo.setService(AsText(aFrom.service_));
  aTo.setGranted(aFrom.granted_);
}

void
Write(schema::ItemResult::Builder aTo, const ItemResult& aFrom)
{
  aTo.setPosition(aFrom.position_);
  aTo.setItem(aFrom.item_);
  aTo.setName(AsText(aFrom.name_));
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setRan(static_cast<std::uint8_t>(aFrom.ran_));
  aTo.setText(AsData(aFrom.text_));
  aTo.setTokens(aFrom.tokens_);
  aTo.setDetail(AsText(aFrom.detail_));
}

void
Write(schema::RecordRequest::Builder aTo, const RecordRequest& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setPartner(AsText(aFrom.partner_));
  aTo.setService(AsText(aFrom.service_));
  aTo.setKind(AsText(aFrom.kind_));
  aTo.setKey(AsText(aFrom.key_));
  aTo.setDigest(aFrom.digest_);
  aTo.setOnline(aFrom.online_);
  aTo.setIdempotent(aFrom.idempotent_);
  aTo.setDeadlineUnixMs(aFrom.deadlineUnixMs_);
  aTo.setRetentionS(aFrom.retentionS_);
  aTo.setMaxTokens(aFrom.maxTokens_);
  aTo.setPayload(AsData(aFrom.payload_));
}

void
Write(schema::RecordReply::Builder aTo, const RecordReply& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setState(static_cast<std::uint8_t>(aFrom.state_));
  Write(aTo.initResult(), aFrom.result_);
  aTo.setOwnerHint(AsText(aFrom.ownerHint_));
  aTo.setRetryAfterMs(aFrom.retryAfterMs_);
}

void
Write(schema::RecordResult::Builder aTo, const RecordResult& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initRun(), aFrom.run_);
  Write(aTo.initResult(), aFrom.result_);
}

void
Write(schema::RecordResultReply::Builder aTo, const RecordResultReply& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setFirst(aFrom.first_);
  Write(aTo.initResult(), aFrom.result_);
  aTo.setOwnerHint(AsText(aFrom.ownerHint_));
}

void
Write(schema::JobDescription::Builder aTo, const JobDescription& aFrom)
{
  Write(aTo.initId(), aFrom.id_);
  aTo.setPartner(AsText(aFrom.partner_));
  aTo.setService(AsText(aFrom.service_));
  aTo.setKind(AsText(aFrom.kind_));
  aTo.setKey(AsText(aFrom.key_));
  aTo.setDigest(aFrom.digest_);
  aTo.setItemCount(aFrom.itemCount_);
  aTo.setDueUnixMs(aFrom.dueUnixMs_);
  aTo.setRetentionS(aFrom.retentionS_);
  aTo.setMaxTokens(aFrom.maxTokens_);
  aTo.setMaxAttempts(aFrom.maxAttempts_);
  aTo.setOnline(aFrom.online_);
  aTo.setIdempotent(aFrom.idempotent_);
}

void
Write(schema::JobItem::Builder aTo, const JobItem& aFrom)
{
  aTo.setName(AsText(aFrom.name_));
  aTo.setPayload(AsData(aFrom.payload_));
}

void
Write(schema::SubmitFrame::Builder aTo, const SubmitFrame& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setFirstItem(aFrom.firstItem_);
  WriteList(aTo.initItems(CountOf(aFrom.items_)), aFrom.items_);
  aTo.setLast(aFrom.last_);
}

void
Write(schema::SubmitReply::Builder aTo, const SubmitReply& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setDuplicate(aFrom.duplicate_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setOwnerHint(AsText(aFrom.ownerHint_));
  aTo.setDetail(AsText(aFrom.detail_));
}

void
Write(schema::GetJob::Builder aTo, const GetJob& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setPartner(AsText(aFrom.partner_));
}

void
Write(schema::JobStatusReply::Builder aTo, const JobStatusReply& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setState(static_cast<std::uint8_t>(aFrom.state_));
  Write(aTo.initJob(), aFrom.job_);
  aTo.setWaiting(aFrom.waiting_);
  aTo.setRunning(aFrom.running_);
  aTo.setSucceeded(aFrom.succeeded_);
  aTo.setFailed(aFrom.failed_);
  aTo.setCancelled(aFrom.cancelled_);
  aTo.setExpectedFinishUnixMs(aFrom.expectedFinishUnixMs_);
  aTo.setOwnerHint(AsText(aFrom.ownerHint_));
}

void
Write(schema::ReadResults::Builder aTo, const ReadResults& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setPartner(AsText(aFrom.partner_));
  aTo.setFrom(aFrom.from_);
  aTo.setLimit(aFrom.limit_);
}

void
Write(schema::ResultsPage::Builder aTo, const ResultsPage& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  WriteList(aTo.initItems(CountOf(aFrom.items_)), aFrom.items_);
  aTo.setEnded(aFrom.ended_);
  aTo.setOwnerHint(AsText(aFrom.ownerHint_));
}

void
Write(schema::CancelJob::Builder aTo, const CancelJob& aFrom)
{
  aTo.setCall(aFrom.call_);
  Write(aTo.initJob(), aFrom.job_);
  aTo.setPartner(AsText(aFrom.partner_));
}

void
Write(schema::LogEntry::Builder aTo, const LogEntry& aFrom)
{
  aTo.setSequence(aFrom.sequence_);
  aTo.setEpoch(aFrom.epoch_);
  aTo.setPayload(AsData(aFrom.payload_));
}

void
Write(schema::AppendFrame::Builder aTo, const AppendFrame& aFrom)
{
  aTo.setPartition(aFrom.partition_);
  aTo.setEpoch(aFrom.epoch_);
  aTo.setPreviousSequence(aFrom.previousSequence_);
  aTo.setPreviousEpoch(aFrom.previousEpoch_);
  WriteList(aTo.initEntries(CountOf(aFrom.entries_)), aFrom.entries_);
  aTo.setTrimBefore(aFrom.trimBefore_);
  aTo.setAcknowledged(aFrom.acknowledged_);
}

void
Write(schema::AppendAck::Builder aTo, const AppendAck& aFrom)
{
  aTo.setPartition(aFrom.partition_);
  aTo.setEpoch(aFrom.epoch_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setDurableSequence(aFrom.durableSequence_);
}

void
Write(schema::SealPartition::Builder aTo, const SealPartition& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setPartition(aFrom.partition_);
  aTo.setEpoch(aFrom.epoch_);
}

void
Write(schema::SealReply::Builder aTo, const SealReply& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setPartition(aFrom.partition_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setEpoch(aFrom.epoch_);
  aTo.setLastSequence(aFrom.lastSequence_);
  aTo.setLastEpoch(aFrom.lastEpoch_);
}

void
Write(schema::FetchLog::Builder aTo, const FetchLog& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setPartition(aFrom.partition_);
  aTo.setEpoch(aFrom.epoch_);
  aTo.setFromSequence(aFrom.fromSequence_);
  aTo.setMaxBytes(aFrom.maxBytes_);
}

void
Write(schema::LogPage::Builder aTo, const LogPage& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setPartition(aFrom.partition_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  WriteList(aTo.initEntries(CountOf(aFrom.entries_)), aFrom.entries_);
  aTo.setLastSequence(aFrom.lastSequence_);
}

void
Write(schema::ConfigurationPart::Builder aTo, const ConfigurationPart& aFrom)
{
  aTo.setDigest(aFrom.digest_);
  aTo.setContent(AsData(aFrom.content_));
}

void
Write(schema::FetchConfiguration::Builder aTo, const FetchConfiguration& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setVersion(aFrom.version_);
  WriteNumbers(aTo.initWantedParts(CountOf(aFrom.wantedParts_)),
               aFrom.wantedParts_);
}

void
Write(schema::ConfigurationContent::Builder aTo,
      const ConfigurationContent& aFrom)
{
  aTo.setCall(aFrom.call_);
  aTo.setVersion(aFrom.version_);
  aTo.setCode(static_cast<std::uint16_t>(aFrom.code_));
  aTo.setHead(AsData(aFrom.head_));
  WriteList(aTo.initParts(CountOf(aFrom.parts_)), aFrom.parts_);
}

/// Picks the envelope's member for a message type.
class EnvelopeWriter
{
public:
  explicit EnvelopeWriter(schema::Envelope::Builder aTo)
    : to_(aTo)
  {
  }

  void operator()(const Heartbeat& aMessage)
  {
    Write(to_.initHeartbeat(), aMessage);
  }
  void operator()(const StartRun& aMessage)
  {
    Write(to_.initStartRun(), aMessage);
  }
  void operator()(const CancelRun& aMessage)
  {
    Write(to_.initCancelRun(), aMessage);
  }
  void operator()(const AttachRun& aMessage)
  {
    Write(to_.initAttachRun(), aMessage);
  }
  void operator()(const Chunk& aMessage) { Write(to_.initChunk(), aMessage); }
  void operator()(const RunEnded& aMessage)
  {
    Write(to_.initRunEnded(), aMessage);
  }
  void operator()(const RunRecorded& aMessage)
  {
    Write(to_.initRunRecorded(), aMessage);
  }
  void operator()(const BatchDemand& aMessage)
  {
    Write(to_.initBatchDemand(), aMessage);
  }
  void operator()(const BatchGrant& aMessage)
  {
    Write(to_.initBatchGrant(), aMessage);
  }
  void operator()(const RecordRequest& aMessage)
  {
    Write(to_.initRecordRequest(), aMessage);
  }
  void operator()(const RecordReply& aMessage)
  {
    Write(to_.initRecordReply(), aMessage);
  }
  void operator()(const RecordResult& aMessage)
  {
    Write(to_.initRecordResult(), aMessage);
  }
  void operator()(const RecordResultReply& aMessage)
  {
    Write(to_.initRecordResultReply(), aMessage);
  }
  void operator()(const SubmitFrame& aMessage)
  {
    Write(to_.initSubmitFrame(), aMessage);
  }
  void operator()(const SubmitReply& aMessage)
  {
    Write(to_.initSubmitReply(), aMessage);
  }
  void operator()(const GetJob& aMessage) { Write(to_.initGetJob(), aMessage); }
  void operator()(const JobStatusReply& aMessage)
  {
    Write(to_.initJobStatusReply(), aMessage);
  }
  void operator()(const ReadResults& aMessage)
  {
    Write(to_.initReadResults(), aMessage);
  }
  void operator()(const ResultsPage& aMessage)
  {
    Write(to_.initResultsPage(), aMessage);
  }
  void operator()(const CancelJob& aMessage)
  {
    Write(to_.initCancelJob(), aMessage);
  }
  void operator()(const AppendFrame& aMessage)
  {
    Write(to_.initAppendFrame(), aMessage);
  }
  void operator()(const AppendAck& aMessage)
  {
    Write(to_.initAppendAck(), aMessage);
  }
  void operator()(const SealPartition& aMessage)
  {
    Write(to_.initSealPartition(), aMessage);
  }
  void operator()(const SealReply& aMessage)
  {
    Write(to_.initSealReply(), aMessage);
  }
  void operator()(const FetchLog& aMessage)
  {
    Write(to_.initFetchLog(), aMessage);
  }
  void operator()(const LogPage& aMessage)
  {
    Write(to_.initLogPage(), aMessage);
  }
  void operator()(const FetchConfiguration& aMessage)
  {
    Write(to_.initFetchConfiguration(), aMessage);
  }
  void operator()(const ConfigurationContent& aMessage)
  {
    Write(to_.initConfigurationContent(), aMessage);
  }

private:
  schema::Envelope::Builder to_;
};

} // namespace

void
Encode(schema::Envelope::Builder aTo, const Message& aMessage)
{
  std::visit(EnvelopeWriter{ aTo }, aMessage);
}

void
Encode(schema::Heartbeat::Builder aTo, const Heartbeat& aHeartbeat)
{
  Write(aTo, aHeartbeat);
}

} // namespace pumiceturn::wire
