#pragma once

#include "LibBase/Ids.h"
#include "LibBase/ResultCode.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Plain forms of the messages in Schema/Wire.capnp, for decision code. Times
/// named "...UnixMs_" are wall-clock; "...Ms_" are durations; both in
/// milliseconds.
namespace pumiceturn::wire {

using base::JobId;
using base::Ran;
using base::ResultCode;
using base::RunId;

/// A content fingerprint that crashed an endpoint.
struct Suspect
{
  std::uint64_t fingerprint_ = 0;
  std::uint16_t crashes_ = 0;
  std::uint32_t expiresInMs_ = 0;

  bool operator==(const Suspect&) const = default;
};

struct Heartbeat
{
  std::uint64_t sequence_ = 0;
  std::uint64_t configurationVersion_ = 0;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t queuedOnline_ = 0;
  std::uint32_t capacity_ = 0;
  std::uint32_t expectedWaitMs_ = 0;
  std::vector<Suspect> suspects_;
  std::vector<std::uint64_t> prefixesAdded_;
  std::vector<std::uint64_t> prefixesDropped_;
  std::uint64_t partitionTableRevision_ = 0;

  bool operator==(const Heartbeat&) const = default;
};

struct StartRun
{
  RunId run_;
  std::string service_;
  std::string kind_;
  bool online_ = false;
  bool idempotent_ = true;
  bool wantChunks_ = false;
  std::uint32_t deadlineMs_ = 0;
  std::int64_t dueUnixMs_ = 0;
  std::uint64_t fingerprint_ = 0;
  std::uint64_t prefix_ = 0;
  std::uint32_t maxTokens_ = 0;
  std::string payload_;
  std::uint64_t fence_ = 0;

  bool operator==(const StartRun&) const = default;
};

struct CancelRun
{
  RunId run_;

  bool operator==(const CancelRun&) const = default;
};

/// Asks for a run's messages after the sequence number received so far.
struct AttachRun
{
  RunId run_;
  std::uint64_t receivedSequence_ = 0;

  bool operator==(const AttachRun&) const = default;
};

struct Chunk
{
  RunId run_;
  std::uint64_t sequence_ = 0;
  std::string text_;
  std::uint32_t tokens_ = 0;

  bool operator==(const Chunk&) const = default;
};

/// The end of a run, or its refusal (ran_ is then NotRun).
struct RunEnded
{
  RunId run_;
  std::uint64_t lastSequence_ = 0;
  ResultCode code_ = ResultCode::Ok;
  Ran ran_ = Ran::Unspecified;
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::uint32_t retryAfterMs_ = 0;
  std::string detail_;

  bool operator==(const RunEnded&) const = default;
};

/// The result is durable: the agent may forget the run.
struct RunRecorded
{
  RunId run_;

  bool operator==(const RunRecorded&) const = default;
};

struct BatchDemand
{
  std::string service_;
  std::uint32_t waiting_ = 0;
  std::int64_t slackMs_ = 0;

  bool operator==(const BatchDemand&) const = default;
};

struct BatchGrant
{
  std::string service_;
  std::uint64_t granted_ = 0;

  bool operator==(const BatchGrant&) const = default;
};

struct ItemResult
{
  std::uint32_t position_ = 0;
  std::uint32_t item_ = 0;
  std::string name_;
  ResultCode code_ = ResultCode::Ok;
  Ran ran_ = Ran::Unspecified;
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::string detail_;

  bool operator==(const ItemResult&) const = default;
};

/// What the owner already holds for a request key.
enum class RecordState : std::uint8_t
{
  New = 0,      ///< Accepted now; the sender runs it.
  Running = 1,  ///< Accepted before, no result yet; another reply follows then.
  Finished = 2, ///< The result is in the reply.
};

struct RecordRequest
{
  std::uint64_t call_ = 0;
  JobId job_;
  std::string partner_;
  std::string service_;
  std::string kind_;
  std::string key_;
  std::uint64_t digest_ = 0;
  bool online_ = true;
  bool idempotent_ = true;
  std::int64_t deadlineUnixMs_ = 0;
  std::uint64_t retentionS_ = 0;
  std::uint32_t maxTokens_ = 0;
  std::string payload_;

  bool operator==(const RecordRequest&) const = default;
};

struct RecordReply
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  RecordState state_ = RecordState::New;
  ItemResult result_;
  std::string ownerHint_;
  std::uint32_t retryAfterMs_ = 0;

  bool operator==(const RecordReply&) const = default;
};

struct RecordResult
{
  std::uint64_t call_ = 0;
  RunId run_;
  ItemResult result_;

  bool operator==(const RecordResult&) const = default;
};

struct RecordResultReply
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  bool first_ = false;
  ItemResult result_;
  std::string ownerHint_;

  bool operator==(const RecordResultReply&) const = default;
};

struct JobDescription
{
  JobId id_;
  std::string partner_;
  std::string service_;
  std::string kind_;
  std::string key_;
  std::uint64_t digest_ = 0;
  std::uint32_t itemCount_ = 0;
  std::int64_t dueUnixMs_ = 0;
  std::uint64_t retentionS_ = 0;
  std::uint32_t maxTokens_ = 0;
  std::uint32_t maxAttempts_ = 0;
  bool online_ = false;
  bool idempotent_ = true;

