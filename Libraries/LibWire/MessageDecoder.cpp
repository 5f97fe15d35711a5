#include "LibWire/MessageCodec.h"

#include <kj/debug.h>

#include <array>

namespace pumiceturn::wire {

namespace {

std::string
FromText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

std::string
FromData(capnp::Data::Reader aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.begin()), aBytes.size() };
}

/// Enumerations travel as numbers; one that this version does not list must
/// not become an enumerator that no switch expects.
template<typename Enumeration>
Enumeration
ReadEnum(std::uint8_t aNumber, Enumeration aLast)
{
  KJ_REQUIRE(aNumber <= static_cast<std::uint8_t>(aLast),
             "number outside of its enumeration");
  return static_cast<Enumeration>(aNumber);
}

std::vector<std::uint64_t>
ReadNumbers(capnp::List<std::uint64_t>::Reader aFrom)
{
  std::vector<std::uint64_t> to;
  to.reserve(aFrom.size());
  for (const std::uint64_t number : aFrom) {
    to.push_back(number);
  }
  return to;
}

Suspect
Read(schema::Suspect::Reader aFrom);
ItemResult
Read(schema::ItemResult::Reader aFrom);
JobItem
Read(schema::JobItem::Reader aFrom);
LogEntry
Read(schema::LogEntry::Reader aFrom);
ConfigurationPart
Read(schema::ConfigurationPart::Reader aFrom);

template<typename Element, typename List>
std::vector<Element>
ReadList(List aFrom)
{
  std::vector<Element> to;
  to.reserve(aFrom.size());
  for (auto element : aFrom) {
    to.push_back(Read(element));
  }
  return to;
}

JobId
Read(schema::Id::Reader aFrom)
{
  return { aFrom.getHigh(), aFrom.getLow() };
}

RunId
Read(schema::Run::Reader aFrom)
{
  return { Read(aFrom.getJob()), aFrom.getItem(), aFrom.getAttempt() };
}

Suspect
Read(schema::Suspect::Reader aFrom)
{
  Suspect to;
  to.fingerprint_ = aFrom.getFingerprint();
  to.crashes_ = aFrom.getCrashes();
  to.expiresInMs_ = aFrom.getExpiresInMs();
  return to;
}

Heartbeat
Read(schema::Heartbeat::Reader aFrom)
{
  Heartbeat to;
  to.sequence_ = aFrom.getSequence();
  to.configurationVersion_ = aFrom.getConfigurationVersion();
  to.draining_ = aFrom.getDraining();
  to.running_ = aFrom.getRunning();
  to.queuedOnline_ = aFrom.getQueuedOnline();
  to.capacity_ = aFrom.getCapacity();
  to.expectedWaitMs_ = aFrom.getExpectedWaitMs();
  to.suspects_ = ReadList<Suspect>(aFrom.getSuspects());
  to.prefixesAdded_ = ReadNumbers(aFrom.getPrefixesAdded());
  to.prefixesDropped_ = ReadNumbers(aFrom.getPrefixesDropped());
  to.partitionTableRevision_ = aFrom.getPartitionTableRevision();
  return to;
}

StartRun
Read(schema::StartRun::Reader aFrom)
{
  StartRun to;
  to.run_ = Read(aFrom.getRun());
  to.service_ = FromText(aFrom.getService());
  to.kind_ = FromText(aFrom.getKind());
  to.online_ = aFrom.getOnline();
  to.idempotent_ = aFrom.getIdempotent();
  to.wantChunks_ = aFrom.getWantChunks();
  to.deadlineMs_ = aFrom.getDeadlineMs();
  to.dueUnixMs_ = aFrom.getDueUnixMs();
  to.fingerprint_ = aFrom.getFingerprint();
  to.prefix_ = aFrom.getPrefix();
  to.maxTokens_ = aFrom.getMaxTokens();
  to.payload_ = FromData(aFrom.getPayload());
  to.fence_ = aFrom.getFence();
  return to;
}

CancelRun
Read(schema::CancelRun::Reader aFrom)
{
  CancelRun to;
  to.run_ = Read(aFrom.getRun());
  return to;
}

AttachRun
Read(schema::AttachRun::Reader aFrom)
{
  AttachRun to;
  to.run_ = Read(aFrom.getRun());
  to.receivedSequence_ = aFrom.getReceivedSequence();
  return to;
}

