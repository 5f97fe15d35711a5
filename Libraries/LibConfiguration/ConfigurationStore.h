#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibConfiguration/Parts.h"
#include "LibConfiguration/SwapDecision.h"
#include "LibPlatform/Backoff.h"
#include "LibPlatform/KeyValueClient.h"

#include <Declarations.pb.h>
#include <Stored.pb.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::configuration {

/// The declarations are in force, or were already.
struct Applied
{
  std::uint64_t version_ = 0;
  bool unchanged_ = false; ///< They were in force before; nothing was written.
};

/// The configuration changed since the expected version; nothing was written.
/// Callers hear it as VersionConflict.
struct Conflict
{
  std::uint64_t currentVersion_ = 0;
  std::string difference_; ///< From the expected version to the current one.
};

using ApplyOutcome = std::variant<Applied, Conflict>;

/// One version, without its content.
struct HistoryEntry
{
  std::uint64_t version_ = 0;
  std::string author_;
  std::string comment_;
  std::int64_t appliedUnixMs_ = 0;
};

enum class DrainOrder : std::uint8_t
{
  Drain,
  Return, ///< Take the host back into service.
};

/// The configuration in the platform's key-value service. Its calls block.
/// Thread-safe.
class ConfigurationStore
{
public:
  using Checker =
    std::function<base::Result<void>(const declarations::Declarations&)>;

  struct Options
  {
    std::string keyPrefix_ = "/pumiceturn/";
    std::uint32_t partnerBuckets_ = kPartnerBuckets;
    std::uint32_t attempts_ = 8; ///< Of one change, while calls fail.
    platform::Backoff::Limits backoff_;
    std::uint64_t versionsKept_ = 1000; ///< Of the history.
    std::uint64_t collectEvery_ = 64;   ///< Versions between collections.
    /// Waits between attempts. Empty: sleeps.
    std::function<void(base::Duration)> wait_;
  };

  /// One change as an operator gives it.
  struct Change
  {
    const declarations::Declarations& declarations_;
    std::uint64_t expectedVersion_ = 0;
    std::string author_;
    std::string comment_;
    base::WallTime now_;
  };

  /// @param aClient Outlives the store.
  /// @param aChecker Refuses declarations that are not sound.
  ConfigurationStore(platform::KeyValueClient& aClient,
                     Options aOptions,
                     Checker aChecker);

  /// Puts declarations in force, if those of the expected version still are.
  /// @return the checker's failure; PlatformUnavailable or BudgetExhausted:
  /// surely not in force; PlatformOutcomeUnknown: the service would not say
  /// within the attempts, so it may be or become in force; applying the same
  /// again is safe.
  base::Result<ApplyOutcome> Apply(const Change& aChange);

  /// Drains a host, or takes it back. Commutes with other changes, so it is
  /// tried again when one came first.
  /// @return the version in force with it.
  base::Result<std::uint64_t> Drain(const std::string& aHost,
                                    DrainOrder aOrder,
                                    const std::string& aAuthor,
                                    base::WallTime aNow);

  /// @return the last versions, newest first.
  base::Result<std::vector<HistoryEntry>> History(std::uint32_t aLimit);

  /// @param aVersion 0: the one in force.
  /// @return VersionUnknown where it is not kept.
  base::Result<declarations::Configuration> Get(std::uint64_t aVersion);

  /// Deletes history beyond what is kept, and parts that no kept version lists.
  /// Apply() and Drain() call it now and then.
  base::Result<void> CollectGarbage();

private:
  /// A head as it was read.
  struct HeldHead
  {
    stored::ConfigurationHead head_;
    std::uint64_t revision_ = 0; ///< 0: there is none yet.
  };

  /// What became of a change, without its reason.
  enum class Verdict : std::uint8_t
  {
    Accepted,
    Refused,
  };

  base::Result<HeldHead> ReadHead();
  base::Result<std::optional<stored::ConfigurationHead>> ReadHistory(
    std::uint64_t aVersion);
  base::Result<PartTable> ReadParts(const std::vector<std::uint64_t>& aDigests);
  base::Result<bool> IsExpected(std::uint64_t aExpectedVersion,
                                const HeldHead& aCurrent);
  base::Result<Verdict> Write(const HeldHead& aBase,
                              const stored::ConfigurationHead& aNext,
                              const PartTable& aNewParts);
  base::Result<void> PutParts(const PartTable& aParts);
  base::Result<void> PutBatch(const std::vector<platform::Swap>& aBatch);
  base::Result<Verdict> Settle(const HeldHead& aBase,
                               const stored::ConfigurationHead& aNext,
                               const std::vector<platform::Swap>& aSwaps);
  void SendSwap(const std::vector<platform::Swap>& aSwaps,
                SwapDecision& aDecision,
                platform::Backoff& aBackoff);
  void LookAtHead(SwapDecision& aDecision, platform::Backoff& aBackoff);
  void LookAtHistory(std::uint64_t aVersion,
                     SwapDecision& aDecision,
                     platform::Backoff& aBackoff);
  base::Result<void> DeleteOldHistory(
    std::uint64_t aCurrent,
    std::vector<platform::KeyValue>& aHistory);
  base::Result<void> DeleteInBatches(
    const std::vector<platform::KeyValue>& aEntries);
  void CollectSometimes(std::uint64_t aVersion);
  base::Result<Conflict> DescribeConflict(std::uint64_t aExpectedVersion);
  base::Result<std::string> DescribeSince(
    std::uint64_t aVersion,
    const stored::ConfigurationHead& aCurrent);
  void WaitAfterFailure(platform::Backoff& aBackoff);

  platform::KeyValueClient& client_;
  Options options_;
  Checker checker_;
};

} // namespace pumiceturn::configuration
