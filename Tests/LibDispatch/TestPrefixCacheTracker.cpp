#include "LibBase/Ids.h"
#include "LibDispatch/PrefixCacheTracker.h"

#include <catch2/catch.hpp>

#include <string>

namespace pumiceturn::dispatch {

namespace {

constexpr std::uint32_t kBlock = 64;
const std::string kPayload(200, 'x');

std::uint64_t
BlockHash()
{
  return base::HashBytes(kPayload.substr(0, kBlock));
}

} // namespace

TEST_CASE("PrefixCacheTracker_StoredAndEvicted_EachPeerNotifiedOnce")
{
  PrefixCacheTracker tracker;
  tracker.OnRun(7, kPayload);
  tracker.OnCacheEvent(CacheUpdate::Stored, BlockHash(), kBlock);
  tracker.OnCacheEvent(CacheUpdate::Stored, BlockHash(), kBlock);
  CHECK(tracker.DrainChangesFor("entry-a").added_ ==
        std::vector<std::uint64_t>{ 7 });
  CHECK(tracker.DrainChangesFor("entry-a").added_.empty());
  tracker.OnCacheEvent(CacheUpdate::Evicted, BlockHash(), kBlock);
  CHECK(tracker.DrainChangesFor("entry-a").dropped_ ==
        std::vector<std::uint64_t>{ 7 });
  const PrefixCacheTracker::Changes late = tracker.DrainChangesFor("entry-b");
  CHECK(late.added_.size() == 1);
  CHECK(late.dropped_.size() == 1);
}

TEST_CASE("PrefixCacheTracker_LongerBlocks_AreNotTheFirst")
{
  PrefixCacheTracker tracker;
  tracker.OnRun(7, kPayload);
  tracker.OnCacheEvent(CacheUpdate::Stored, BlockHash(), kBlock);
  const std::uint64_t second =
    base::HashBytes(kPayload.substr(0, std::size_t{ 2 } * kBlock));
  tracker.OnCacheEvent(CacheUpdate::Evicted, second, 2 * kBlock);
  CHECK(tracker.DrainChangesFor("entry-a").dropped_.empty());
}

TEST_CASE("PrefixCacheTracker_EngineRestarted_CachedPrefixesAreDropped")
{
  PrefixCacheTracker tracker;
  tracker.OnRun(7, kPayload);
  tracker.OnRun(8, std::string(200, 'y'));
  tracker.OnCacheEvent(CacheUpdate::Stored, BlockHash(), kBlock);
  tracker.OnEngineRestarted();
  CHECK(tracker.DrainChangesFor("entry-a").dropped_ ==
        std::vector<std::uint64_t>{ 7 });
}

TEST_CASE("PrefixCacheTracker_ManyPrefixes_StaysBounded")
{
  PrefixCacheTracker tracker;
  tracker.OnCacheEvent(CacheUpdate::Stored, 1, kBlock);
  for (std::uint64_t prefix = 1; prefix <= 5000; ++prefix) {
    const std::string payload = std::to_string(prefix) + kPayload;
    tracker.OnRun(prefix, payload);
    tracker.OnCacheEvent(
      CacheUpdate::Stored, base::HashBytes(payload.substr(0, kBlock)), kBlock);
  }
  std::size_t reported = 0;
  while (true) {
    const PrefixCacheTracker::Changes changes =
      tracker.DrainChangesFor("entry-a");
    CHECK(changes.added_.size() <= PrefixCacheTracker::kMaxChangesPerHeartbeat);
    if (changes.added_.empty()) {
      break;
    }
    reported += changes.added_.size();
  }
  CHECK(reported == PrefixCacheTracker::kMaxChanges);
}

} // namespace pumiceturn::dispatch
