#include "LibGateway/StoreMirrors.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Minimum time between reads of the registered hosts because of unknown peers.
constexpr std::chrono::milliseconds kUnknownPeerInterval{ 50 };

/// Time after the first complete read before this host may follow prefixes for
/// its peers, so that a restarted host learns of the current follower first. It
/// would otherwise send changes that don't follow on from the peers' mirrors.
constexpr std::chrono::seconds kSettleTime{ 1 };

/// A longer pause of the event loop counts as a suspension, after which queued
/// messages may be old. Shorter than the default freshness lifetimes of all
/// prefixes but the jobs'.
constexpr std::chrono::milliseconds kMaxLoopGap{ 500 };

/// Spreads the reads of hosts that learn of a missed change at the same time.
constexpr std::chrono::milliseconds kCatchUpSpread{ 200 };

/// Each host uses a random share of the freshness lifetime, so that they don't
/// read the store at the same time once a follower is lost.
constexpr double kMinFreshnessShare = 0.8;

double
DrawFreshnessShare(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(kMinFreshnessShare,
                                                1.0)(aRandom);
}

} // namespace

StoreMirrors::StoreMirrors(boost::asio::io_context& aContext,
                           metadata::StoreClient& aClient,
                           metadata::StoreHealth& aHealth,
                           const std::string& aOwnHost,
                           bool aIsPreferred,
                           std::vector<MirrorSettings> aFollowed,
                           std::mt19937_64& aRandom)
  : health_(aHealth)
  , random_(aRandom)
  , followerSelector_(aOwnHost)
  , ownState_{ false, aIsPreferred }
  , incarnation_(aRandom())
  , freshnessShare_(DrawFreshnessShare(aRandom))
{
  for (MirrorSettings& followed : aFollowed) {
    followed.options_.freshnessLifetime_ =
      ScaleFreshness(followed.options_.freshnessLifetime_);
    MirroredPrefix mirrored{ followed.prefix_,
                             followed.options_.prefix_,
                             std::make_unique<metadata::PrefixMirror>(
                               aContext,
                               aClient,
                               aHealth,
                               followed.options_,
                               std::move(followed.onChange_)) };
    mirroredPrefixes_.push_back(std::move(mirrored));
  }
}

void
StoreMirrors::SetOnDelta(const DeltaHandler& aHandler)
{
  for (MirroredPrefix& mirrored : mirroredPrefixes_) {
    mirrored.mirror_->SetOnDelta([aHandler, prefix = mirrored.prefix_](
                                   const metadata::MirrorDelta& aDelta) {
      aHandler({ prefix, aDelta });
    });
  }
}

void
StoreMirrors::Start(StorePrefix aPrefix)
{
  for (MirroredPrefix& mirrored : mirroredPrefixes_) {
    if (mirrored.prefix_ == aPrefix &&
        !std::exchange(mirrored.isStarted_, true)) {
      mirrored.mirror_->Start();
    }
  }
}

void
StoreMirrors::OnUnknownPeer(base::Instant aNow)
{
  const bool isSettled = readSince_ && aNow - *readSince_ >= kSettleTime;
  if (isSettled || !HasBeenRead(StorePrefix::Hosts) ||
      aNow - hostsCheckedAt_ < kUnknownPeerInterval) {
    return;
  }
  hostsCheckedAt_ = aNow;
  Find(StorePrefix::Hosts).CatchUpNow();
}

base::Duration
StoreMirrors::ScaleFreshness(base::Duration aFreshnessLifetime) const
{
  return std::chrono::duration_cast<base::Duration>(aFreshnessLifetime *
                                                    freshnessShare_);
}

base::Duration
StoreMirrors::DrawCatchUpDelay()
{
  std::uniform_int_distribution<base::Duration::rep> draw(
    0, base::Duration(kCatchUpSpread).count());
  return base::Duration(draw(random_));
}

bool
StoreMirrors::IsReadyToFollow(base::Instant aNow)
{
  const bool isComplete = std::all_of(mirroredPrefixes_.begin(),
                                      mirroredPrefixes_.end(),
                                      [](const MirroredPrefix& aMirrored) {
                                        return aMirrored.mirror_->IsComplete();
                                      });
  if (isComplete && !readSince_) {
    readSince_ = aNow;
  }
  // A preferred host may be the only one; the others know nothing of it yet
  // when they start together.
  const bool isFirst =
    ownState_.isPreferred_ && followerSelector_.IsAlone(aNow);
  return readSince_ && (aNow - *readSince_ >= kSettleTime || isFirst);
}