Chunk
Read(schema::Chunk::Reader aFrom)
{
  Chunk to;
  to.run_ = Read(aFrom.getRun());
  to.sequence_ = aFrom.getSequence();
  to.text_ = FromData(aFrom.getText());
  to.tokens_ = aFrom.getTokens();
  return to;
}

RunEnded
Read(schema::RunEnded::Reader aFrom)
{
  RunEnded to;
  to.run_ = Read(aFrom.getRun());
  to.lastSequence_ = aFrom.getLastSequence();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.ran_ = ReadEnum(aFrom.getRan(), Ran::Unknown);
  to.text_ = FromData(aFrom.getText());
  to.tokens_ = aFrom.getTokens();
  to.retryAfterMs_ = aFrom.getRetryAfterMs();
  to.detail_ = FromText(aFrom.getDetail());
  return to;
}

RunRecorded
Read(schema::RunRecorded::Reader aFrom)
{
  RunRecorded to;
  to.run_ = Read(aFrom.getRun());
  return to;
}

BatchDemand
Read(schema::BatchDemand::Reader aFrom)
{
  BatchDemand to;
  to.service_ = FromText(aFrom.getService());
  to.waiting_ = aFrom.getWaiting();
  to.slackMs_ = aFrom.getSlackMs();
  return to;
}

BatchGrant
Read(schema::BatchGrant::Reader aFrom)
{
  BatchGrant to;
  to.service_ = FromText(aFrom.getService());
  to.granted_ = aFrom.getGranted();
  return to;
}

ItemResult
Read(schema::ItemResult::Reader aFrom)
{
  ItemResult to;
  to.position_ = aFrom.getPosition();
  to.item_ = aFrom.getItem();
  to.name_ = FromText(aFrom.getName());
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.ran_ = ReadEnum(aFrom.getRan(), Ran::Unknown);
  to.text_ = FromData(aFrom.getText());
  to.tokens_ = aFrom.getTokens();
  to.detail_ = FromText(aFrom.getDetail());
  return to;
}

RecordRequest
Read(schema::RecordRequest::Reader aFrom)
{
  RecordRequest to;
  to.call_ = aFrom.getCall();
  to.job_ = Read(aFrom.getJob());
  to.partner_ = FromText(aFrom.getPartner());
  to.service_ = FromText(aFrom.getService());
  to.kind_ = FromText(aFrom.getKind());
  to.key_ = FromText(aFrom.getKey());
  to.digest_ = aFrom.getDigest();
  to.online_ = aFrom.getOnline();
  to.idempotent_ = aFrom.getIdempotent();
  to.deadlineUnixMs_ = aFrom.getDeadlineUnixMs();
  to.retentionS_ = aFrom.getRetentionS();
  to.maxTokens_ = aFrom.getMaxTokens();
  to.payload_ = FromData(aFrom.getPayload());
  return to;
}

RecordReply
Read(schema::RecordReply::Reader aFrom)
{
  RecordReply to;
  to.call_ = aFrom.getCall();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.state_ = ReadEnum(aFrom.getState(), RecordState::Finished);
  to.result_ = Read(aFrom.getResult());
  to.ownerHint_ = FromText(aFrom.getOwnerHint());
  to.retryAfterMs_ = aFrom.getRetryAfterMs();
  return to;
}

RecordResult
Read(schema::RecordResult::Reader aFrom)
{
  RecordResult to;
  to.call_ = aFrom.getCall();
  to.run_ = Read(aFrom.getRun());
  to.result_ = Read(aFrom.getResult());
  return to;
}

RecordResultReply
Read(schema::RecordResultReply::Reader aFrom)
{
  RecordResultReply to;
  to.call_ = aFrom.getCall();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.first_ = aFrom.getFirst();
  to.result_ = Read(aFrom.getResult());
  to.ownerHint_ = FromText(aFrom.getOwnerHint());
  return to;
}

JobDescription
Read(schema::JobDescription::Reader aFrom)
{
  JobDescription to;
  to.id_ = Read(aFrom.getId());
  to.partner_ = FromText(aFrom.getPartner());
  to.service_ = FromText(aFrom.getService());
  to.kind_ = FromText(aFrom.getKind());
  to.key_ = FromText(aFrom.getKey());
  to.digest_ = aFrom.getDigest();
  to.itemCount_ = aFrom.getItemCount();
  to.dueUnixMs_ = aFrom.getDueUnixMs();
  to.retentionS_ = aFrom.getRetentionS();
  to.maxTokens_ = aFrom.getMaxTokens();
  to.maxAttempts_ = aFrom.getMaxAttempts();
  to.online_ = aFrom.getOnline();
  to.idempotent_ = aFrom.getIdempotent();
  return to;
}

