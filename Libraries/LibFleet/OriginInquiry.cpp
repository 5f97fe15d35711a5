#include "LibFleet/OriginInquiry.h"

#include <utility>

namespace pumiceturn::fleet {

OriginInquiry::OriginInquiry(OriginEvidence aOwn,
                             bool aIsViewRecent,
                             std::size_t aAsked)
  : record_(std::move(aOwn.record_))
  , versions_(std::move(aOwn.versions_))
  , isViewRecent_(aIsViewRecent)
  , missing_(aAsked)
{
}

void
OriginInquiry::Add(const OriginEvidence& aEvidence)
{
  missing_ -= missing_ > 0 ? 1 : 0;
  if (!HasRecord() &&
      !std::holds_alternative<UnknownOrigin>(aEvidence.record_)) {
    record_ = aEvidence.record_;
    basis_ = OriginBasis::PeerRecord;
  }
  confirmations_ += aEvidence.versions_.empty() ? 0 : 1;
  versions_.insert(aEvidence.versions_.begin(), aEvidence.versions_.end());
}

void
OriginInquiry::AddStoreVersions(const ServiceVersions::Versions& aVersions)
{
  hasStoreVersions_ = true;
  versions_.insert(aVersions.begin(), aVersions.end());
}

void
OriginInquiry::AddStoredRecord(const OriginRecord& aRecord)
{
  isStoredRecordAwaited_ = false;
  if (!HasRecord()) {
    record_ = aRecord;
    basis_ = OriginBasis::StoredRecord;
  }
}

bool
OriginInquiry::IsOnlyVersionCertain() const
{
  return versions_.size() == 1 &&
         (hasStoreVersions_ || isViewRecent_ || confirmations_ > 0);
}

bool
OriginInquiry::NeedsStore() const
{
  return isStoreAwaited_ && !hasStoreVersions_ && !HasRecord() &&
         missing_ == 0 && versions_.size() <= 1;
}

std::optional<OriginDecision>
OriginInquiry::Decide() const
{
  // A holder of the record, or a host that knows another version, may be among
  // those that haven't answered.
  const bool mayChange = missing_ > 0 || NeedsStore() || NeedsStoredRecord() ||
                         (areHoldersAwaited_ && NeedsRecord());
  return HasRecord() || !mayChange ? std::optional(DecideNow()) : std::nullopt;
}

OriginDecision
OriginInquiry::DecideNow() const
{
  if (const auto* known = std::get_if<KnownOrigin>(&record_)) {
    return OriginFound{
      known->origin_.service_, known->origin_.version_, basis_, known->age_
    };
  }
  if (std::holds_alternative<AmbiguousOrigin>(record_)) {
    return OriginUnknown::Ambiguous;
  }
  if (IsOnlyVersionCertain()) {
    return OriginFound{ std::nullopt,
                        *versions_.begin(),
                        hasStoreVersions_ ? OriginBasis::OnlyVersion
                                          : OriginBasis::OnlyVersionConfirmed };
  }
  if (versions_.empty()) {
    return OriginUnknown::NoEndpoints;
  }
  return versions_.size() == 1 ? OriginUnknown::OldView
                               : OriginUnknown::NoRecord;
}

} // namespace pumiceturn::fleet
