#pragma once

#include "LibBase/Time.h"
#include "LibBatch/TokenLedger.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::batch {

/// A ledger as the store had it at a revision.
struct LedgerView
{
  std::uint64_t revision_ = 0; ///< 0: none is known.
  TokenLedger ledger_;
};

/// What a learned key was.
enum class LedgerUpdateOutcome : std::uint8_t
{
  Newer,
  Old,        ///< As known, or older.
  Unreadable, ///< Taken as empty: the hosts that run jobs add their rows anew.
};

/// The ledgers as this host last saw them, and how fast tokens leave
/// them. A view may be old: a change is made under the condition that it is
/// not, and the store's refusal brings the present one. Takes the time as an
/// argument, does no I/O, is not thread-safe.
class LedgerCache
{
public:
  [[nodiscard]] const LedgerView& Of(const std::string& aLedger) const;

  /// Takes over a ledger as the store has it.
  LedgerUpdateOutcome Update(const std::string& aLedger,
                             std::string_view aValue,
                             std::uint64_t aRevision,
                             base::Instant aNow);

  /// @return when room for a job that doesn't fit now is expected, by how fast
  ///         tokens were freed of late.
  /// @param aRandom Uniform in [0, 1): spreads the returns of senders.
  [[nodiscard]] base::Duration RoomExpectedAfter(const std::string& aLedger,
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
  struct Entry
  {
    LedgerView view_;
    std::deque<Release> releases_; ///< Of the last seconds.
  };

  std::unordered_map<std::string, Entry> entries_; ///< By ledger.
};

} // namespace pumiceturn::batch
