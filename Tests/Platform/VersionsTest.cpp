#include "Tests/Platform/ResumingFixture.h"
#include "Tests/TemporaryFolder.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace pumiceturn::adapter {

/// Endpoints of two software versions, and entry hosts.
class VersionsFixture : protected ResumingFixture
{
protected:
  VersionsFixture() { WriteConfiguration(1); }

  /// Adds endpoints that are called VERSION-NUMBER.
  void AddServers(std::string_view aVersion, int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      AddServer(fmt::format("{}-{}", aVersion, number), aVersion);
    }
  }

  [[nodiscard]] bool IsRecorded(const std::string& aVersion) const
  {
    return store_.Get("pumiceturn/versions/service").find(aVersion) !=
           std::string::npos;
  }

  /// Sends requests that can't be resumed until one is served by a version.
  void UseOnce(TestHost& aHost, const std::string& aVersion)
  {
    std::string body;
    while (body != WholeStream(aVersion)) {
      body =
        SendAndWait(aHost, "POST", "/stream/1", "Attempt-Id: s\r\n")->body_;
    }
  }

  /// Starts two workers, each with a disk of its own.
  void StartWorkers(const std::filesystem::path& aFolder)
  {
    for (const char* name : { "worker-1", "worker-2" }) {
      spoolFolder_ = (aFolder / name).string();
      StartHost(name, batch::BatchPreference::Worker);
    }
    spoolFolder_.clear();
  }

  /// @return whether each worker has the records of all rounds' streams.
  static bool AreOnAllDisks(const std::filesystem::path& aFolder)
  {
    for (const char* worker : { "worker-1", "worker-2" }) {
      const std::string text = ReadAll(aFolder / worker);
      for (int round = 0; round < kRounds; ++round) {
        if (text.find(fmt::format("\"r{}\"", round)) == std::string::npos) {
          return false;
        }
      }
    }
    return true;
  }

  /// @return the content of all files below a folder.
  static std::string ReadAll(const std::filesystem::path& aFolder)
  {
    std::string text;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(aFolder)) {
      if (entry.is_regular_file()) {
        std::ifstream file(entry.path(), std::ios::binary);
        text.append(std::istreambuf_iterator<char>(file), {});
      }
    }
    return text;
  }
};

// Guards against a response that joins events of two software versions.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_StreamBreaksAndOtherVersionIsLeft_IsAborted")
{
  AddServers("v1", 1);
  AddServers("v2", 1);
  TestHost& host = StartEntry("entry");
  for (const auto& server : servers_) {
    server->Enqueue({ ServerScript::Kind::Break, 3, 0 });
  }
  const auto call =
    SendAndWait(host, "POST", "/resumable/1", "Attempt-Id: r1\r\n");
  CHECK(call->outcome_ == httpstream::CallOutcome::Broken);
  const bool isOfOneVersion = WholeStream("v1").starts_with(call->body_) ||
                              WholeStream("v2").starts_with(call->body_);
  CHECK(isOfOneVersion);
  CHECK(RequestCount() == 1);
}

// Guards against a stream that goes on at any endpoint of its service.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_StreamBreaks_GoesOnAtAnEndpointOfItsVersion")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  TestHost& host = StartEntry("entry");
  for (int round = 0; round < kRounds; ++round) {
    const auto call = SendAndWait(host,
                                  "POST",
                                  "/resumable/break-2",
                                  fmt::format("Attempt-Id: r{}\r\n", round));
    const bool isWhole =
      call->body_ == WholeStream("v1") || call->body_ == WholeStream("v2");
    CHECK(isWhole);
  }
}

// Guards against a caller that takes its stream up at a host that doesn't know
// where it began, and gets the rest from another software version.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_CallerResumesAtOtherHost_GoesOnAtItsVersion")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  TestHost& first = StartEntry("entry-1");
  TestHost& second = StartEntry("entry-2");
  RunUntil([&] {
    return Metrics(first).find("pumiceturn_peers_heard 1") != std::string::npos;
  });
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    const std::string version = BeginStream(first, id);
    CHECK(Resume(second, id + "-again", id)->body_ == WholeStream(version, 2));
    CHECK(Resume(first, id + "-third", id)->body_ == WholeStream(version, 2));
  }
}