JobItem
Read(schema::JobItem::Reader aFrom)
{
  JobItem to;
  to.name_ = FromText(aFrom.getName());
  to.payload_ = FromData(aFrom.getPayload());
  return to;
}

SubmitFrame
Read(schema::SubmitFrame::Reader aFrom)
{
  SubmitFrame to;
  to.call_ = aFrom.getCall();
  to.job_ = Read(aFrom.getJob());
  to.firstItem_ = aFrom.getFirstItem();
  to.items_ = ReadList<JobItem>(aFrom.getItems());
  to.last_ = aFrom.getLast();
  return to;
}

SubmitReply
Read(schema::SubmitReply::Reader aFrom)
{
  SubmitReply to;
  to.call_ = aFrom.getCall();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.duplicate_ = aFrom.getDuplicate();
  to.job_ = Read(aFrom.getJob());
  to.ownerHint_ = FromText(aFrom.getOwnerHint());
  to.detail_ = FromText(aFrom.getDetail());
  return to;
}

GetJob
Read(schema::GetJob::Reader aFrom)
{
  GetJob to;
  to.call_ = aFrom.getCall();
  to.job_ = Read(aFrom.getJob());
  to.partner_ = FromText(aFrom.getPartner());
  return to;
}

JobStatusReply
Read(schema::JobStatusReply::Reader aFrom)
{
  JobStatusReply to;
  to.call_ = aFrom.getCall();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.state_ = ReadEnum(aFrom.getState(), JobState::Cancelled);
  to.job_ = Read(aFrom.getJob());
  to.waiting_ = aFrom.getWaiting();
  to.running_ = aFrom.getRunning();
  to.succeeded_ = aFrom.getSucceeded();
  to.failed_ = aFrom.getFailed();
  to.cancelled_ = aFrom.getCancelled();
  to.expectedFinishUnixMs_ = aFrom.getExpectedFinishUnixMs();
  to.ownerHint_ = FromText(aFrom.getOwnerHint());
  return to;
}

ReadResults
Read(schema::ReadResults::Reader aFrom)
{
  ReadResults to;
  to.call_ = aFrom.getCall();
  to.job_ = Read(aFrom.getJob());
  to.partner_ = FromText(aFrom.getPartner());
  to.from_ = aFrom.getFrom();
  to.limit_ = aFrom.getLimit();
  return to;
}

ResultsPage
Read(schema::ResultsPage::Reader aFrom)
{
  ResultsPage to;
  to.call_ = aFrom.getCall();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.items_ = ReadList<ItemResult>(aFrom.getItems());
  to.ended_ = aFrom.getEnded();
  to.ownerHint_ = FromText(aFrom.getOwnerHint());
  return to;
}

CancelJob
Read(schema::CancelJob::Reader aFrom)
{
  CancelJob to;
  to.call_ = aFrom.getCall();
  to.job_ = Read(aFrom.getJob());
  to.partner_ = FromText(aFrom.getPartner());
  return to;
}

LogEntry
Read(schema::LogEntry::Reader aFrom)
{
  LogEntry to;
  to.sequence_ = aFrom.getSequence();
  to.epoch_ = aFrom.getEpoch();
  to.payload_ = FromData(aFrom.getPayload());
  return to;
}

AppendFrame
Read(schema::AppendFrame::Reader aFrom)
{
  AppendFrame to;
  to.partition_ = aFrom.getPartition();
  to.epoch_ = aFrom.getEpoch();
  to.previousSequence_ = aFrom.getPreviousSequence();
  to.previousEpoch_ = aFrom.getPreviousEpoch();
  to.entries_ = ReadList<LogEntry>(aFrom.getEntries());
  to.trimBefore_ = aFrom.getTrimBefore();
  to.acknowledged_ = aFrom.getAcknowledged();
  return to;
}

