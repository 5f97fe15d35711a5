# Messages between the system's own processes. Each link carries ordered
# batches of messages in both directions; LibWire/Messages.h holds the plain
# structures that decision code works on.
@0xb3f1d6a2c4e58790;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pumiceturn::schema");

struct Id { high @0 :UInt64; low @1 :UInt64; }

struct Run { job @0 :Id; item @1 :UInt32; attempt @2 :UInt32; }

struct Suspect { fingerprint @0 :UInt64; crashes @1 :UInt16; expiresInMs @2 :UInt32; }

struct Heartbeat {
  sequence @0 :UInt64;
  configurationVersion @1 :UInt64;
  draining @2 :Bool;
  running @3 :UInt32;          # Agents: streams at the engine.
  queuedOnline @4 :UInt32;
  capacity @5 :UInt32;         # Concurrency the agent has found safe.
  expectedWaitMs @6 :UInt32;
  suspects @7 :List(Suspect);
  prefixesAdded @8 :List(UInt64);
  prefixesDropped @9 :List(UInt64);
  partitionTableRevision @10 :UInt64;
}

struct StartRun {
  run @0 :Run;
  service @1 :Text;
  kind @2 :Text;
  online @3 :Bool;
  idempotent @4 :Bool;
  wantChunks @5 :Bool;
  deadlineMs @6 :UInt32;       # Remaining; online.
  dueUnixMs @7 :Int64;         # Batch.
  fingerprint @8 :UInt64;
  prefix @9 :UInt64;
  maxTokens @10 :UInt32;
  payload @11 :Data;
  fence @12 :UInt64;           # Epoch of the owner that gives a batch run.
}

struct CancelRun { run @0 :Run; }
struct AttachRun { run @0 :Run; receivedSequence @1 :UInt64; }
struct Chunk { run @0 :Run; sequence @1 :UInt64; text @2 :Data; tokens @3 :UInt32; }
struct RunEnded {
  run @0 :Run;
  lastSequence @1 :UInt64;
  code @2 :UInt16;
  ran @3 :UInt8;
  text @4 :Data;               # Whole answer where no chunks were wanted.
  tokens @5 :UInt32;
  retryAfterMs @6 :UInt32;
  detail @7 :Text;
}
struct RunRecorded { run @0 :Run; }
struct BatchDemand { service @0 :Text; waiting @1 :UInt32; slackMs @2 :Int64; }
struct BatchGrant { service @0 :Text; granted @1 :UInt64; }  # Cumulative since the link came up.

struct RecordRequest {
  call @0 :UInt64;
  job @1 :Id;
  partner @2 :Text;
  service @3 :Text;
  kind @4 :Text;
  key @5 :Text;
  digest @6 :UInt64;
  online @7 :Bool;
  idempotent @8 :Bool;
  deadlineUnixMs @9 :Int64;
  retentionS @10 :UInt64;
  maxTokens @11 :UInt32;
  payload @12 :Data;
}
struct RecordReply {
  call @0 :UInt64;
  code @1 :UInt16;
  state @2 :UInt8;             # RecordState.
  result @3 :ItemResult;
  ownerHint @4 :Text;
  retryAfterMs @5 :UInt32;
}
struct RecordResult { call @0 :UInt64; run @1 :Run; result @2 :ItemResult; }
struct RecordResultReply {
  call @0 :UInt64;
  code @1 :UInt16;
  first @2 :Bool;              # This result is the recorded one.
  result @3 :ItemResult;       # The recorded one, where it is another.
  ownerHint @4 :Text;
}
struct ItemResult {
  position @0 :UInt32;
  item @1 :UInt32;
  name @2 :Text;
  code @3 :UInt16;
  ran @4 :UInt8;
  text @5 :Data;
  tokens @6 :UInt32;
  detail @7 :Text;
}
struct JobDescription {
  id @0 :Id;
  partner @1 :Text;
  service @2 :Text;
  kind @3 :Text;
  key @4 :Text;
  digest @5 :UInt64;
  itemCount @6 :UInt32;
  dueUnixMs @7 :Int64;
  retentionS @8 :UInt64;
  maxTokens @9 :UInt32;
  maxAttempts @10 :UInt32;
  online @11 :Bool;
  idempotent @12 :Bool;
}
struct JobItem { name @0 :Text; payload @1 :Data; }
struct SubmitFrame {
  call @0 :UInt64;
  job @1 :JobDescription;      # In every frame; itemCount is final.
  firstItem @2 :UInt32;
  items @3 :List(JobItem);
  last @4 :Bool;
}
struct SubmitReply {
  call @0 :UInt64;
  code @1 :UInt16;
  duplicate @2 :Bool;
  job @3 :JobDescription;
  ownerHint @4 :Text;
  detail @5 :Text;
}
struct GetJob { call @0 :UInt64; job @1 :Id; partner @2 :Text; }
struct JobStatusReply {
  call @0 :UInt64;
  code @1 :UInt16;
  state @2 :UInt8;
  job @3 :JobDescription;
  waiting @4 :UInt32;
  running @5 :UInt32;
  succeeded @6 :UInt32;
  failed @7 :UInt32;
  cancelled @8 :UInt32;
  expectedFinishUnixMs @9 :Int64;
  ownerHint @10 :Text;
}
struct ReadResults { call @0 :UInt64; job @1 :Id; partner @2 :Text; from @3 :UInt32; limit @4 :UInt32; }
struct ResultsPage {
  call @0 :UInt64;
  code @1 :UInt16;
  items @2 :List(ItemResult);
  ended @3 :Bool;              # The job has ended and this page reaches its end.
  ownerHint @4 :Text;
}
struct CancelJob { call @0 :UInt64; job @1 :Id; partner @2 :Text; }