// Guards against a stream whose version is lost with the host that began it.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_BeginningHostIsLost_StreamGoesOnAtItsVersion")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  TestHost& first = StartEntry("entry-1");
  TestHost& second = StartEntry("entry-2");
  RunUntil([&] {
    return Metrics(first).find("pumiceturn_peers_heard 1") != std::string::npos;
  });
  std::vector<std::string> versions;
  versions.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    versions.push_back(BeginStream(first, fmt::format("r{}", round)));
  }
  // The fixture's hosts share an event loop: handlers of the lost host's
  // connections must not run later.
  RunUntil([this] {
    std::size_t disconnected = 0;
    for (const auto& server : servers_) {
      disconnected += server->DisconnectedCount();
    }
    return disconnected == kRounds;
  });
  first.gateway_.reset();
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    CHECK(Resume(second, id + "-again", id)->body_ ==
          WholeStream(versions[round], 2));
  }
}

// Guards against refusing the streams of all callers after all hosts were lost
// together while several versions serve.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_AllHostsRestart_StreamsGoOnAtTheirVersion")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  const TemporaryFolder folder;
  StartWorkers(folder.Path());
  TestHost& first = StartEntry("entry-1");
  RunUntil([&] {
    return Metrics(first).find("pumiceturn_peers_heard 2") != std::string::npos;
  });
  std::vector<std::string> versions;
  versions.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    versions.push_back(BeginStream(first, fmt::format("r{}", round)));
  }
  RunUntil([this] { return DisconnectedCount() == kRounds; });
  RunUntil([&] { return AreOnAllDisks(folder.Path()); });
  for (const auto& host : hosts_) {
    host->gateway_.reset();
  }
  // As when their leases end; the new processes have other addresses.
  for (const std::string& key : store_.Keys("pumiceturn/host/")) {
    store_.Remove(key);
  }
  StartWorkers(folder.Path());
  TestHost& again = StartEntry("entry-1");
  RunUntil([&] {
    return Metrics(again).find("pumiceturn_peers_heard 2") != std::string::npos;
  });
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    CHECK(Resume(again, id + "-again", id)->body_ ==
          WholeStream(versions[round], 2));
  }
}

// Guards against refusing the streams of all callers after all hosts were lost
// together, if no worker was there when the streams began.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_AllEntryHostsRestartWithoutWorkers_StreamsGoOn")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  TestHost& first = StartEntry("entry-1");
  std::vector<std::string> versions;
  versions.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    versions.push_back(BeginStream(first, fmt::format("r{}", round)));
  }
  RunUntil([this] { return DisconnectedCount() == kRounds; });
  RunUntil([this] {
    const auto keys = store_.Keys("pumiceturn/streams/");
    const std::string last = fmt::format("\"r{}\"", kRounds - 1);
    return !keys.empty() &&
           store_.Get(keys.front()).find(last) != std::string::npos;
  });
  first.gateway_.reset();
  store_.Remove("pumiceturn/host/entry-1");
  TestHost& again = StartEntry("entry-1");
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    CHECK(Resume(again, id + "-again", id)->body_ ==
          WholeStream(versions[round], 2));
  }
}

// Guards against joining streams that began at a version which no host could
// learn of any more: its endpoints are gone, as is the host that saw them.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_VersionWasNeverRecorded_StreamsAreNotJoined")
{
  AddServers("v1", 2);
  TestHost& first = StartEntry("entry-1");
  RunUntil([this] { return IsRecorded("v1"); });
  store_.RefuseWritesBelow("pumiceturn/versions/");
  AddServers("v2", 2);
  UseOnce(first, "v2");
  std::vector<std::string> versions;
  versions.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    versions.push_back(BeginStream(first, fmt::format("r{}", round)));
  }
  RunUntil([this] { return DisconnectedCount() == kRounds; });
  first.gateway_.reset();
  store_.Remove("servers/v2-0");
  store_.Remove("servers/v2-1");
  TestHost& again = StartEntry("entry-1");
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    const std::string rest = Resume(again, id + "-again", id)->body_;
    CHECK((rest.empty() || rest == WholeStream(versions[round], 2)));
  }
}

