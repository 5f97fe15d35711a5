#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::dispatch {

/// Tracks the batch credits of each owner (the Keeper that owns a partition of
/// the jobs and sends its items here): demand, credits granted and credits
/// used. Credits are split in proportion to demand, weighted towards owners
/// with little slack. Not thread-safe.
class CreditLedger
{
public:
  struct Grant
  {
    std::string owner_;
    std::uint64_t granted_ = 0; ///< Total since the link came up.

    bool operator==(const Grant&) const = default;
  };

  /// @param aWaiting Number of items waiting at the owner.
  /// @param aSlackMs Smallest slack of these items in milliseconds.
  void SetDemand(std::string_view aOwner,
                 std::uint32_t aWaiting,
                 std::int64_t aSlackMs);

  /// Resets the owner's credits; both sides count from zero on a new link.
  void OnLinkUp(std::string_view aOwner);

  /// The owner's unused credits no longer count as outstanding.
  void OnLinkLost(std::string_view aOwner);

  /// A batch run arrived from the owner and used a credit.
  void OnCreditUsed(std::string_view aOwner);

  /// A batch run of the owner was accepted.
  void OnRunAccepted(std::string_view aOwner);

  /// A batch run of the owner ended.
  void OnRunRemoved(std::string_view aOwner);

  /// @return the number of unused credits of all owners, for each owner at most
  /// the number of its waiting items.
  [[nodiscard]] std::uint32_t Outstanding() const { return outstanding_; }

  /// @return whether any owner has more items waiting than unused credits.
  [[nodiscard]] bool HasUnmetDemand() const { return unmetDemand_ > 0; }

  /// Grants up to aCredits credits.
  /// @return the owners whose total changed, ordered by name.
  std::vector<Grant> Allocate(std::uint32_t aCredits);

private:
  struct Owner
  {
    std::uint32_t waiting_ = 0;
    std::int64_t slackMs_ = 0;
    std::uint64_t granted_ = 0;
    std::uint64_t used_ = 0;
    std::uint32_t activeRuns_ = 0; ///< Runs queued or running at this endpoint.
  };

  static std::uint32_t OutstandingOf(const Owner& aOwner);
  static double PriorityOf(const Owner& aOwner);
  void UpdateTotals();

  std::map<std::string, Owner, std::less<>> owners_;
  std::uint32_t outstanding_ = 0;
  std::uint64_t unmetDemand_ = 0;
};

} // namespace pumiceturn::dispatch
