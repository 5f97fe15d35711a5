#pragma once

#include "LibGateway/Gateway.h"
#include "Tests/Platform/CallingFixture.h"
#include "platform/HttpStoreClient.h"
#include "platform/PlatformStoreCodec.h"
#include "platform/RequestCodec.h"
#include "platform/Standin/ServerStandin.h"
#include "platform/Standin/StoreStandin.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// A host of the system with its own address.
struct TestHost
{
  std::unique_ptr<gateway::StoreTransport> storeTransport_;
  std::unique_ptr<HttpStoreClient> store_;
  std::unique_ptr<gateway::Gateway> gateway_;
  std::uint16_t callerPort_ = 0;
  std::uint16_t statusPort_ = 0;
  std::uint16_t forwardPort_ = 0;
  std::uint16_t storePort_ = 0; ///< Where the store takes this host's calls.
};

/// Gateways, a store and servers in one event loop on loopback.
class GatewayFixture : protected CallingFixture
{
protected:
  GatewayFixture();

  /// @return a port that nobody else is given while the fixture lives.
  std::uint16_t FreePort();

  /// Starts a host and waits until it is ready.
  TestHost& StartHost(const std::string& aName,
                      batch::BatchPreference aPreference);

  /// Writes a configuration with a resumable stream, a stream that may run
  /// once, one that may not wait for a place, a service call that may run once,
  /// and jobs.
  void WriteConfiguration(std::uint64_t aVersion);

  ServerStandin& AddServer(const std::string& aInstance);

  /// @return a host's metrics page.
  std::string Metrics(const TestHost& aHost);

  std::unique_ptr<CallerCall> Send(std::uint16_t aPort,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aFields = {},
                                   const std::string& aBody = {});
  std::unique_ptr<CallerCall> Ask(TestHost& aHost,
                                  const std::string& aMethod,
                                  const std::string& aTarget,
                                  const std::string& aFields = {},
                                  const std::string& aBody = {});

  /// @param aPrefix Begins the items' ids.
  static std::string JobBody(int aItems, const std::string& aPrefix = {});

  StoreStandin store_;
  RequestCodec requestCodec_;
  PlatformStoreCodec storeEntries_;
  /// Of the next host; empty: it has no disk.
  std::string dataFolder_;
  std::vector<boost::asio::ip::tcp::socket> heldPorts_;
  double capOverage_ = 0.0;                       ///< Of the next host.
  std::optional<base::Duration> revocationBound_; ///< Of the next host.
  base::Duration jobRetention_{ std::chrono::minutes{ 10 } };
  std::vector<std::unique_ptr<TestHost>> hosts_;
  std::vector<std::unique_ptr<ServerStandin>> servers_;
};

} // namespace pumiceturn::adapter