struct LogEntry { sequence @0 :UInt64; epoch @1 :UInt64; payload @2 :Data; }
struct AppendFrame { partition @0 :UInt32; epoch @1 :UInt64; previousSequence @2 :UInt64; previousEpoch @3 :UInt64; entries @4 :List(LogEntry); trimBefore @5 :UInt64; acknowledged @6 :UInt64; }
struct AppendAck { partition @0 :UInt32; epoch @1 :UInt64; code @2 :UInt16; durableSequence @3 :UInt64; }
struct SealPartition { call @0 :UInt64; partition @1 :UInt32; epoch @2 :UInt64; }
struct SealReply { call @0 :UInt64; partition @1 :UInt32; code @2 :UInt16; epoch @3 :UInt64; lastSequence @4 :UInt64; lastEpoch @5 :UInt64; }
struct FetchLog { call @0 :UInt64; partition @1 :UInt32; epoch @2 :UInt64; fromSequence @3 :UInt64; maxBytes @4 :UInt32; }
struct LogPage { call @0 :UInt64; partition @1 :UInt32; code @2 :UInt16; entries @3 :List(LogEntry); lastSequence @4 :UInt64; }

struct ConfigurationPart { digest @0 :UInt64; content @1 :Data; }
struct FetchConfiguration {
  call @0 :UInt64;
  version @1 :UInt64;          # Wanted at least; 0: the highest held.
  wantedParts @2 :List(UInt64); # Empty: the head alone.
}
struct ConfigurationContent {
  call @0 :UInt64;
  version @1 :UInt64;
  code @2 :UInt16;
  head @3 :Data;               # Lists the parts and their digests.
  parts @4 :List(ConfigurationPart);
}

struct Envelope {
  union {
    heartbeat @0 :Heartbeat;
    startRun @1 :StartRun;
    cancelRun @2 :CancelRun;
    attachRun @3 :AttachRun;
    chunk @4 :Chunk;
    runEnded @5 :RunEnded;
    runRecorded @6 :RunRecorded;
    batchDemand @7 :BatchDemand;
    batchGrant @8 :BatchGrant;
    recordRequest @9 :RecordRequest;
    recordReply @10 :RecordReply;
    recordResult @11 :RecordResult;
    recordResultReply @12 :RecordResultReply;
    submitFrame @13 :SubmitFrame;
    submitReply @14 :SubmitReply;
    getJob @15 :GetJob;
    jobStatusReply @16 :JobStatusReply;
    readResults @17 :ReadResults;
    resultsPage @18 :ResultsPage;
    cancelJob @19 :CancelJob;
    appendFrame @20 :AppendFrame;
    appendAck @21 :AppendAck;
    sealPartition @22 :SealPartition;
    sealReply @23 :SealReply;
    fetchLog @24 :FetchLog;
    logPage @25 :LogPage;
    fetchConfiguration @26 :FetchConfiguration;
    configurationContent @27 :ConfigurationContent;
  }
}

struct Hello {
  host @0 :Text;
  incarnation @1 :UInt64;      # New at each process start.
  protocolVersion @2 :UInt32;
  expectedHost @3 :Text;       # Whom the dialing side wants; another refuses.
}

# The bootstrap capability of every process.
interface Peer {
  hello @0 (hello :Hello, back :Peer) -> (hello :Hello);
  deliver @1 (messages :List(Envelope)) -> ();
  heartbeat @2 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
}
