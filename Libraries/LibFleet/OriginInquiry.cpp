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

bool
OriginInquiry::IsOnlyVersionCertain() const
{
  return versions_.size() == 1 && (isViewRecent_ || confirmations_ > 0);
}

std::optional<OriginDecision>
OriginInquiry::Decide() const
{
  const bool isConfirmed = IsOnlyVersionCertain() && confirmations_ > 0;
  if (HasRecord() || missing_ == 0 || isConfirmed) {
    return DecideNow();
  }
  return std::nullopt;
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
                        OriginBasis::OnlyVersion };
  }
  if (versions_.empty()) {
    return OriginUnknown::NoEndpoints;
  }
  return versions_.size() == 1 ? OriginUnknown::OldView
                               : OriginUnknown::NoRecord;
}

} // namespace pumiceturn::fleet
