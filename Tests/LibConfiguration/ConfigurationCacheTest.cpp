#include "LibConfiguration/ConfigurationCache.h"
#include "Samples.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace pumiceturn::configuration {

namespace {

declarations::Configuration
MakeVersion(std::uint64_t aVersion)
{
  declarations::Configuration configuration;
  configuration.set_version(aVersion);
  *configuration.mutable_declarations() = MakeDeclarations(2);
  configuration.add_drained_hosts("south");
  return configuration;
}

} // namespace

TEST_CASE("Snapshot_KnownNames_AreFound")
{
  const Snapshot snapshot(MakeVersion(1));
  CHECK(snapshot.FindService("origin-llm")->endpoints_size() == 1);
  CHECK(snapshot.FindKind("origin-llm", "look-up")->deadline_ms() == 500);
  CHECK(snapshot.FindEndpoint("agent-1") != nullptr);
  CHECK(snapshot.FindPartner("partner-1") != nullptr);
  CHECK(snapshot.FindPartnerByToken("digest-of-partner-0")->name() ==
        "partner-0");
  CHECK(snapshot.IsDrained("south"));
  CHECK_FALSE(snapshot.IsDrained("north"));
  CHECK(snapshot.FindKind("origin-llm", "other") == nullptr);
  CHECK(snapshot.FindKind("other", "look-up") == nullptr);
}

// A partner is declared without a token digest, for later. A request that
// brings no token at all must not be taken for that partner's.
TEST_CASE("Snapshot_PartnerWithoutToken_IsNotFoundByEmptyToken")
{
  declarations::Configuration configuration = MakeVersion(1);
  configuration.mutable_declarations()->add_partners()->set_name("later");
  const Snapshot snapshot(std::move(configuration));
  CHECK(snapshot.FindPartnerByToken("") == nullptr);
  CHECK(snapshot.FindPartner("later") != nullptr);
}

TEST_CASE("Install_LowerOrSameVersion_HasNoEffect")
{
  ConfigurationCache cache;
  CHECK(cache.Current()->Version() == 0);
  CHECK(cache.Install(MakeVersion(7)));
  CHECK_FALSE(cache.Install(MakeVersion(7)));
  CHECK_FALSE(cache.Install(MakeVersion(6)));
  CHECK(cache.Current()->Version() == 7);
}

// Versions arrive from a watch and from peers on several threads at once. A
// subscriber that heard 9 and then 8 would put the older one in force again.
TEST_CASE("Install_FromManyThreads_AnnouncesRisingVersions")
{
  constexpr std::uint64_t kVersions = 200;
  ConfigurationCache cache;
  std::vector<std::uint64_t> heard;
  cache.Subscribe(
    [&](const auto& aSnapshot) { heard.push_back(aSnapshot->Version()); });
  std::vector<std::thread> threads;
  for (std::uint64_t first = 1; first <= 4; ++first) {
    threads.emplace_back([&cache, first] {
      for (std::uint64_t v = first; v <= kVersions; v += 4) {
        cache.Install(MakeVersion(v));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(std::is_sorted(heard.begin(), heard.end()));
  CHECK(heard.back() == kVersions);
  CHECK(cache.Current()->Version() == kVersions);
}

} // namespace pumiceturn::configuration
