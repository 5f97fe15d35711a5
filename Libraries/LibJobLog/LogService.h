#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibJobLog/LogPosition.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::joblog {

struct LogOptions;
struct LogPorts;

/// A keeper's part in the replicated log: its copy on disk, ownership of
/// partitions, takeover, sealing, repair of lost copies, retention.
/// Thread-safe. Handlers are called in log order for one partition, without any
/// of the service's locks held.
class LogService
{
public:
  struct Handlers
  {
    /// This host begins to recover a partition under a new epoch; replayed
    /// records follow, then owned_.
    std::function<void(std::uint32_t aPartition, std::uint64_t aEpoch)>
      recovering_;
    std::function<void(std::uint32_t aPartition,
                       std::uint64_t aSequence,
                       LogPosition aPosition,
                       std::string_view aRecord)>
      replay_;
    /// New work may be appended from now on.
    std::function<void(std::uint32_t aPartition, std::uint64_t aEpoch)> owned_;
    /// Another host owns the partition now: forget its state.
    std::function<void(std::uint32_t aPartition)> released_;
  };

  /// Called once, when the records are durable in every copy, or will not be
  /// acknowledged (StaleEpoch, NotOwner, DiskFull, TooFewCopies). After a
  /// failure the records may still come back in a later replay.
  using Appended = std::function<void(base::ResultCode aCode,
                                      std::span<const LogPosition> aPositions)>;

  /// Opens the data folder, cuts a torn tail, and begins to claim partitions.
  /// Also follows the partition table for the whole process.
  static base::Result<std::unique_ptr<LogService>> Start(node::Context aContext,
                                                         Handlers aHandlers);
  /// As above, with what it needs from the process given one by one.
  static base::Result<std::unique_ptr<LogService>>
  Start(const LogOptions& aOptions, const LogPorts& aPorts, Handlers aHandlers);
  ~LogService();
  LogService(const LogService&) = delete;
  LogService& operator=(const LogService&) = delete;

  /// A larger record would fill a link's queue alone.
  static constexpr std::size_t kMaxRecordBytes = 4U << 20U;

  /// Appends records to an owned partition as one unit of the group sync.
  /// ItemTooLarge for a record above kMaxRecordBytes.
  void Append(std::uint32_t aPartition,
              std::vector<std::string> aRecords,
              Appended aDone);

  /// Reads a record's payload back.
  /// @return CorruptRecord or InputOutput when it cannot be read.
  base::Result<std::string> Read(LogPosition aPosition) const;

  /// Tells that no record before a sequence is needed any more (retention).
  void Trim(std::uint32_t aPartition, std::uint64_t aBeforeSequence);

  /// Takes AppendFrame, AppendAck, SealPartition, SealReply, FetchLog and
  /// LogPage.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  [[nodiscard]] bool IsOwned(std::uint32_t aPartition) const;
  [[nodiscard]] std::uint64_t EpochOf(std::uint32_t aPartition) const;
  [[nodiscard]] bool HasRoom() const;

  /// Hands owned partitions to other keepers, for a graceful shutdown.
  void HandOver();

  /// Makes what was stored durable and begins nothing further. Appends that
  /// have not ended are not reported any more.
  void Stop();

private:
  struct State;
  explicit LogService(std::shared_ptr<State> aState);
  /// Shared with tasks on the worker pool, which may end after Stop().
  std::shared_ptr<State> state_;
};

} // namespace pumiceturn::joblog
