#include "LibDispatch/CreditLedger.h"

#include <algorithm>
#include <set>

namespace pumiceturn::dispatch {

namespace {

/// Weight of an owner's demand, by the smallest slack of its items.
struct SlackWeight
{
  std::int64_t belowSlackMs_;
  double weight_;
};

constexpr SlackWeight kSlackWeights[] = {
  { 0, 8.0 },
  { 60'000, 4.0 },
  { 600'000, 2.0 },
};

double
WeightOf(std::int64_t aSlackMs)
{
  for (const SlackWeight& step : kSlackWeights) {
    if (aSlackMs < step.belowSlackMs_) {
      return step.weight_;
    }
  }
  return 1.0;
}

} // namespace

std::uint32_t
CreditLedger::OutstandingOf(const Owner& aOwner)
{
  if (aOwner.used_ >= aOwner.granted_) {
    return 0;
  }
  const std::uint64_t unused = aOwner.granted_ - aOwner.used_;
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(unused, aOwner.waiting_));
}

double
CreditLedger::PriorityOf(const Owner& aOwner)
{
  // Each credit goes to the owner with the highest ratio of demand to the sum
  // of its active runs and its unused credits (D'Hondt method).
  const double demand =
    static_cast<double>(aOwner.waiting_) * WeightOf(aOwner.slackMs_);
  return demand / (1.0 + static_cast<double>(aOwner.activeRuns_ +
                                             OutstandingOf(aOwner)));
}

void
CreditLedger::SetDemand(std::string_view aOwner,
                        std::uint32_t aWaiting,
                        std::int64_t aSlackMs)
{
  Owner& owner = owners_[std::string(aOwner)];
  owner.waiting_ = aWaiting;
  owner.slackMs_ = aSlackMs;
  UpdateTotals();
}

void
CreditLedger::OnLinkUp(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found == owners_.end()) {
    return;
  }
  found->second.granted_ = 0;
  found->second.used_ = 0;
  found->second.waiting_ = 0;
  UpdateTotals();
}

void
CreditLedger::OnLinkLost(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found == owners_.end()) {
    return;
  }
  found->second.waiting_ = 0;
  if (found->second.activeRuns_ == 0) {
    owners_.erase(found);
  }
  UpdateTotals();
}

void
CreditLedger::OnCreditUsed(std::string_view aOwner)
{
  Owner& owner = owners_[std::string(aOwner)];
  ++owner.used_;
  owner.waiting_ -= std::min(owner.waiting_, 1U);
  UpdateTotals();
}

void
CreditLedger::OnRunAccepted(std::string_view aOwner)
{
  ++owners_[std::string(aOwner)].activeRuns_;
}

void
CreditLedger::OnRunRemoved(std::string_view aOwner)
{
  const auto found = owners_.find(aOwner);
  if (found != owners_.end() && found->second.activeRuns_ > 0) {
    --found->second.activeRuns_;
  }
}

std::vector<CreditLedger::Grant>
CreditLedger::Allocate(std::uint32_t aCredits)
{
  std::set<std::string_view> changed;
  for (std::uint32_t credit = 0; credit < aCredits; ++credit) {
    const auto best = std::max_element(
      owners_.begin(),
      owners_.end(),
      [](const auto& aLeft, const auto& aRight) {
        const auto priority = [](const Owner& aOwner) {
          return aOwner.waiting_ > OutstandingOf(aOwner) ? PriorityOf(aOwner)
                                                         : 0.0;
        };
        return priority(aLeft.second) < priority(aRight.second);
      });
    if (best == owners_.end() ||
        best->second.waiting_ <= OutstandingOf(best->second)) {
      break;
    }
    ++best->second.granted_;
    changed.insert(best->first);
  }
  UpdateTotals();
  std::vector<Grant> grants;
  grants.reserve(changed.size());
  for (const std::string_view owner : changed) {
    grants.push_back(
      Grant{ std::string(owner), owners_.find(owner)->second.granted_ });
  }
  return grants;
}

void
CreditLedger::UpdateTotals()
{
  outstanding_ = 0;
  unmetDemand_ = 0;
  for (const auto& [name, owner] : owners_) {
    const std::uint32_t outstanding = OutstandingOf(owner);
    outstanding_ += outstanding;
    unmetDemand_ += owner.waiting_ - outstanding;
  }
}

} // namespace pumiceturn::dispatch