AppendAck
Read(schema::AppendAck::Reader aFrom)
{
  AppendAck to;
  to.partition_ = aFrom.getPartition();
  to.epoch_ = aFrom.getEpoch();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.durableSequence_ = aFrom.getDurableSequence();
  return to;
}

SealPartition
Read(schema::SealPartition::Reader aFrom)
{
  SealPartition to;
  to.call_ = aFrom.getCall();
  to.partition_ = aFrom.getPartition();
  to.epoch_ = aFrom.getEpoch();
  return to;
}

SealReply
Read(schema::SealReply::Reader aFrom)
{
  SealReply to;
  to.call_ = aFrom.getCall();
  to.partition_ = aFrom.getPartition();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.epoch_ = aFrom.getEpoch();
  to.lastSequence_ = aFrom.getLastSequence();
  to.lastEpoch_ = aFrom.getLastEpoch();
  return to;
}

FetchLog
Read(schema::FetchLog::Reader aFrom)
{
  FetchLog to;
  to.call_ = aFrom.getCall();
  to.partition_ = aFrom.getPartition();
  to.epoch_ = aFrom.getEpoch();
  to.fromSequence_ = aFrom.getFromSequence();
  to.maxBytes_ = aFrom.getMaxBytes();
  return to;
}

LogPage
Read(schema::LogPage::Reader aFrom)
{
  LogPage to;
  to.call_ = aFrom.getCall();
  to.partition_ = aFrom.getPartition();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.entries_ = ReadList<LogEntry>(aFrom.getEntries());
  to.lastSequence_ = aFrom.getLastSequence();
  return to;
}

ConfigurationPart
Read(schema::ConfigurationPart::Reader aFrom)
{
  ConfigurationPart to;
  to.digest_ = aFrom.getDigest();
  to.content_ = FromData(aFrom.getContent());
  return to;
}

FetchConfiguration
Read(schema::FetchConfiguration::Reader aFrom)
{
  FetchConfiguration to;
  to.call_ = aFrom.getCall();
  to.version_ = aFrom.getVersion();
  to.wantedParts_ = ReadNumbers(aFrom.getWantedParts());
  return to;
}

ConfigurationContent
Read(schema::ConfigurationContent::Reader aFrom)
{
  ConfigurationContent to;
  to.call_ = aFrom.getCall();
  to.version_ = aFrom.getVersion();
  to.code_ = static_cast<ResultCode>(aFrom.getCode());
  to.head_ = FromData(aFrom.getHead());
  to.parts_ = ReadList<ConfigurationPart>(aFrom.getParts());
  return to;
}

using Reader = Message (*)(schema::Envelope::Reader);

/// By the envelope's discriminant.
constexpr std::array<Reader, std::variant_size_v<Message>> kReaders{ {
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getHeartbeat());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getStartRun());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getCancelRun());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getAttachRun());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getChunk());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRunEnded());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRunRecorded());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getBatchDemand());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getBatchGrant());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRecordRequest());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRecordReply());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRecordResult());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getRecordResultReply());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getSubmitFrame());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getSubmitReply());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getGetJob());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getJobStatusReply());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getReadResults());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getResultsPage());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getCancelJob());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getAppendFrame());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getAppendAck());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getSealPartition());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getSealReply());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getFetchLog());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getLogPage());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getFetchConfiguration());
  },
  [](schema::Envelope::Reader aFrom) -> Message {
    return Read(aFrom.getConfigurationContent());
  },
} };

/// A peer's bytes can lead a reader out of bounds or past its limits; Cap'n
/// Proto then throws, and what was read so far is dropped with the message.
template<typename Function>
auto
ReadSafely(Function aRead) -> base::Result<decltype(aRead())>
{
  try {
    return aRead();
  } catch (const kj::Exception& exception) {
    return base::Fail(ResultCode::MalformedMessage,
                      exception.getDescription().cStr());
  }
}

} // namespace

base::Result<Message>
Decode(schema::Envelope::Reader aFrom)
{
  const auto which = static_cast<std::size_t>(aFrom.which());
  if (which >= kReaders.size()) {
    return base::Fail(ResultCode::MalformedMessage, "unknown message type");
  }
  return ReadSafely([&] { return kReaders[which](aFrom); });
}

base::Result<Heartbeat>
Decode(schema::Heartbeat::Reader aFrom)
{
  return ReadSafely([&] { return Read(aFrom); });
}

} // namespace pumiceturn::wire
