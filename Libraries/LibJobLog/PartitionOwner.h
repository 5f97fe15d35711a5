#pragma once

#include "LibBase/ResultCode.h"
#include "LibBase/Time.h"
#include "LibJobLog/CopyIndex.h"
#include "LibJobLog/FleetView.h"
#include "LibJobLog/PartitionReplica.h"
#include "LibPartition/PartitionTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::joblog {

/// Swaps a partition's record in the key-value service, expecting the
/// modification revision that the record carries. Ends with OnSwapApplied() or
/// OnSwapRefused(), however long a lost answer takes to resolve.
struct SwapRecord
{
  partition::PartitionRecord record_;

  bool operator==(const SwapRecord&) const = default;
};

/// Asks for the durable summary of this host's own copy: OnLogLoaded().
struct LoadLog
{
  bool operator==(const LoadLog&) const = default;
};

/// Sends a frame after filling it with entries of the own copy that follow its
/// previous sequence, as many as one frame holds.
struct SendLog
{
  std::string peer_;
  wire::AppendFrame frame_;
  /// Behind it the disk may still hold entries that are about to be replaced.
  std::uint64_t lastSequence_ = 0;

  bool operator==(const SendLog&) const = default;
};

/// Tells the application that a partition is recovered, and plays entries to
/// it: OnReplayed() when it has them all.
struct ReplayLog
{
  std::uint64_t epoch_ = 0;
  std::uint64_t firstSequence_ = 0;
  std::uint64_t lastSequence_ = 0;

  bool operator==(const ReplayLog&) const = default;
};

struct ReportOwned
{
  std::uint64_t epoch_ = 0;

  bool operator==(const ReportOwned&) const = default;
};

/// Tells the application to forget the partition.
struct ReportReleased
{
  bool operator==(const ReportReleased&) const = default;
};

/// Ends an append. Ok: durable in every recorded copy.
struct CompleteAppend
{
  std::uint64_t token_ = 0;
  base::ResultCode code_ = base::ResultCode::Ok;

  bool operator==(const CompleteAppend&) const = default;
};

using OwnerAction = std::variant<SwapRecord,
                                 SendMessage,
                                 LoadLog,
                                 SendLog,
                                 ReplayLog,
                                 ReportOwned,
                                 ReportReleased,
                                 CompleteAppend>;

/// Ownership of one partition by one host: claim, recovery, appends, copies.
/// Does no I/O; time comes as an argument. The own copy is spoken to by the
/// same messages as the others, addressed to this host.
///
/// An append is acknowledged when each copy in the record, and in a record
/// whose swap is not resolved yet, has it on disk. So any one recorded copy
/// holds all acknowledged entries, and sealing it stops this owner.
class PartitionOwner
{
public:
  using Actions = std::vector<OwnerAction>;

  struct Options
  {
    std::uint32_t partition_ = 0;
    std::string self_;
    std::string incarnation_; ///< Makes write ids unique to this process.
    std::uint32_t copies_ = 2;
    std::uint32_t minCopies_ = 2;
    base::Duration sealWait_{ base::Duration{ 300000 } };
    base::Duration copyLostAfter_{ base::Duration{ 1000000 } };
    base::Duration resendAfter_{ base::Duration{ 1000000 } };
    base::Duration appendTimeout_{ base::Duration{ 10000000 } };
  };

  enum class Phase : std::uint8_t
  {
    Following, ///< Another host owns it, or nobody.
    Claiming,
    Sealing,
    Fetching, ///< Reads what another sealed copy has beyond the own one.
    Starting, ///< Writes epochStarted to all copies; replays.
    Owned,
    Leaving, ///< Names a successor; takes no appends.
  };

  explicit PartitionOwner(Options aOptions);

  /// Begins to take the partition over.
  Actions Claim(const FleetView& aFleet, base::Instant aNow);

  /// Names another owner: at once, or when pending appends have ended.
  Actions HandOver(const std::string& aSuccessor);