  bool operator==(const JobDescription&) const = default;
};

struct JobItem
{
  std::string name_;
  std::string payload_;

  bool operator==(const JobItem&) const = default;
};

struct SubmitFrame
{
  std::uint64_t call_ = 0;
  JobDescription job_;
  std::uint32_t firstItem_ = 0;
  std::vector<JobItem> items_;
  bool last_ = false;

  bool operator==(const SubmitFrame&) const = default;
};

struct SubmitReply
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  bool duplicate_ = false;
  JobDescription job_;
  std::string ownerHint_;
  std::string detail_;

  bool operator==(const SubmitReply&) const = default;
};

struct GetJob
{
  std::uint64_t call_ = 0;
  JobId job_;
  std::string partner_;

  bool operator==(const GetJob&) const = default;
};

enum class JobState : std::uint8_t
{
  Unspecified = 0,
  Running = 1,
  Finished = 2,
  Cancelled = 3,
};

struct JobStatusReply
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  JobState state_ = JobState::Unspecified;
  JobDescription job_;
  std::uint32_t waiting_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t succeeded_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t cancelled_ = 0;
  std::int64_t expectedFinishUnixMs_ = 0;
  std::string ownerHint_;

  bool operator==(const JobStatusReply&) const = default;
};

struct ReadResults
{
  std::uint64_t call_ = 0;
  JobId job_;
  std::string partner_;
  std::uint32_t from_ = 0;
  std::uint32_t limit_ = 0;

  bool operator==(const ReadResults&) const = default;
};

struct ResultsPage
{
  std::uint64_t call_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::vector<ItemResult> items_;
  bool ended_ = false;
  std::string ownerHint_;

  bool operator==(const ResultsPage&) const = default;
};

/// Answered by a JobStatusReply.
struct CancelJob
{
  std::uint64_t call_ = 0;
  JobId job_;
  std::string partner_;

  bool operator==(const CancelJob&) const = default;
};

struct LogEntry
{
  std::uint64_t sequence_ = 0;
  std::uint64_t epoch_ = 0;
  std::string payload_;

  bool operator==(const LogEntry&) const = default;
};

struct AppendFrame
{
  std::uint32_t partition_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t previousSequence_ = 0;
  std::uint64_t previousEpoch_ = 0;
  std::vector<LogEntry> entries_;
  std::uint64_t trimBefore_ = 0;   ///< Records before it are not needed.
  std::uint64_t acknowledged_ = 0; ///< Last one acknowledged by the owner.

  bool operator==(const AppendFrame&) const = default;
};

struct AppendAck
{
  std::uint32_t partition_ = 0;
  std::uint64_t epoch_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::uint64_t durableSequence_ = 0;

  bool operator==(const AppendAck&) const = default;
};

struct SealPartition
{
  std::uint64_t call_ = 0;
  std::uint32_t partition_ = 0;
  std::uint64_t epoch_ = 0;

  bool operator==(const SealPartition&) const = default;
};

struct SealReply
{
  std::uint64_t call_ = 0;
  std::uint32_t partition_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::uint64_t epoch_ = 0;
  std::uint64_t lastSequence_ = 0;
  std::uint64_t lastEpoch_ = 0;

  bool operator==(const SealReply&) const = default;
};

struct FetchLog
{
  std::uint64_t call_ = 0;
  std::uint32_t partition_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t fromSequence_ = 0;
  std::uint32_t maxBytes_ = 0;

  bool operator==(const FetchLog&) const = default;
};

struct LogPage
{
  std::uint64_t call_ = 0;
  std::uint32_t partition_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::vector<LogEntry> entries_;
  std::uint64_t lastSequence_ = 0;

  bool operator==(const LogPage&) const = default;
};

/// One immutable piece of a configuration, named by the digest of its content.
struct ConfigurationPart
{
  std::uint64_t digest_ = 0;
  std::string content_;

  bool operator==(const ConfigurationPart&) const = default;
};

struct FetchConfiguration
{
  std::uint64_t call_ = 0;
  std::uint64_t version_ = 0;
  std::vector<std::uint64_t> wantedParts_;

  bool operator==(const FetchConfiguration&) const = default;
};

struct ConfigurationContent
{
  std::uint64_t call_ = 0;
  std::uint64_t version_ = 0;
  ResultCode code_ = ResultCode::Ok;
  std::string head_;
  std::vector<ConfigurationPart> parts_;

  bool operator==(const ConfigurationContent&) const = default;
};

using Message = std::variant<Heartbeat,
                             StartRun,
                             CancelRun,
                             AttachRun,
                             Chunk,
                             RunEnded,
                             RunRecorded,
                             BatchDemand,
                             BatchGrant,
                             RecordRequest,
                             RecordReply,
                             RecordResult,
                             RecordResultReply,
                             SubmitFrame,
                             SubmitReply,
                             GetJob,
                             JobStatusReply,
                             ReadResults,
                             ResultsPage,
                             CancelJob,
                             AppendFrame,
                             AppendAck,
                             SealPartition,
                             SealReply,
                             FetchLog,
                             LogPage,
                             FetchConfiguration,
                             ConfigurationContent>;

} // namespace pumiceturn::wire
