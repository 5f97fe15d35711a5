#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::dispatch {

/// Batch credits: who has items waiting, what was granted, what came of it.
/// Credits are split in proportion to demand, and more to those short of
/// slack. Not thread-safe.
class GrantBook
{
public:
  struct Grant
  {
    std::string owner_;
    std::uint64_t granted_ = 0; ///< In total since the link came up.

    bool operator==(const Grant&) const = default;
  };

  /// @param aWaiting Items that wait at the owner for a place.
  /// @param aSlackMs Least slack among them.
  void OnDemand(std::string_view aOwner,
                std::uint32_t aWaiting,
                std::int64_t aSlackMs);

  /// Counts restart at zero on both sides.
  void OnLinkUp(std::string_view aOwner);
  void OnLinkLost(std::string_view aOwner);

  /// A batch run came from an owner, which spent a credit.
  void OnCreditUsed(std::string_view aOwner);

  /// A batch run of the owner was taken in, or is no longer here.
  void OnRunTaken(std::string_view aOwner);
  void OnRunGone(std::string_view aOwner);

  /// @return credits that may still bring a run: those not used, as far as
  /// their owner has items waiting. The rest is void until it has.
  [[nodiscard]] std::uint32_t Outstanding() const { return outstanding_; }

  /// @return whether some owner has more items waiting than credits.
  [[nodiscard]] bool HasDemand() const { return unmet_ > 0; }

  /// Grants up to a number of credits.
  /// @return the owners whose total changed, in name order.
  std::vector<Grant> Allocate(std::uint32_t aCredits);

private:
  struct Owner
  {
    std::uint32_t waiting_ = 0;
    std::int64_t slackMs_ = 0;
    std::uint64_t granted_ = 0;
    std::uint64_t received_ = 0;
    std::uint32_t here_ = 0; ///< Runs waiting or running here.
  };

  static std::uint32_t OutstandingOf(const Owner& aOwner);
  static double ClaimOf(const Owner& aOwner);
  void Recount();

  std::map<std::string, Owner, std::less<>> owners_;
  std::uint32_t outstanding_ = 0;
  std::uint64_t unmet_ = 0;
};

} // namespace pumiceturn::dispatch
