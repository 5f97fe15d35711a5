#pragma once

#include "LibBase/Time.h"
#include "LibBatch/TokenLedger.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::batch {

/// A ledger at a revision of the store.
struct LedgerView
{
  std::uint64_t revision_ = 0; ///< 0: not read yet.
  TokenLedger ledger_;
};

/// The outcome of applying a ledger value to the cache.
enum class LedgerUpdateOutcome : std::uint8_t
{
  Applied,
  Stale,     ///< Not newer than the cached revision.
  Malformed, ///< Treated as empty; the owners of jobs add their rows again.
};

/// Caches the ledgers read from the store and tracks how fast their tokens are
/// released. A cached ledger may be stale, so a transaction that writes a
/// ledger must expect its revision; after a conflict, the response contains the
/// current ledger. Not thread-safe.
class LedgerCache
{
public:
  [[nodiscard]] const LedgerView& Get(const std::string& aLedger) const;

  /// Applies a ledger value read from the store, if it is newer.
  LedgerUpdateOutcome Update(const std::string& aLedger,
                             std::string_view aValue,
                             std::uint64_t aRevision,
                             base::Instant aNow);

  /// Estimates when a job will fit within the cap, from the rate at which
  /// tokens were released recently.
  /// @param aRandom Jitter, uniform in [0, 1).
  /// @return the time after which the submitter should retry.
  [[nodiscard]] base::Duration EstimateRetryDelay(const std::string& aLedger,
                                                  std::uint64_t aTokens,
                                                  std::uint64_t aCap,
                                                  base::Instant aNow,
                                                  double aRandom) const;

private:
  struct Release
  {
    base::Instant at_;
    std::uint64_t tokens_ = 0;
  };
  struct CachedLedger
  {
    LedgerView view_;
    std::deque<Release> releases_; ///< Within the rate window.
  };

  std::unordered_map<std::string, CachedLedger>
    entries_; ///< Keyed by ledger name.
};

} // namespace pumiceturn::batch
