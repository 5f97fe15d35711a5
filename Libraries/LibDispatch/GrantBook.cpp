#include "LibDispatch/GrantBook.h"

#include <algorithm>
#include <set>

namespace pumiceturn::dispatch {

namespace {

/// Weight of an owner's demand by the least slack of its items.
struct UrgencyStep
{
  std::int64_t belowSlackMs_;
  double weight_;
};

constexpr UrgencyStep kUrgency[] = {
  { 0, 8.0 },
  { 60'000, 4.0 },
  { 600'000, 2.0 },
};

double
UrgencyOf(std::int64_t aSlackMs)
{
  for (const UrgencyStep& step : kUrgency) {
    if (aSlackMs < step.belowSlackMs_) {
      return step.weight_;
    }
  }
  return 1.0;
}

} // namespace

std::uint32_t
GrantBook::OutstandingOf(const Owner& aOwner)
{
  if (aOwner.received_ >= aOwner.granted_) {
    return 0;
  }
  const std::uint64_t unused = aOwner.granted_ - aOwner.received_;
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(unused, aOwner.waiting_));
}

double
GrantBook::ClaimOf(const Owner& aOwner)
{
  // Highest averages: the next credit goes to the one with most demand for each
  // place it has or may still take.
  const double demand =
    static_cast<double>(aOwner.waiting_) * UrgencyOf(aOwner.slackMs_);
  return demand /
         (1.0 + static_cast<double>(aOwner.here_ + OutstandingOf(aOwner)));
}

void
GrantBook::OnDemand(std::string_view aOwner,
                    std::uint32_t aWaiting,
                    std::int64_t aSlackMs)
{
  Owner& owner = owners_[std::string(aOwner)];
  owner.waiting_ = aWaiting;
  owner.slackMs_ = aSlackMs;
  Recount();
}

void
GrantBook::OnLinkUp(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found == owners_.end()) {
    return;
  }
  found->second.granted_ = 0;
  found->second.received_ = 0;
  found->second.waiting_ = 0;
  Recount();
}

void
GrantBook::OnLinkLost(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found == owners_.end()) {
    return;
  }
  found->second.waiting_ = 0;
  if (found->second.here_ == 0) {
    owners_.erase(found);
  }
  Recount();
}

void
GrantBook::OnCreditUsed(std::string_view aOwner)
{
  Owner& owner = owners_[std::string(aOwner)];
  ++owner.received_;
  owner.waiting_ -= std::min(owner.waiting_, 1U);
  Recount();
}

void
GrantBook::OnRunTaken(std::string_view aOwner)
{
  ++owners_[std::string(aOwner)].here_;
}

void
GrantBook::OnRunGone(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found != owners_.end() && found->second.here_ > 0) {
    --found->second.here_;
  }
}

std::vector<GrantBook::Grant>
GrantBook::Allocate(std::uint32_t aCredits)
{
  std::set<std::string_view> changed;
  for (std::uint32_t credit = 0; credit < aCredits; ++credit) {
    const auto best =
      std::max_element(owners_.begin(),
                       owners_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         const auto claim = [](const Owner& aOwner) {
                           return aOwner.waiting_ > OutstandingOf(aOwner)
                                    ? ClaimOf(aOwner)
                                    : 0.0;
                         };
                         return claim(aLeft.second) < claim(aRight.second);
                       });
    if (best == owners_.end() ||
        best->second.waiting_ <= OutstandingOf(best->second)) {
      break;
    }
    ++best->second.granted_;
    changed.insert(best->first);
  }
  Recount();
  std::vector<Grant> grants;
  grants.reserve(changed.size());
  for (const std::string_view owner : changed) {
    grants.push_back(
      Grant{ std::string(owner), owners_.find(owner)->second.granted_ });
  }
  return grants;
}

void
GrantBook::Recount()
{
  outstanding_ = 0;
  unmet_ = 0;
  for (const auto& [name, owner] : owners_) {
    const std::uint32_t outstanding = OutstandingOf(owner);
    outstanding_ += outstanding;
    unmet_ += owner.waiting_ - outstanding;
  }
}

} // namespace pumiceturn::dispatch
