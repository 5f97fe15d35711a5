#include "LibPlatform/HostDirectory.h"
#include "LibPlatform/HostListReader.h"

#include "LibBase/Result.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include <unistd.h>

namespace pumiceturn::platform {

namespace {

constexpr const char* kTwoHosts = R"(hosts:
  - name: north
    failure_domain: dk-east-a
    link_address: 127.0.0.1:7001
    functions: [entry, keeper]
    state: live
  - { name: south, state: leaving }
)";

base::ResultCode
CodeOf(const std::string& aText)
{
  const auto outcome = base::Capture([&] { return ReadHostList(aText); });
  const auto* failure = std::get_if<base::Failure>(&outcome);
  return failure == nullptr ? base::ResultCode::Ok : failure->code_;
}

struct HostFileFixture
{
  HostFileFixture()
    : path_(std::filesystem::temp_directory_path() /
            ("pumiceturn-hosts-" + std::to_string(getpid()) + ".yaml"))
    , directory_({ path_.string() })
  {
    directory_.Subscribe([this](const auto&) { ++changes_; });
  }
  ~HostFileFixture() { std::filesystem::remove(path_); }
  HostFileFixture(const HostFileFixture&) = delete;
  HostFileFixture& operator=(const HostFileFixture&) = delete;

  void Write(const std::string& aText)
  {
    std::ofstream(path_) << aText;
    directory_.Refresh();
  }

  std::filesystem::path path_;
  HostDirectory directory_;
  int changes_ = 0;
};

} // namespace

TEST_CASE_METHOD(HostFileFixture, "Refresh_GoodFile_ListsItsHosts")
{
  Write(kTwoHosts);
  const auto north = directory_.Find("north");
  REQUIRE(north);
  CHECK(north->failure_domain() == "dk-east-a");
  CHECK(north->functions_size() == 2);
  CHECK(directory_.Find("south")->state() == settings::HOST_STATE_LEAVING);
  CHECK_FALSE(directory_.Find("west"));
}

TEST_CASE_METHOD(HostFileFixture, "Refresh_SameList_CallsNobody")
{
  Write(kTwoHosts);
  Write(std::string("# a comment\n") + kTwoHosts);
  CHECK(changes_ == 1);
}

// The platform rewrites its list and a host reads it half written. Every host
// would seem gone; instead the last good list stays in use.
TEST_CASE_METHOD(HostFileFixture, "Refresh_BrokenFile_KeepsTheLastList")
{
  Write(kTwoHosts);
  Write("hosts:\n  - { name: north, state: li");
  CHECK(directory_.Current()->hosts_size() == 2);
  std::filesystem::remove(path_);
  directory_.Refresh();
  CHECK(directory_.Current()->hosts_size() == 2);
  CHECK(changes_ == 1);
}

TEST_CASE("Refresh_HttpPage_ListsItsHosts")
{
  httplib::Server server;
  server.Get("/hosts", [](const auto&, httplib::Response& aResponse) {
    aResponse.set_content(R"({"hosts": [{"name": "east", "state": "live"}]})",
                          "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  HostDirectory directory(
    { "http://127.0.0.1:" + std::to_string(port) + "/hosts" });
  directory.Refresh();
  server.stop();
  thread.join();
  CHECK(directory.Find("east"));
}

TEST_CASE("ReadHostList_BadInput_GivesItsCode")
{
  using base::ResultCode;
  CHECK(CodeOf(kTwoHosts) == ResultCode::Ok);
  CHECK(CodeOf("hosts: []") == ResultCode::Ok);
  CHECK(CodeOf("host: []") == ResultCode::UnknownKey);
  CHECK(CodeOf("hosts: [{name: a, zone: b}]") == ResultCode::UnknownKey);
  CHECK(CodeOf("hosts: [{name: [a]}]") == ResultCode::WrongType);
  CHECK(CodeOf("hosts: [{name: a, state: dead}]") == ResultCode::WrongType);
  CHECK(CodeOf("hosts: [{state: live}]") == ResultCode::MissingField);
  CHECK(CodeOf("hosts: [") == ResultCode::MalformedYaml);
}

} // namespace pumiceturn::platform
