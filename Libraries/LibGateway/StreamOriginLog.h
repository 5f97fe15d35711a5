#pragma once

#include "LibBase/Lifetime.h"
#include "LibGateway/DiskThread.h"
#include "LibGateway/StreamOriginFiles.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <vector>

namespace pumiceturn::gateway {

/// Writes this host's records of streams to its disk in the background, so that
/// they are known after all hosts were lost together. Rows are written at once,
/// those that arrive during a write together afterwards, and outlive the
/// process; they are synced a few times a second, so that a power failure loses
/// the last ones. Must be used on the event thread.
class StreamOriginLog
{
public:
  /// Receives the rows of the former process.
  using ReadHandler = std::function<void(std::vector<StoredOrigin>)>;

  StreamOriginLog(boost::asio::io_context& aContext,
                  const std::filesystem::path& aFolder,
                  ReadHandler aOnRead);

  /// Reads the rows of the former process.
  void Start();

  /// @return whether these rows have been read, or can't be.
  [[nodiscard]] bool HasBeenRead() const { return hasBeenRead_; }

  /// @return whether rows that are added reach the disk soon.
  [[nodiscard]] bool IsKeepingUp(base::Instant aNow) const;

  /// Adds a row. Beyond a limit, rows are kept in memory alone.
  void Add(StoredOrigin aRow);

  /// Syncs the rows that were written.
  void Tick(base::Instant aNow);

private:
  void OnRead(StreamOriginFiles::ReadOutcome& aOutcome);
  void WritePending();
  void OnWritten(const std::optional<base::Failure>& aError);
  /// Records whether writes or syncs fail, and logs when that changes.
  void RecordOutcome(bool& aHasFailed,
                     const std::optional<base::Failure>& aError);

  ReadHandler onRead_;
  std::vector<StoredOrigin> pending_;
  std::uint64_t leftOut_ = 0; ///< Rows beyond the limit.
  base::Instant writtenAt_{};
  base::Instant syncedAt_{};
  bool hasUnsynced_ = false;
  bool isSyncing_ = false;
  bool hasBeenRead_ = false;
  bool isWriting_ = false;
  bool areWritesFailing_ = false;
  bool areSyncsFailing_ = false;
  /// Used on the disk thread only. Declared before it, so that the thread ends
  /// first.
  StreamOriginFiles files_;
  DiskThread disk_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
