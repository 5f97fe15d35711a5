#pragma once

#include "LibBase/ResultCode.h"
#include "LibJobLog/CopyIndex.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::joblog {

/// Writes entries behind the copy's log; those held from the first one's
/// sequence on become void.
struct StoreEntries
{
  std::vector<wire::LogEntry> entries_;

  bool operator==(const StoreEntries&) const = default;
};

struct StoreState
{
  CopyState state_;

  bool operator==(const StoreState&) const = default;
};

/// Forgets the whole copy and begins it with a state.
struct StoreReset
{
  CopyState state_;

  bool operator==(const StoreReset&) const = default;
};

/// Sends a message to a peer, which may be this host itself.
struct SendMessage
{
  std::string peer_;
  wire::Message message_;

  bool operator==(const SendMessage&) const = default;
};

using ReplicaAction =
  std::variant<StoreEntries, StoreState, StoreReset, SendMessage>;

/// One host's copy of a partition's log: what it accepts, refuses and
/// acknowledges. Does no I/O: the caller carries out the actions in order, and
/// reports each Store... action's end, in the same order.
///
/// A copy refuses frames of epochs older than the one it was sealed for. That
/// is what stops an owner that was paused past its takeover: it needs the
/// acknowledgement of each recorded copy, and at least one has been sealed.
class PartitionReplica
{
public:
  using Actions = std::vector<ReplicaAction>;

  /// @param aDurable What the disk holds.
  PartitionReplica(std::uint32_t aPartition, CopySummary aDurable);

  Actions OnAppend(const std::string& aPeer, wire::AppendFrame aFrame);
  Actions OnSeal(const std::string& aPeer, const wire::SealPartition& aSeal);

  /// Tells the epoch that the key-value service has recorded, 0 for none, from
  /// a read begun after this process did. Older owners are refused from then
  /// on. Until it is known, a copy that is not whole accepts nothing: an owner
  /// that slept through its takeover would call it whole by an outdated log.
  void OnRecordedEpoch(std::uint64_t aEpoch);

  /// Reports the end of the oldest Store... action not yet reported.
  Actions OnStored(base::ResultCode aCode);

  /// @return whether a write failed and all others have ended: what the copy
  /// holds is only known from the disk then, and Reload() must follow.
  [[nodiscard]] bool NeedsReload() const;
  void Reload(CopySummary aDurable);

  /// Tells that an entry on disk turned out to be damaged.
  void MarkDamaged() { accepted_.damaged_ = true; }

  /// @return whether the copy holds every record that was acknowledged while
  /// it was a recorded copy, so that its host may take the partition over.
  [[nodiscard]] bool IsWhole() const;

  /// @return what was accepted; its end may not be durable yet.
  [[nodiscard]] const CopySummary& Accepted() const { return accepted_; }

private:
  struct WaitingReply
  {
    std::uint64_t neededStores_ = 0;
    std::string peer_;
    wire::Message message_;

    bool operator==(const WaitingReply&) const = default;
  };

  /// @return why a frame of an epoch is not accepted now, or Ok.
  [[nodiscard]] base::ResultCode CheckEpoch(std::uint64_t aEpoch) const;
  [[nodiscard]] std::uint64_t NewestEpoch() const;
  [[nodiscard]] wire::AppendAck MakeAck(base::ResultCode aCode,
                                        std::uint64_t aSequence) const;
  void AdoptEpoch(std::uint64_t aEpoch, Actions& aActions);
  void ResetIfUnusable(const wire::AppendFrame& aFrame, Actions& aActions);
  [[nodiscard]] bool Matches(const wire::AppendFrame& aFrame) const;
  [[nodiscard]] std::uint64_t LastPossibleMatch(
    const wire::AppendFrame& aFrame) const;
  std::uint64_t AcceptEntries(wire::AppendFrame& aFrame, Actions& aActions);
  void AdoptProgress(const wire::AppendFrame& aFrame,
                     std::uint64_t aMatched,
                     Actions& aActions);
  void Store(ReplicaAction aAction, Actions& aActions);
  void ReplyWhenStored(const std::string& aPeer,
                       wire::Message aMessage,
                       Actions& aActions);

  std::uint32_t partition_;
  CopySummary accepted_;
  std::optional<std::uint64_t> recordedEpoch_;
  std::uint64_t issuedStores_ = 0;
  std::uint64_t endedStores_ = 0;
  base::ResultCode failure_ = base::ResultCode::Ok;
  std::list<WaitingReply> replies_;
};

} // namespace pumiceturn::joblog
