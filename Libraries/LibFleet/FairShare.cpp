#include "LibFleet/FairShare.h"

#include <algorithm>
#include <numeric>

namespace pumiceturn::fleet {

namespace {

/// Share of a service's slots from which on there is a shortage. Above it,
/// requests wait although slots are free elsewhere, as hosts' counts of each
/// other are up to 100 ms old.
constexpr double kUsableShare = 0.8;

/// Share of the slots from which on hosts tell each other their counts, and how
/// long they go on. Far enough below kUsableShare that all have the counts when
/// there is a shortage.
constexpr double kReportedShare = 0.5;
constexpr std::chrono::seconds kReportDuration{ 1 };

/// Bounds what a peer may report of one organisation.
constexpr std::uint32_t kMaxReportedCount = 100000;

/// Least part of the usable slots that is shared between the organisations that
/// hosts report, if the others seem to take all of them.
constexpr double kMinSharedPart = 0.1;

/// Age from which a peer's counts are ignored: it missed ten reports.
constexpr std::chrono::seconds kPeerCountLifetime{ 1 };

} // namespace

void
FairShare::CountStart(const std::string& aOrganisation)
{
  ++own_[aOrganisation];
}

void
FairShare::CountEnd(const std::string& aOrganisation)
{
  const auto found = own_.find(aOrganisation);
  if (found != own_.end() && --found->second == 0) {
    own_.erase(found);
  }
}

void
FairShare::SetPeerCounts(const std::string& aPeer,
                         std::span<const OrganisationCount> aCounts,
                         base::Instant aNow)
{
  // An empty report counts: the peer is there and has few requests.
  std::erase_if(peers_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.recordedAt_ > kPeerCountLifetime;
  });
  peers_[aPeer] = { { aCounts.begin(), aCounts.end() }, aNow };
}

std::vector<OrganisationCount>
FairShare::CountsToReport(base::Instant aNow) const
{
  std::vector<OrganisationCount> counts;
  if (aNow > reportUntil_) {
    return counts;
  }
  counts.reserve(own_.size());
  for (const auto& [organisation, inFlight] : own_) {
    counts.push_back({ organisation, inFlight });
  }
  const std::size_t reported = std::min(counts.size(), kMaxReported);
  std::partial_sort(
    counts.begin(),
    counts.begin() + static_cast<std::ptrdiff_t>(reported),
    counts.end(),
    [](const OrganisationCount& aLeft, const OrganisationCount& aRight) {
      return aLeft.inFlight_ > aRight.inFlight_;
    });
  counts.resize(reported);
  return counts;
}

FairShare::Counts
FairShare::SumCounts(base::Instant aNow) const
{
  Counts sum = own_;
  bool hasPeer = false;
  for (const auto& [peer, report] : peers_) {
    if (aNow - report.recordedAt_ > kPeerCountLifetime) {
      continue;
    }
    hasPeer = true;
    for (const OrganisationCount& count : report.counts_) {
      sum[count.organisation_] += std::min(count.inFlight_, kMaxReportedCount);
    }
  }
  if (!hasPeer) {
    // Callers are spread over all hosts, so the others are likely to have as
    // many.
    for (auto& [organisation, inFlight] : sum) {
      inFlight *= static_cast<std::uint32_t>(hosts_);
    }
  }
  return sum;
}

double
FairShare::FairLevel(const Counts& aCounts, double aCapacity)
{
  std::vector<std::uint32_t> counts;
  counts.reserve(aCounts.size());
  for (const auto& [organisation, inFlight] : aCounts) {
    counts.push_back(inFlight);
  }
  std::sort(counts.begin(), counts.end());
  double left = aCapacity;
  for (std::size_t index = 0; index < counts.size(); ++index) {
    const double level = left / static_cast<double>(counts.size() - index);
    if (counts[index] > level) {
      return level;
    }
    left -= counts[index];
  }
  return aCapacity;
}

ShareDecision
FairShare::Check(const std::string& aOrganisation,
                 const ServiceLoad& aLoad,
                 base::Instant aNow)
{
  ShareDecision decision;
  // Without a usable endpoint, shares of its slots say nothing.
  if (aLoad.slots_ == 0) {
    return decision;
  }
  if (aLoad.inFlight_ >= kReportedShare * aLoad.slots_) {
    reportUntil_ = aNow + kReportDuration;
  }
  const double usable = kUsableShare * aLoad.slots_;
  if (aLoad.inFlight_ < usable) {
    return decision;
  }
  Counts counts = SumCounts(aNow);
  const double reported = std::accumulate(
    counts.begin(), counts.end(), 0.0, [](double aSum, const auto& aEntry) {
      return aSum + aEntry.second;
    });
  // What isn't reported belongs to organisations with few requests.
  const double unreported = std::max(aLoad.inFlight_ - reported, 0.0);
  const std::uint32_t withThis = ++counts[aOrganisation];
  decision.inFlight_ = withThis - 1;
  decision.level_ =
    FairLevel(counts, std::max(usable - unreported, kMinSharedPart * usable));
  decision.isAdmitted_ = withThis <= std::max(decision.level_, 1.0);
  return decision;
}

} // namespace pumiceturn::fleet
