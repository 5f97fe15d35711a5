#include "LibFleet/OriginInquiry.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::fleet {

OriginInquiry::OriginInquiry(OriginEvidence aOwn,
                             bool aIsViewRecent,
                             std::size_t aAsked)
  : record_(std::move(aOwn.record_))
  , origins_(std::move(aOwn.origins_))
  , isViewRecent_(aIsViewRecent)
  , asked_(aAsked)
  , missing_(aAsked)
{
}

void
OriginInquiry::Add(const OriginEvidence& aEvidence)
{
  missing_ -= missing_ > 0 ? 1 : 0;
  ++heard_;
  if (!HasRecord() &&
      !std::holds_alternative<UnknownOrigin>(aEvidence.record_)) {
    record_ = aEvidence.record_;
    basis_ = OriginBasis::PeerRecord;
  }
  confirmations_ += aEvidence.origins_.empty() ? 0 : 1;
  origins_.insert(aEvidence.origins_.begin(), aEvidence.origins_.end());
}

void
OriginInquiry::AddStoreOrigins(const OriginSet& aOrigins)
{
  hasStoreOrigins_ = true;
  origins_.insert(aOrigins.begin(), aOrigins.end());
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

void
OriginInquiry::SetMissing(std::size_t aMissing)
{
  missing_ = aMissing;
  asked_ = std::max(asked_, heard_ + missing_);
}

bool
OriginInquiry::AreAllHeard() const
{
  return heard_ >= asked_ && confirmations_ > 0;
}

bool
OriginInquiry::IsOnlyVersionCertain() const
{
  const bool isConfirmed = asked_ == 0 ? isViewRecent_ : AreAllHeard();
  return origins_.size() == 1 && (hasStoreOrigins_ || isConfirmed);
}

bool
OriginInquiry::NeedsStore() const
{
  return isStoreAwaited_ && !hasStoreOrigins_ && !HasRecord() &&
         missing_ == 0 && origins_.size() <= 1;
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
    return OriginFound{ known->origin_, basis_, known->age_ };
  }
  if (std::holds_alternative<AmbiguousOrigin>(record_)) {
    return OriginUnknown::Ambiguous;
  }
  if (IsOnlyVersionCertain()) {
    return OriginFound{ *origins_.begin(),
                        hasStoreOrigins_ ? OriginBasis::OnlyVersion
                                         : OriginBasis::OnlyVersionConfirmed };
  }
  if (origins_.empty()) {
    return OriginUnknown::NoEndpoints;
  }
  return origins_.size() == 1 ? OriginUnknown::OldView
                              : OriginUnknown::NoRecord;
}

} // namespace pumiceturn::fleet