TEST_CASE_METHOD(VersionsFixture,
                 "Versions_VersionIsRecordedLate_StreamsBeginThereThen")
{
  AddServers("v1", 2);
  TestHost& host = StartEntry("entry-1");
  RunUntil([this] { return IsRecorded("v1"); });
  store_.RefuseWritesBelow("pumiceturn/versions/");
  AddServers("v2", 2);
  UseOnce(host, "v2");
  for (int round = 0; round < kRounds; ++round) {
    CHECK(BeginStream(host, fmt::format("r{}", round)) == "v1");
  }
  store_.RefuseWritesBelow({});
  std::string version;
  RunUntil([&] {
    version = version == "v2" ? version : BeginStream(host, "later");
    return version == "v2";
  });
  CHECK(IsRecorded("v2"));
}

// Guards against forgetting where a stream began while its caller, who waits
// for longer than its route allows one try, still goes on with it.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_CallerIsMorePatientThanItsRoute_StreamGoesOn")
{
  constexpr std::chrono::milliseconds kTimeout{ 300 };
  auto configuration = nlohmann::json::parse(store_.Get("op/config"));
  for (auto& route : configuration["routes"]) {
    route["timeoutMs"] = kTimeout.count();
  }
  store_.Put("op/config", configuration.dump());
  AddServers("v1", 2);
  AddServers("v2", 2);
  const TemporaryFolder folder;
  StartWorkers(folder.Path());
  TestHost& host = StartEntry("entry");
  RunUntil([&] {
    return Metrics(host).find("pumiceturn_peers_heard 2") != std::string::npos;
  });
  const std::string version = BeginStream(host, "r1");
  const base::Instant resumedAt = base::MonotonicNow() + 4 * kTimeout;
  RunUntil([resumedAt] { return base::MonotonicNow() >= resumedAt; });
  CHECK(Resume(host, "r2", "r1")->body_ == WholeStream(version, 2));
}

// Guards against joining a stream to a guess while several versions serve.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_ResumedStreamIsUnknown_IsRefusedAsNotRun")
{
  AddServers("v1", 2);
  AddServers("v2", 2);
  TestHost& host = StartEntry("entry");
  for (const std::string& resumed :
       { std::string("never-begun"), std::string(), std::string(10000, 'x') }) {
    const auto call = Resume(host, "r1", resumed);
    CHECK(call->status_ == 503);
    CHECK_FALSE(call->retryAfter_.empty());
  }
  CHECK(RequestCount() == 0);
}

// Guards against a request that waits for an endpoint of a version that no
// longer serves.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_VersionOfStreamIsGone_ResumptionIsRefusedAtOnce")
{
  AddServers("v1", 1);
  TestHost& host = StartEntry("entry");
  CHECK(BeginStream(host, "r1") == "v1");
  AddServers("v2", 2);
  store_.Remove("servers/v1-0");
  RunUntil([&] {
    return SendAndWait(host, "POST", "/resumable/1", "Attempt-Id: n\r\n")
             ->body_ == WholeStream("v2");
  });
  const std::size_t before = RequestCount();
  const auto startedAt = base::MonotonicNow();
  const auto call = Resume(host, "r2", "r1");
  CHECK(call->status_ == 503);
  CHECK_FALSE(call->retryAfter_.empty());
  CHECK(base::MonotonicNow() - startedAt < std::chrono::seconds(1));
  CHECK(RequestCount() == before);
}

// Guards against refusing streams for want of a version where there is one.
TEST_CASE_METHOD(VersionsFixture,
                 "Versions_OneVersionServes_EveryResumedStreamGoesOn")
{
  AddServers("v1", 2);
  TestHost& first = StartEntry("entry-1");
  TestHost& second = StartEntry("entry-2");
  BeginStream(first, "r1");
  CHECK(Resume(second, "r2", "r1")->body_ == WholeStream("v1", 2));
  CHECK(Resume(second, "r3", "never-begun")->body_ == WholeStream("v1", 2));
  CHECK(
    SendAndWait(
      second, "POST", "/resumable/1", "Attempt-Id: r4\r\nLast-Event-Id: 2\r\n")
      ->body_ == WholeStream("v1", 2));
  // Hosts that have just started know nothing of earlier streams.
  first.gateway_.reset();
  second.gateway_.reset();
  TestHost& third = StartEntry("entry-3");
  CHECK(Resume(third, "r5", "r1")->body_ == WholeStream("v1", 2));
}

} // namespace pumiceturn::adapter
