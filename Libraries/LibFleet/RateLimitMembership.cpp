#include "LibFleet/RateLimitMembership.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <iterator>

namespace pumiceturn::fleet {

namespace {

/// A host is no owner if it hears less than this share of the admitting hosts
/// that another one hears, less one host. Restarts of single hosts must not
/// change the owners, as a new owner doesn't know what was admitted.
constexpr double kMinHeardShare = 0.9;

} // namespace

RateLimitMembership::RateLimitMembership(std::string aOwnName, bool aAdmits)
  : ownName_(std::move(aOwnName))
  , admits_(aAdmits)
  , candidates_({ ownName_ })
  , ownHash_(HashOf(candidates_))
  , allCandidates_(candidates_)
{
  if (admits_) {
    hashes_[ownName_] = ownHash_;
  }
  CountChoosers();
}

std::vector<std::string>
RateLimitMembership::CandidatesAmong(std::span<const RankedHost> aHosts)
{
  const bool hasAccountOnly =
    std::any_of(aHosts.begin(), aHosts.end(), [](const RankedHost& aHost) {
      return aHost.accountOnly_;
    });
  std::size_t maxHeard = 0;
  for (const RankedHost& host : aHosts) {
    if (host.accountOnly_ == hasAccountOnly) {
      maxHeard = std::max(maxHeard, host.heardHosts_);
    }
  }
  const double minHeard = kMinHeardShare * static_cast<double>(maxHeard) - 1.0;
  std::vector<std::string> candidates;
  for (const RankedHost& host : aHosts) {
    const bool hearsEnough = static_cast<double>(host.heardHosts_) >= minHeard;
    if (host.accountOnly_ == hasAccountOnly && hearsEnough) {
      candidates.push_back(host.host_);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

std::uint64_t
RateLimitMembership::HashOf(std::span<const std::string> aCandidates)
{
  std::uint64_t hash = aCandidates.size();
  for (const std::string& candidate : aCandidates) {
    hash = base::HashBytes(candidate, hash);
  }
  return hash;
}

const std::string&
RateLimitMembership::HighestRanked(std::span<const std::string> aCandidates,
                                   std::string_view aOrganisation)
{
  const std::uint64_t seed = base::HashBytes(aOrganisation);
  return *std::max_element(
    aCandidates.begin(),
    aCandidates.end(),
    [seed](const std::string& aLeft, const std::string& aRight) {
      return base::HashBytes(aLeft, seed) < base::HashBytes(aRight, seed);
    });
}

void
RateLimitMembership::Update(std::span<const Member> aRegistered,
                            base::Instant aNow)
{
  std::vector<Member> others;
  std::copy_if(
    aRegistered.begin(),
    aRegistered.end(),
    std::back_inserter(others),
    [this](const Member& aMember) { return aMember.host_ != ownName_; });
  const auto entryHosts =
    static_cast<std::size_t>(
      std::count_if(others.begin(),
                    others.end(),
                    [](const Member& aMember) { return aMember.admits_; })) +
    (admits_ ? 1 : 0);
  std::vector<RankedHost> own;
  std::vector<RankedHost> registered;
  std::vector<std::string> reachable;
  std::size_t registeredCount = admits_ ? 1 : 0;
  heardHosts_ = registeredCount;
  for (const Member& member : others) {
    // A host can't hear more than there are, whatever it says.
    const std::size_t heard =
      std::min(member.heardHosts_.value_or(entryHosts), entryHosts);
    const RankedHost ranked{ !member.admits_, member.host_, heard };
    registered.push_back(ranked);
    registeredCount += member.admits_ ? 1 : 0;
    if (member.isReachable_) {
      own.push_back(ranked);
      reachable.push_back(member.host_);
      heardHosts_ += member.admits_ ? 1 : 0;
    }
  }
  own.push_back({ !admits_, ownName_, heardHosts_ });
  registered.push_back(own.back());
  std::sort(reachable.begin(), reachable.end());
  if (reachable != reachable_ || changedAt_ == base::Instant{}) {
    reachable_ = std::move(reachable);
    changedAt_ = aNow;
  }
  std::vector<std::string> candidates = CandidatesAmong(own);
  if (candidates != candidates_) {
    candidates_ = std::move(candidates);
    changedAt_ = aNow;
  }
  ownHash_ = HashOf(candidates_);
  allCandidates_ = CandidatesAmong(registered);
  hashes_.clear();
  if (admits_) {
    hashes_[ownName_] = ownHash_;
  }
  for (const Member& member : others) {
    if (member.admits_ && member.isReachable_) {
      hashes_[member.host_] = member.candidatesHash_.value_or(ownHash_);
    }
  }
  CountChoosers();
  RecordRegisteredCount(registeredCount, aNow);
}

void
RateLimitMembership::RecordRegisteredCount(std::size_t aCount,
                                           base::Instant aNow)
{
  while (!registrationCounts_.empty() &&
         (registrationCounts_.back().count_ <= aCount ||
          aNow - registrationCounts_.back().at_ > kRetention)) {
    registrationCounts_.pop_back();
  }
  registrationCounts_.push_back({ aNow, aCount });
  while (aNow - registrationCounts_.front().at_ > kRetention) {
    registrationCounts_.pop_front();
  }
  count_ = std::max<std::size_t>(registrationCounts_.front().count_, 1);
}

void
RateLimitMembership::CountChoosers()
{
  choosers_ = 0;
  choosersFromAll_ = 0;
  otherChoosers_.clear();
  const std::uint64_t allHash = HashOf(allCandidates_);
  for (const auto& [host, hash] : hashes_) {
    if (hash == ownHash_) {
      ++choosers_;
    } else if (hash == allHash) {
      ++choosersFromAll_;
    } else {
      otherChoosers_.push_back(host);
    }
  }
}

void
RateLimitMembership::RecordCandidates(const std::string& aHost,
                                      std::uint64_t aHash)
{
  const auto [found, isNew] = hashes_.try_emplace(aHost, aHash);
  if (isNew || found->second != aHash) {
    found->second = aHash;
    CountChoosers();
  }
}

const std::string&
RateLimitMembership::OwnerOf(std::string_view aOrganisation) const
{
  return HighestRanked(candidates_, aOrganisation);
}

double
RateLimitMembership::ShareOf(
  std::string_view aOrganisation,
  const std::function<bool(const std::string&)>& aHasReported) const
{
  std::size_t parts = 0;
  if (choosers_ > 0 && OwnerOf(aOrganisation) == ownName_) {
    parts += choosers_;
  }
  if (choosersFromAll_ > 0 &&
      HighestRanked(allCandidates_, aOrganisation) == ownName_) {
    parts += choosersFromAll_;
  }
  parts += static_cast<std::size_t>(
    std::count_if(otherChoosers_.begin(), otherChoosers_.end(), aHasReported));
  return std::min(static_cast<double>(parts) / static_cast<double>(count_),
                  1.0);
}

} // namespace pumiceturn::fleet
