#include "LibFleet/StreamOriginTable.h"
#include "LibFleet/RecordHolders.h"
#include "LibFleet/ServiceVersions.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <set>

namespace pumiceturn::fleet {

using std::chrono::seconds;

class StreamOriginTableFixture
{
protected:
  bool Record(const std::string& aId, const std::string& aVersion)
  {
    return table_.Record({ aId, { "service", aVersion }, seconds(10) },
                         StreamOriginTable::Source::OwnStream,
                         now_);
  }

  StreamOriginTable table_;
  base::Instant now_{ seconds(100) };
};

TEST_CASE_METHOD(StreamOriginTableFixture,
                 "StreamOriginTable_Recorded_IsFoundUntilItExpires")
{
  CHECK(Record("a", "v1"));
  const auto known = std::get<KnownOrigin>(table_.Find("a", now_ + seconds(3)));
  CHECK(known.origin_ == StreamOrigin{ "service", "v1" });
  CHECK(known.age_ == seconds(3));
  CHECK(std::holds_alternative<UnknownOrigin>(
    table_.Find("a", now_ + seconds(10))));
  CHECK(std::holds_alternative<UnknownOrigin>(table_.Find("b", now_)));
}

// Guards against two streams with the same id, of which one would get the
// other's version.
TEST_CASE_METHOD(StreamOriginTableFixture,
                 "StreamOriginTable_SameIdAtTwoVersions_IsAmbiguous")
{
  Record("a", "v1");
  Record("a", "v1");
  CHECK(std::holds_alternative<KnownOrigin>(table_.Find("a", now_)));
  Record("a", "v2");
  CHECK(std::holds_alternative<AmbiguousOrigin>(table_.Find("a", now_)));
  Record("a", "v1");
  CHECK(std::holds_alternative<AmbiguousOrigin>(table_.Find("a", now_)));
}

// Guards against callers that fill the memory with ids.
TEST_CASE_METHOD(StreamOriginTableFixture,
                 "StreamOriginTable_FullOrIdTooLong_TakesNoRecord")
{
  CHECK_FALSE(Record("", "v1"));
  CHECK_FALSE(
    Record(std::string(StreamOriginTable::kMaxIdBytes + 1, 'x'), "v1"));
  for (std::size_t id = 0; id < StreamOriginTable::kMaxRecords; ++id) {
    REQUIRE(Record(fmt::format("{}", id), "v1"));
  }
  CHECK_FALSE(Record("more", "v1"));
  CHECK(Record("1", "v1"));
  table_.Expire(now_ + seconds(10));
  CHECK(table_.Count() == 0);
  CHECK(Record("more", "v1"));
}

TEST_CASE_METHOD(StreamOriginTableFixture,
                 "StreamOriginTable_RecordsOfPeers_AreNotSentOn")
{
  Record("own", "v1");
  table_.Record({ "peer", { "service", "v1" }, seconds(10) },
                StreamOriginTable::Source::Peer,
                now_);
  const auto rows = table_.OwnRowsOf("service", now_ + seconds(4));
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].id_ == "own");
  CHECK(rows[0].lifetime_ == seconds(6));
  CHECK(table_.OwnRowsOf("other", now_).empty());
}

TEST_CASE("ServiceVersions_VersionGone_CountsWhileItsStreamsMayLast")
{
  ServiceVersions versions;
  const base::Instant start{ seconds(100) };
  CHECK(versions.Observe("service", "v1", start));
  CHECK_FALSE(versions.Observe("service", "v1", start + seconds(5)));
  CHECK(versions.Observe("service", "v2", start + seconds(5)));
  versions.Observe("service", "v2", start + seconds(14));
  versions.Learn("service", "v1", start + seconds(14));
  versions.Expire(seconds(10), start + seconds(15));
  CHECK(versions.VersionsOf("service").size() == 2);
  versions.Expire(seconds(10), start + seconds(16));
  CHECK(versions.VersionsOf("service") == ServiceVersions::Versions{ "v2" });
  CHECK(versions.VersionsOf("other").empty());
}

class RecordHoldersFixture
{
protected:
  RecordHoldersFixture()
  {
    for (int host = 0; host < 12; ++host) {
      hosts_.push_back({ fmt::format("entry-{}", host),
                         fmt::format("domain-{}", host % 4),
                         false });
    }
    for (int host = 0; host < 4; ++host) {
      hosts_.push_back({ fmt::format("worker-{}", host),
                         fmt::format("domain-{}", host % 2),
                         true });
    }
  }

  [[nodiscard]] std::set<std::string> DomainsOf(
    const std::vector<std::string>& aHolders,
    bool aIsWorker) const
  {
    std::set<std::string> domains;
    for (const RecordHolder& host : hosts_) {
      const bool isHolder =
        std::find(aHolders.begin(), aHolders.end(), host.host_) !=
        aHolders.end();
      if (isHolder && host.isWorker_ == aIsWorker) {
        domains.insert(host.failureDomain_);
      }
    }
    return domains;
  }

  std::vector<RecordHolder> hosts_;
};

// Guards against records that are lost with one failure domain.
TEST_CASE_METHOD(RecordHoldersFixture,
                 "RecordHolders_SeveralDomains_AreSpreadOverThem")
{
  for (int id = 0; id < 50; ++id) {
    const auto holders = ChooseRecordHolders(fmt::format("{}", id), hosts_);
    CHECK(holders.size() == kHolders.entryHosts_ + kHolders.workers_);
    CHECK(DomainsOf(holders, false).size() == kHolders.entryHosts_);
    CHECK(DomainsOf(holders, true).size() == kHolders.workers_);
  }
}

// Guards against a record that isn't found as the hosts' views differ.
TEST_CASE_METHOD(RecordHoldersFixture,
                 "RecordHolders_HostsAreLost_TheOtherHoldersStay")
{
  std::vector<RecordHolder> fewer = hosts_;
  std::erase_if(fewer, [](const RecordHolder& aHost) {
    return aHost.host_ == "entry-3" || aHost.host_ == "worker-1";
  });
  for (int id = 0; id < 50; ++id) {
    const std::string name = fmt::format("{}", id);
    const auto before = ChooseRecordHolders(name, hosts_);
    const auto after = ChooseRecordHolders(name, fewer);
    int lost = 0;
    for (const std::string& holder : before) {
      lost +=
        std::find(after.begin(), after.end(), holder) == after.end() ? 1 : 0;
    }
    CHECK(lost <= 2);
    for (const std::string& holder :
         ChooseRecordHolders(name, hosts_, kAheadHolders)) {
      CHECK(std::find(before.begin(), before.end(), holder) != before.end());
    }
  }
}

} // namespace pumiceturn::fleet
