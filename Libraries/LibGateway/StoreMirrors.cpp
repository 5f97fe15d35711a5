#include "LibGateway/StoreMirrors.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How long a host that has read the store waits before it follows for others:
/// reports of the one that does so far arrive meanwhile, and a host that starts
/// anew doesn't take over with changes that the others can't join up.
constexpr std::chrono::seconds kSettling{ 1 };

/// Time without a turn of the event loop after which what peers said may have
/// waited here for as long. Shorter than any trust in a copy.
constexpr std::chrono::milliseconds kLongestGap{ 500 };

/// All hosts that lack a change learn of it at once; their calls are spread.
constexpr std::chrono::milliseconds kCatchUpSpread{ 200 };

/// Hosts stop trusting a copy between this share of the time and all of it, so
/// that they don't ask together once a follower is lost.
constexpr double kLeastTrustShare = 0.8;

double
DrawTrustShare(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(kLeastTrustShare, 1.0)(aRandom);
}

} // namespace

StoreMirrors::StoreMirrors(boost::asio::io_context& aContext,
                           metadata::StoreClient& aClient,
                           metadata::StoreHealth& aHealth,
                           const std::string& aOwnName,
                           bool aIsPreferred,
                           std::vector<Followed> aFollowed,
                           std::mt19937_64& aRandom)
  : health_(aHealth)
  , random_(aRandom)
  , choice_(aOwnName)
  , own_{ false, aIsPreferred }
  , incarnation_(aRandom())
  , trustShare_(DrawTrustShare(aRandom))
{
  for (Followed& followed : aFollowed) {
    followed.options_.freshnessLifetime_ =
      OwnShareOf(followed.options_.freshnessLifetime_);
    Copy copy{ followed.prefix_,
               followed.options_.prefix_,
               std::make_unique<metadata::PrefixMirror>(
                 aContext,
                 aClient,
                 aHealth,
                 followed.options_,
                 std::move(followed.onChange_)) };
    copies_.push_back(std::move(copy));
  }
}

void
StoreMirrors::SetOnDelta(const DeltaHandler& aHandler)
{
  for (Copy& copy : copies_) {
    copy.mirror_->SetOnDelta(
      [aHandler, prefix = copy.prefix_](const metadata::MirrorDelta& aDelta) {
        aHandler({ prefix, aDelta });
      });
  }
}

void
StoreMirrors::Start()
{
  for (Copy& copy : copies_) {
    copy.mirror_->Start();
  }
}

base::Duration
StoreMirrors::OwnShareOf(base::Duration aFreshFor) const
{
  return std::chrono::duration_cast<base::Duration>(aFreshFor * trustShare_);
}

base::Duration
StoreMirrors::DrawCatchUp()
{
  std::uniform_int_distribution<base::Duration::rep> draw(
    0, base::Duration(kCatchUpSpread).count());
  return base::Duration(draw(random_));
}

bool
StoreMirrors::HasSettled(base::Instant aNow)
{
  const bool isComplete =
    std::all_of(copies_.begin(), copies_.end(), [](const Copy& aCopy) {
      return aCopy.mirror_->IsComplete();
    });
  if (isComplete && !completeSince_) {
    completeSince_ = aNow;
  }
  return completeSince_ &&
         (aNow - *completeSince_ >= kSettling || choice_.IsAlone(aNow));
}

void
StoreMirrors::Tick(bool aReachesStore, base::Instant aNow)
{
  NoteRunning();
  own_.mayFollow_ = aReachesStore && !health_.IsLost() && HasSettled(aNow);
  for (Copy& copy : copies_) {
    const bool follows = choice_.IsFollower(copy.key_, own_, aNow);
    if (follows != copy.mirror_->Follows()) {
      base::Log(kFollowerChanged,
                { { "prefix", copy.key_ },
                  { "follows", follows },
                  { "may_follow", own_.mayFollow_ },
                  { "age_ms", base::ToMs(copy.mirror_->View().age_) },
                  { "revision", copy.mirror_->View().followed_ } });
      copy.mirror_->SetFollows(follows);
    }
  }
}

void
StoreMirrors::NoteRunning()
{
  const base::BootInstant now = base::BootNow();
  const auto ranAt = std::exchange(ranAt_, now);
  if (!ranAt || now - *ranAt < kLongestGap) {
    return;
  }
  base::Log(kDidNotRun, { { "ms", base::ToMs(now - *ranAt) } });
  for (Copy& copy : copies_) {
    copy.mirror_->MarkStale();
  }
}

metadata::PrefixMirror&
StoreMirrors::Find(StorePrefix aPrefix) const
{
  return *std::find_if(
            copies_.begin(),
            copies_.end(),
            [aPrefix](const Copy& aCopy) { return aCopy.prefix_ == aPrefix; })
            ->mirror_;
}

bool
StoreMirrors::IsComplete(StorePrefix aPrefix) const
{
  return Find(aPrefix).IsComplete();
}

void
StoreMirrors::SetFreshness(StorePrefix aPrefix, base::Duration aFreshFor)
{
  Find(aPrefix).SetFreshnessLifetime(OwnShareOf(aFreshFor));
}

StoreReport
StoreMirrors::Report() const
{
  StoreReport report;
  report.state_ = own_;
  report.incarnation_ = incarnation_;
  report.sentAt_ = base::BootNow();
  for (const Copy& copy : copies_) {
    if (copy.mirror_->Follows()) {
      report.views_.push_back({ copy.prefix_, copy.mirror_->View() });
    }
  }
  return report;
}

std::size_t
StoreMirrors::FollowedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(copies_.begin(), copies_.end(), [](const Copy& aCopy) {
      return aCopy.mirror_->Follows();
    }));
}

void
StoreMirrors::HandleReport(const std::string& aPeer,
                           const StoreReport& aReport,
                           base::Instant aNow)
{
  NoteRunning();
  choice_.RecordPeer(aPeer, aReport.state_, aNow);
  clocks_.RecordMessage(
    aPeer, aReport.incarnation_, aReport.sentAt_, base::BootNow());
  for (const StoreReport::View& view : aReport.views_) {
    Find(view.prefix_).ApplyView(ToLocal(aPeer, view.view_), DrawCatchUp());
  }
}

void
StoreMirrors::ApplyDelta(const std::string& aPeer, const StoreDelta& aDelta)
{
  NoteRunning();
  metadata::MirrorDelta delta = aDelta.delta_;
  delta.view_ = ToLocal(aPeer, delta.view_);
  Find(aDelta.prefix_).ApplyDelta(delta, DrawCatchUp());
}

metadata::MirrorView
StoreMirrors::ToLocal(const std::string& aPeer,
                      const metadata::MirrorView& aView) const
{
  metadata::MirrorView view = aView;
  view.completeAsOf_ =
    clocks_.ToLocal(aPeer, aView.completeAsOf_).value_or(base::BootInstant{});
  return view;
}

std::optional<base::Duration>
StoreMirrors::AgeOf(StorePrefix aPrefix) const
{
  const auto completeAsOf = Find(aPrefix).CompleteAsOf();
  return completeAsOf ? std::optional(base::BootNow() - *completeAsOf)
                      : std::nullopt;
}

} // namespace pumiceturn::gateway
