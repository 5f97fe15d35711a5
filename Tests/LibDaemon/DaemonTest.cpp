#include "LibDaemon/Daemon.h"
#include "LibClient/Client.h"
#include "LibSettings/SettingsFile.h"
#include "LibStandin/KeyValueStandin.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace pumiceturn::daemon {

namespace {

constexpr std::chrono::seconds kPatience{ 60 };
constexpr std::chrono::milliseconds kLookAgain{ 20 };
constexpr int kPartitions = 4;

/// @return a loopback address that is free now.
std::string
FreeAddress()
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  REQUIRE(::bind(handle, reinterpret_cast<sockaddr*>(&address), length) == 0);
  REQUIRE(
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length) == 0);
  ::close(handle);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// One keeper and one entry as processes of their own, and the platform.
class TwoHostsFixture
{
public:
  TwoHostsFixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "daemon-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    auto standin = base::Capture([] {
      return standin::KeyValueStandin::Start(
        standin::KeyValueStandin::Options{});
    });
    keyValue_ = std::get<0>(std::move(standin));
    Write("hosts.yaml",
          "hosts:\n  - {name: keeper-1, failure_domain: a, link_address: '" +
            keeperLink_ + "', functions: [keeper], state: live}\n");
    keeper_ = StartDaemon("keeper-1",
                          "functions: [keeper]\nlink_address: " + keeperLink_ +
                            "\nkeeper: {data_folder: " + folder_.string() +
                            "/data, copies: 1, min_copies: 1, partitions: " +
                            std::to_string(kPartitions) + "}\n");
    entry_ = StartDaemon("entry-1",
                         "functions: [entry]\nlink_address: " + FreeAddress() +
                           "\nentry: {grpc_address: " + grpcAddress_ + "}\n");
  }

  ~TwoHostsFixture()
  {
    entry_.reset();
    keeper_.reset();
    keyValue_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  TwoHostsFixture(const TwoHostsFixture&) = delete;
  TwoHostsFixture& operator=(const TwoHostsFixture&) = delete;

protected:
  std::string Write(const std::string& aName, const std::string& aText) const
  {
    const std::filesystem::path path = folder_ / aName;
    std::ofstream(path) << aText;
    return path.string();
  }

  std::unique_ptr<Daemon> StartDaemon(const std::string& aHost,
                                      const std::string& aRest) const
  {
    std::filesystem::create_directories(folder_ / "data");
    const std::string path =
      Write(aHost + ".yaml",
            "host: " + aHost +
              "\nregion: r\nfailure_domain: a\nhttp_address: " + FreeAddress() +
              "\nplatform: {key_value_addresses: ['127.0.0.1:" +
              std::to_string(keyValue_->Port()) +
              "'], host_list: " + folder_.string() + "/hosts.yaml}\n" + aRest);
    auto started =
      base::Capture([&]() -> base::Result<std::unique_ptr<Daemon>> {
        BOOST_LEAF_AUTO(settings, settings::LoadSettingsFile(path));
        return Daemon::Start(settings);
      });
    if (const auto* failure = std::get_if<base::Failure>(&started)) {
      FAIL(failure->detail_);
    }
    return std::get<0>(std::move(started));
  }

  /// @return how many partitions the entry knows an owner of.
  int OwnedPartitions()
  {
    client::Client client({ { grpcAddress_ }, "", kPatience });
    const auto outcome = base::Capture([&] { return client.GetStatus(); });
    int owned = 0;
    if (const auto* status = std::get_if<0>(&outcome)) {
      for (const auto& partition : status->partitions()) {
        owned += partition.owner() == "keeper-1" ? 1 : 0;
      }
    }
    return owned;
  }

  std::filesystem::path folder_;
  std::string keeperLink_ = FreeAddress();
  std::string grpcAddress_ = FreeAddress();
  std::unique_ptr<standin::KeyValueStandin> keyValue_;
  std::unique_ptr<Daemon> keeper_;
  std::unique_ptr<Daemon> entry_;
};

} // namespace

// Story: callers of an entry host without a data folder hear NotRecorded for
// every request, while entries with a keeper work. The cause: only a keeper's
// log followed the partition records, so such an entry knew no owner.
TEST_CASE_METHOD(TwoHostsFixture, "Daemon_EntryWithoutKeeper_LearnsTheOwners")
{
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  int owned = 0;
  while (owned < kPartitions && std::chrono::steady_clock::now() < deadline) {
    owned = OwnedPartitions();
    std::this_thread::sleep_for(kLookAgain);
  }
  CHECK(owned == kPartitions);
}

} // namespace pumiceturn::daemon
