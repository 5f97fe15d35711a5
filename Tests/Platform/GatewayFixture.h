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
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// A gateway with its own addresses.
struct TestHost
{
  std::unique_ptr<gateway::StoreTransport> storeTransport_;
  std::unique_ptr<HttpStoreClient> store_;
  std::unique_ptr<gateway::Gateway> gateway_;
  std::uint16_t callerPort_ = 0;
  std::uint16_t statusPort_ = 0;
  std::uint16_t metricsPort_ = 0;
  std::uint16_t forwardPort_ = 0;
  std::uint16_t storePort_ = 0; ///< Port of the store for this host's calls.
};

/// Gateways, a store and servers in one event loop on loopback.
class GatewayFixture : protected CallingFixture
{
protected:
  GatewayFixture();

  /// @return a port that is reserved for the lifetime of the fixture.
  std::uint16_t ReservePort();

  /// Starts a host and waits until it is registered in the store.
  TestHost& StartHost(const std::string& aName,
                      batch::BatchPreference aPreference);

  /// Writes a configuration with routes for a resumable stream, a stream that
  /// can't be resumed, a stream that is rejected rather than queued, a call
  /// that isn't idempotent, an idempotent call (its route is named after the
  /// version), and batch jobs.
  void WriteConfiguration(std::uint64_t aVersion);

  /// Adds an endpoint.
  ServerStandin& AddServer(
    const std::string& aInstance,
    std::string_view aVersion = ServerStandin::kDefaultVersion);

  /// @return a host's metrics page.
  std::string Metrics(const TestHost& aHost);

  std::unique_ptr<CallerCall> Send(std::uint16_t aPort,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aFields = {},
                                   const std::string& aBody = {});
  std::unique_ptr<CallerCall> SendAndWait(TestHost& aHost,
                                          const std::string& aMethod,
                                          const std::string& aTarget,
                                          const std::string& aFields = {},
                                          const std::string& aBody = {});

  /// @param aPrefix Prefix of the items' ids.
  static std::string JobBody(int aItems, const std::string& aPrefix = {});

  StoreStandin store_;
  RequestCodec requestCodec_;
  PlatformStoreCodec storeCodec_;
  /// For the next host; empty: no spool.
  std::string spoolFolder_;
  /// Of the next host's process.
  std::string incarnation_ = "1";
  std::vector<boost::asio::ip::tcp::socket> reservedPorts_;
  double overage_ = 0.0; ///< Of the next host's caps and rate limits.
  std::optional<base::Duration> revocationBound_; ///< For the next host.
  /// For the next host.
  base::Duration jobRetention_{ std::chrono::minutes{ 10 } };
  std::vector<std::unique_ptr<TestHost>> hosts_;
  std::vector<std::unique_ptr<ServerStandin>> servers_;
};

} // namespace pumiceturn::adapter
