#pragma once

#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace pumiceturn::routing {

/// What is known about a request's content.
enum class Suspicion : std::uint8_t
{
  None,
  Suspect,     ///< One crash: it may run, but beside no other suspect.
  Quarantined, ///< Two crashes: it is not run again until it expires or is
               ///< lifted.
};

/// Content fingerprints whose runs ended with a crash of their endpoint. Agents
/// and entries exchange them on heartbeats. Thread-safe.
class QuarantineTable
{
public:
  static constexpr std::uint16_t kCrashesToQuarantine = 2;
  static constexpr base::Duration kDefaultLifetime{ std::chrono::seconds{
    600 } };
  static constexpr std::size_t kMaxEntries = 4096;

  /// @param aLifetime How long a crash is remembered.
  explicit QuarantineTable(base::Duration aLifetime = kDefaultLifetime)
    : lifetime_(aLifetime)
  {
  }

  /// Records that an endpoint crashed with these runs in flight. If some of
  /// them were suspect before, only those are blamed; otherwise each becomes a
  /// suspect.
  /// @return the fingerprints whose crash count grew.
  std::vector<std::uint64_t> RecordCrash(
    std::span<const std::uint64_t> aFingerprints,
    base::Instant aNow);

  /// Takes over what a peer knows: the higher count wins, and a count of 0 says
  /// that operators lifted it.
  void Merge(std::span<const wire::Suspect> aSuspects, base::Instant aNow);

  [[nodiscard]] Suspicion Check(std::uint64_t aFingerprint,
                                base::Instant aNow) const;

  /// @return true if it was known. A lifted fingerprint is not taken back from
  /// peers until its former expiry.
  bool Lift(std::uint64_t aFingerprint, base::Instant aNow);

  /// @return everything not expired, for heartbeats and operators; what was
  /// lifted has a count of 0, so that peers hear of it. What
  /// a peer needs most comes first.
  [[nodiscard]] std::vector<wire::Suspect> List(base::Instant aNow) const;

private:
  struct Entry
  {
    std::uint16_t crashes_ = 0;
    base::Instant expires_;
    bool lifted_ = false;
    /// It crashed again after it was lifted: peers that still know it as lifted
    /// do not lift it here once more.
    bool crashedSinceLift_ = false;
  };

  /// Keeps the table bounded before an entry is added; holds the lock.
  void MakeRoom(std::uint64_t aFingerprint, base::Instant aNow);

  base::Duration lifetime_;
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace pumiceturn::routing
