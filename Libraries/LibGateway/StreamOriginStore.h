#pragma once

#include "LibBase/Lifetime.h"
#include "LibGateway/StreamOriginFiles.h"
#include "LibMetadata/StoreClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Keeps records of streams in the store while no worker keeps them on its
/// disk, and reads those of all hosts. Each process writes one key with a lease
/// of its own, so that the records outlive the process, but not for long. Used
/// on the event thread only.
class StreamOriginStore
{
public:
  /// Most rows of one process. A row takes about 80 bytes.
  static constexpr std::size_t kMaxRows = 4096;

  /// Receives the records that the store has.
  /// @param aSentAt When the read was sent.
  using ReadHandler =
    std::function<void(base::Instant aSentAt,
                       const std::vector<StoredOrigin>& aRows)>;

  /// @param aKeyPrefix Of the keys of all processes.
  /// @param aOwnName   Of this process; no other one has it.
  StreamOriginStore(metadata::StoreClient& aStore,
                    std::string aKeyPrefix,
                    const std::string& aOwnName);

  void SetOnRead(ReadHandler aHandler) { onRead_ = std::move(aHandler); }

  /// Adds a record of a stream of this host. Beyond kMaxRows that haven't
  /// expired, none is added.
  void Add(StoredOrigin aRow, base::WallTime aNow);

  /// Writes the records that were added, and reads if that was requested.
  /// @param aHosts Number of hosts that may write at the same time.
  void Tick(base::Instant aNow, base::WallTime aWallNow, std::size_t aHosts);

  /// Reads the records of all processes, now or soon after the last read.
  void RequestRead(base::Instant aNow);

private:
  void Expire(base::WallTime aNow);
  void Write(base::Instant aNow);
  void GrantLease(base::Instant aNow);
  void Read(base::Instant aNow);
  void ReadAfter(const std::string& aKey, base::Instant aSentAt);

  metadata::StoreClient& store_;
  std::string keyPrefix_;
  std::string ownKey_;
  ReadHandler onRead_;
  std::vector<StoredOrigin> rows_; ///< Of this process.
  bool hasUnwritten_ = false;
  std::uint64_t leftOut_ = 0; ///< Rows beyond kMaxRows.
  bool isWriting_ = false;
  base::Instant nextWriteAt_{};
  std::uint64_t lease_ = 0; ///< 0: none.
  base::Instant leaseGrantedAt_{};
  std::optional<base::Instant> readRequestedAt_;
  std::vector<StoredOrigin> readRows_; ///< Of the pages read so far.
  bool isReading_ = false;
  base::Instant sentAt_{}; ///< When the last read was sent.
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
