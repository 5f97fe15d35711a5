#include "LibBase/Ids.h"
#include "LibDispatch/PrefixBook.h"

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

TEST_CASE("PrefixBook_StoredAndEvicted_EachPeerHearsOnce")
{
  PrefixBook book;
  book.OnRun(7, kPayload);
  book.OnCacheEvent(CacheNews::Stored, BlockHash(), kBlock);
  book.OnCacheEvent(CacheNews::Stored, BlockHash(), kBlock);
  CHECK(book.TakeChangesFor("entry-a").added_ ==
        std::vector<std::uint64_t>{ 7 });
  CHECK(book.TakeChangesFor("entry-a").added_.empty());
  book.OnCacheEvent(CacheNews::Evicted, BlockHash(), kBlock);
  CHECK(book.TakeChangesFor("entry-a").dropped_ ==
        std::vector<std::uint64_t>{ 7 });
  const PrefixBook::Changes late = book.TakeChangesFor("entry-b");
  CHECK(late.added_.size() == 1);
  CHECK(late.dropped_.size() == 1);
}

TEST_CASE("PrefixBook_LongerBlocks_AreNotTheFirst")
{
  PrefixBook book;
  book.OnRun(7, kPayload);
  book.OnCacheEvent(CacheNews::Stored, BlockHash(), kBlock);
  const std::uint64_t second =
    base::HashBytes(kPayload.substr(0, std::size_t{ 2 } * kBlock));
  book.OnCacheEvent(CacheNews::Evicted, second, 2 * kBlock);
  CHECK(book.TakeChangesFor("entry-a").dropped_.empty());
}

TEST_CASE("PrefixBook_EngineRestarted_CachedPrefixesAreDropped")
{
  PrefixBook book;
  book.OnRun(7, kPayload);
  book.OnRun(8, std::string(200, 'y'));
  book.OnCacheEvent(CacheNews::Stored, BlockHash(), kBlock);
  book.OnEngineRestarted();
  CHECK(book.TakeChangesFor("entry-a").dropped_ ==
        std::vector<std::uint64_t>{ 7 });
}

TEST_CASE("PrefixBook_MoreThanItHolds_StaysBounded")
{
  PrefixBook book;
  book.OnCacheEvent(CacheNews::Stored, 1, kBlock);
  for (std::uint64_t prefix = 1; prefix <= 5000; ++prefix) {
    const std::string payload = std::to_string(prefix) + kPayload;
    book.OnRun(prefix, payload);
    book.OnCacheEvent(
      CacheNews::Stored, base::HashBytes(payload.substr(0, kBlock)), kBlock);
  }
  std::size_t told = 0;
  while (true) {
    const PrefixBook::Changes changes = book.TakeChangesFor("entry-a");
    CHECK(changes.added_.size() <= PrefixBook::kMaxTold);
    if (changes.added_.empty()) {
      break;
    }
    told += changes.added_.size();
  }
  CHECK(told == PrefixBook::kMaxChanges);
}

} // namespace pumiceturn::dispatch