void
StoreMirrors::Tick(bool aMayFollow, base::Instant aNow)
{
  DetectSuspension();
  ownState_.mayFollow_ =
    aMayFollow && !health_.IsLost() && IsReadyToFollow(aNow);
  for (MirroredPrefix& mirrored : mirroredPrefixes_) {
    const bool follows =
      followerSelector_.IsFollower(mirrored.keyPrefix_, ownState_, aNow);
    if (follows != mirrored.mirror_->Follows()) {
      base::Log(kFollowerChanged,
                { { "prefix", mirrored.keyPrefix_ },
                  { "follows", follows },
                  { "may_follow", ownState_.mayFollow_ },
                  { "age_ms", base::ToMs(mirrored.mirror_->View().age_) },
                  { "revision", mirrored.mirror_->View().followedRevision_ } });
      mirrored.mirror_->SetFollows(follows);
    }
  }
}

void
StoreMirrors::DetectSuspension()
{
  const base::BootInstant now = base::BootNow();
  const auto ranAt = std::exchange(lastRunAt_, now);
  if (!ranAt || now - *ranAt < kMaxLoopGap) {
    return;
  }
  base::Log(kProcessSuspended, { { "ms", base::ToMs(now - *ranAt) } });
  for (MirroredPrefix& mirrored : mirroredPrefixes_) {
    mirrored.mirror_->MarkStale();
  }
}

metadata::PrefixMirror&
StoreMirrors::Find(StorePrefix aPrefix) const
{
  return *std::find_if(mirroredPrefixes_.begin(),
                       mirroredPrefixes_.end(),
                       [aPrefix](const MirroredPrefix& aMirrored) {
                         return aMirrored.prefix_ == aPrefix;
                       })
            ->mirror_;
}

bool
StoreMirrors::HasBeenRead(StorePrefix aPrefix) const
{
  return Find(aPrefix).IsComplete();
}

void
StoreMirrors::SetFreshness(StorePrefix aPrefix,
                           base::Duration aFreshnessLifetime)
{
  Find(aPrefix).SetFreshnessLifetime(ScaleFreshness(aFreshnessLifetime));
}

StoreReport
StoreMirrors::MakeReport() const
{
  StoreReport report;
  report.state_ = ownState_;
  report.incarnation_ = incarnation_;
  report.sentAt_ = base::BootNow();
  for (const MirroredPrefix& mirrored : mirroredPrefixes_) {
    // Without a response of the store there is nothing to confirm yet.
    if (mirrored.mirror_->Follows() && mirrored.mirror_->CompleteAsOf()) {
      report.views_.push_back({ mirrored.prefix_, mirrored.mirror_->View() });
    }
  }
  return report;
}

std::size_t
StoreMirrors::FollowedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mirroredPrefixes_.begin(),
                  mirroredPrefixes_.end(),
                  [](const MirroredPrefix& aMirrored) {
                    return aMirrored.mirror_->Follows();
                  }));
}

void
StoreMirrors::HandleReport(const std::string& aPeer,
                           const StoreReport& aReport,
                           base::Instant aNow)
{
  DetectSuspension();
  followerSelector_.RecordPeer(aPeer, aReport.state_, aNow);
  clocks_.RecordMessage(
    aPeer, aReport.incarnation_, aReport.sentAt_, base::BootNow());
  for (const StoreReport::PrefixView& view : aReport.views_) {
    Find(view.prefix_)
      .ApplyView(ToLocal(aPeer, view.view_), DrawCatchUpDelay());
  }
}

void
StoreMirrors::ApplyDelta(const std::string& aPeer, const StoreDelta& aDelta)
{
  DetectSuspension();
  metadata::MirrorDelta delta = aDelta.delta_;
  delta.view_ = ToLocal(aPeer, delta.view_);
  Find(aDelta.prefix_).ApplyDelta(delta, DrawCatchUpDelay());
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
