#pragma once

#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace pumiceturn::routing {

/// Quarantine state of a request's content.
enum class Suspicion : std::uint8_t
{
  None,
  Suspect, ///< One crash: runs only on endpoints without another suspect, if
           ///< possible.
  Quarantined, ///< Two crashes: refused until the record expires or is lifted.
};

/// Fingerprints of content whose runs crashed their endpoint. Agent and Entry
/// processes exchange the table in heartbeats. Thread-safe.
class QuarantineTable
{
public:
  static constexpr std::uint16_t kCrashesToQuarantine = 2;
  static constexpr base::Duration kDefaultLifetime{ std::chrono::seconds{
    600 } };
  static constexpr std::size_t kMaxEntries = 4096;

  /// @param aLifetime Time until a record expires after its last crash.
  explicit QuarantineTable(base::Duration aLifetime = kDefaultLifetime)
    : lifetime_(aLifetime)
  {
  }

  /// Records that an endpoint crashed while these runs were in flight. If some
  /// of them had crashed an endpoint before, only their crash counts are
  /// increased; otherwise all of them become suspects.
  /// @return the fingerprints whose crash count was increased.
  std::vector<std::uint64_t> RecordCrash(
    std::span<const std::uint64_t> aFingerprints,
    base::Instant aNow);

  /// Merges records received from a peer. The higher crash count is kept; a
  /// count of 0 means that an operator lifted the quarantine.
  void Merge(std::span<const wire::Suspect> aSuspects, base::Instant aNow);

  [[nodiscard]] Suspicion Check(std::uint64_t aFingerprint,
                                base::Instant aNow) const;

  /// Lifts a quarantine. Records from peers can't restore it before its
  /// original expiry.
  /// @return false if the fingerprint isn't in the table.
  bool Lift(std::uint64_t aFingerprint, base::Instant aNow);

  /// @return all records that haven't expired, lifted ones first, then by crash
  /// count and expiry. Lifted records have a crash count of 0, so that peers
  /// lift them too.
  [[nodiscard]] std::vector<wire::Suspect> List(base::Instant aNow) const;

private:
  struct Record
  {
    std::uint16_t crashes_ = 0;
    base::Instant expires_;
    bool lifted_ = false;
    /// The content crashed again after the quarantine was lifted; Merge() then
    /// ignores that peers still report it as lifted.
    bool crashedSinceLift_ = false;
  };

  /// Evicts a record if the table is full and doesn't contain the fingerprint.
  /// The caller holds the lock.
  void EvictIfFull(std::uint64_t aFingerprint, base::Instant aNow);

  base::Duration lifetime_;
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Record> records_;
};

} // namespace pumiceturn::routing
