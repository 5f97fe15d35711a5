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
  tracker.OnCacheEvent(CacheChange::Stored, BlockHash(), kBlock);
  tracker.OnCacheEvent(CacheChange::Stored, BlockHash(), kBlock);
  CHECK(tracker.TakeChangesFor("entry-a").stored_ ==
        std::vector<std::uint64_t>{ 7 });
  CHECK(tracker.TakeChangesFor("entry-a").stored_.empty());
  tracker.OnCacheEvent(CacheChange::Evicted, BlockHash(), kBlock);
  CHECK(tracker.TakeChangesFor("entry-a").evicted_ ==
        std::vector<std::uint64_t>{ 7 });
  const PrefixCacheTracker::Changes late = tracker.TakeChangesFor("entry-b");
  CHECK(late.stored_.size() == 1);
  CHECK(late.evicted_.size() == 1);
}

TEST_CASE("PrefixCacheTracker_EventOfLaterBlock_IsIgnored")
{
  PrefixCacheTracker tracker;
  tracker.OnRun(7, kPayload);
  tracker.OnCacheEvent(CacheChange::Stored, BlockHash(), kBlock);
  const std::uint64_t second =
    base::HashBytes(kPayload.substr(0, std::size_t{ 2 } * kBlock));
  tracker.OnCacheEvent(CacheChange::Evicted, second, 2 * kBlock);
  CHECK(tracker.TakeChangesFor("entry-a").evicted_.empty());
}

TEST_CASE("PrefixCacheTracker_EngineRestarted_CachedPrefixesAreDropped")
{
  PrefixCacheTracker tracker;
  tracker.OnRun(7, kPayload);
  tracker.OnRun(8, std::string(200, 'y'));
  tracker.OnCacheEvent(CacheChange::Stored, BlockHash(), kBlock);
  tracker.OnEngineRestarted();
  CHECK(tracker.TakeChangesFor("entry-a").evicted_ ==
        std::vector<std::uint64_t>{ 7 });
}

TEST_CASE("PrefixCacheTracker_ManyPrefixes_StaysBounded")
{
  PrefixCacheTracker tracker;
  tracker.OnCacheEvent(CacheChange::Stored, 1, kBlock);
  for (std::uint64_t prefix = 1; prefix <= 5000; ++prefix) {
    const std::string payload = std::to_string(prefix) + kPayload;
    tracker.OnRun(prefix, payload);
    tracker.OnCacheEvent(
      CacheChange::Stored, base::HashBytes(payload.substr(0, kBlock)), kBlock);
  }
  std::size_t reported = 0;
  while (true) {
    const PrefixCacheTracker::Changes changes =
      tracker.TakeChangesFor("entry-a");
    CHECK(changes.stored_.size() <=
          PrefixCacheTracker::kMaxChangesPerHeartbeat);
    if (changes.stored_.empty()) {
      break;
    }
    reported += changes.stored_.size();
  }
  CHECK(reported == PrefixCacheTracker::kMaxChanges);
}

} // namespace pumiceturn::dispatch