  Actions OnRecord(const partition::PartitionRecord& aRecord,
                   const FleetView& aFleet,
                   base::Instant aNow);
  Actions OnSwapApplied(const std::string& aWriteId,
                        std::uint64_t aModRevision,
                        const FleetView& aFleet,
                        base::Instant aNow);
  /// @param aCurrent What the key-value service holds instead.
  Actions OnSwapRefused(const std::string& aWriteId,
                        const partition::PartitionRecord& aCurrent,
                        const FleetView& aFleet,
                        base::Instant aNow);

  Actions OnSealReply(const std::string& aPeer,
                      const wire::SealReply& aReply,
                      base::Instant aNow);
  Actions OnLogPage(const std::string& aPeer, const wire::LogPage& aPage);
  Actions OnAppendAck(const std::string& aPeer,
                      const wire::AppendAck& aAck,
                      base::Instant aNow);
  Actions OnLogLoaded(CopySummary aLog, base::Instant aNow);
  Actions OnReplayed();
  Actions OnLinkUp(const std::string& aPeer, base::Instant aNow);

  /// The queue to a peer was full and refused a frame.
  void OnSendRefused(const std::string& aPeer, const wire::AppendFrame& aFrame);
  Actions Tick(const FleetView& aFleet, base::Instant aNow);

  /// Appends payloads; a CompleteAppend with the token follows.
  Actions Append(std::vector<std::string> aPayloads,
                 std::uint64_t aToken,
                 base::Instant aNow);

  /// Entries before a sequence are not needed; copies hear it with the next
  /// frame.
  Actions Trim(std::uint64_t aBeforeSequence, base::Instant aNow);

  [[nodiscard]] Phase GetPhase() const { return phase_; }
  [[nodiscard]] bool IsOwned() const { return phase_ == Phase::Owned; }
  [[nodiscard]] std::uint64_t Epoch() const { return epoch_; }
  [[nodiscard]] const partition::PartitionRecord& Record() const
  {
    return record_;
  }
  [[nodiscard]] std::uint64_t AcknowledgedSequence() const
  {
    return acknowledged_;
  }
  /// @return the last sequence given to an append.
  [[nodiscard]] std::uint64_t LastSequence() const
  {
    return log_.lastSequence_;
  }

  /// @return whether nothing is left that time alone would bring forward, so
  /// that ticks may be left out until something else happens.
  [[nodiscard]] bool IsQuiet() const;

  /// @return everything that decides about the future, as text: two owners
  /// with equal text act alike.
  [[nodiscard]] std::string Describe(base::Instant aNow) const;

private:
  /// How far a copy is known to equal the owner's log.
  struct CopyProgress
  {
    std::string host_;
    std::uint64_t matched_ = 0; ///< Durable there and equal, up to here.
    std::uint64_t probe_ = 0;   ///< Where the next SendLog begins.
    bool isStreaming_ = false;  ///< Gets each append at once.
    bool awaitsAck_ = false;    ///< Nothing is sent until an answer comes.
    bool isRefused_ = false;    ///< The last frame found the queue full.
    base::Instant heardAt_{};   ///< Or when its silence began to count.
    base::ResultCode failure_ = base::ResultCode::Ok;
  };

  struct PendingAppend
  {
    std::uint64_t lastSequence_ = 0;
    std::uint64_t token_ = 0;
    base::Instant startedAt_{};
  };

  enum class SwapPurpose : std::uint8_t
  {
    Claim,
    Copies,
    HandOver,
  };

  struct PendingSwap
  {
    partition::PartitionRecord record_;
    SwapPurpose purpose_ = SwapPurpose::Claim;
  };

  struct SealedCopy
  {
    std::string host_;
    wire::SealReply reply_;
  };

  // Claim and recovery: PartitionOwner.cpp.
  void BeginSwap(partition::PartitionRecord aRecord,
                 SwapPurpose aPurpose,
                 Actions& aActions);
  void BeginSealing(const FleetView& aFleet,
                    base::Instant aNow,
                    Actions& aActions);
  void FinishSealing(base::Instant aNow, Actions& aActions);
  void FetchNext(Actions& aActions);
  void OnFetchAck(const wire::AppendAck& aAck, Actions& aActions);
  void LoadOwnLog(Actions& aActions);
  void BecomeOwnedIfReady(Actions& aActions);
  void Release(base::ResultCode aCode, Actions& aActions);
  void HandOverIfDrained(Actions& aActions);
  [[nodiscard]] bool IsActive() const;

  // Copies and appends: PartitionOwnerCopies.cpp.
  CopyProgress* FindCopy(std::string_view aHost);
  [[nodiscard]] const CopyProgress* FindCopy(std::string_view aHost) const;
  CopyProgress& AddCopy(const std::string& aHost,
                        std::uint64_t aProbe,
                        base::Instant aNow);
  [[nodiscard]] bool NeedsAckOf(std::string_view aHost) const;
  void AppendEntries(std::vector<std::string> aPayloads, Actions& aActions);
  [[nodiscard]] wire::AppendFrame MakeFrame(std::uint64_t aPrevious) const;
  void SendProbe(CopyProgress& aCopy, Actions& aActions);
  void ContinueCopy(CopyProgress& aCopy, Actions& aActions);
  void OnCopyMatched(CopyProgress& aCopy,
                     std::uint64_t aSequence,
                     Actions& aActions);
  void OnCopyGap(CopyProgress& aCopy,
                 std::uint64_t aSequence,
                 Actions& aActions);
  void OnCopyFailure(CopyProgress& aCopy,
                     base::ResultCode aCode,
                     Actions& aActions);
  void ForgetRecent();
  void Acknowledge(Actions& aActions);
  void ResendToSilent(const FleetView& aFleet,
                      base::Instant aNow,
                      Actions& aActions);
  void ExpireAppends(base::Instant aNow, Actions& aActions);
  [[nodiscard]] bool IsCopyLost(std::string_view aHost,
                                const FleetView& aFleet,
                                base::Instant aNow) const;
  void RepairCopies(const FleetView& aFleet,
                    base::Instant aNow,
                    Actions& aActions);
  [[nodiscard]] std::vector<std::string> ChooseCopies(const FleetView& aFleet,
                                                      base::Instant aNow) const;
  void RecruitCopies(const FleetView& aFleet,
                     base::Instant aNow,
                     Actions& aActions);
  void DropUnrecorded();

  Options options_;
  Phase phase_ = Phase::Following;
  partition::PartitionRecord record_; ///< As last known to be in force.
  std::uint64_t epoch_ = 0;           ///< Of this ownership; 0 while following.
  std::uint64_t nextWrite_ = 1;
  std::optional<PendingSwap> swap_;
  std::string successor_; ///< Of phase Leaving.

  std::vector<SealedCopy> sealed_;
  std::vector<std::string> sealAsked_;
  base::Instant sealDeadline_{};
  std::string fetchFrom_;
  std::uint64_t fetchLast_ = 0;
  std::uint64_t fetchProbe_ = 0;

  CopySummary log_; ///< Of the owner's log, its end not yet durable.
  std::uint64_t epochStart_ = 0;
  bool isReplayed_ = false;
  bool isReported_ = false; ///< The application heard of the recovery.
  std::uint64_t acknowledged_ = 0;
  std::uint64_t trimBefore_ = 1;
  bool isShort_ = false; ///< Too few copies can be reached.
  std::vector<CopyProgress> copies_;
  // Lists, since an empty deque of each of thousands of partitions holds half a
  // kilobyte.
  /// Entries that the own disk does not have yet.
  std::list<wire::LogEntry> recent_;
  std::list<PendingAppend> pending_;
};

} // namespace pumiceturn::joblog
