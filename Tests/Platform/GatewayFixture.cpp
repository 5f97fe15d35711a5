#include "Tests/Platform/GatewayFixture.h"

#include "Tests/Platform/TestRoute.h"

#include "LibBase/Base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <fmt/format.h>

namespace pumiceturn::adapter {

using nlohmann::json;

namespace {

/// So short that any wait for a slot exceeds it.
constexpr double kUrgentObjectiveMs = 1;

} // namespace

GatewayFixture::GatewayFixture()
  : store_(context_)
{
}

std::uint16_t
GatewayFixture::ReservePort()
{
  // Stays bound without listening, so that nobody else gets the port before the
  // host opens it.
  boost::asio::ip::tcp::socket holder(context_, boost::asio::ip::tcp::v4());
  holder.set_option(boost::asio::socket_base::reuse_address(true));
  holder.bind(Loopback(0));
  const std::uint16_t port = holder.local_endpoint().port();
  reservedPorts_.push_back(std::move(holder));
  return port;
}

void
GatewayFixture::WriteConfiguration(std::uint64_t aVersion)
{
  json resumable = MakeTestRoute("resumable", "stream");
  resumable["resumable"] = true;
  json urgent = MakeTestRoute("urgent", "stream");
  urgent["sloMs"] = kUrgentObjectiveMs;
  const json configuration = {
    { "version", aVersion },
    { "routes",
      { std::move(resumable),
        MakeTestRoute("stream", "stream"),
        std::move(urgent),
        MakeTestRoute("once", "unsafe"),
        MakeTestRoute(fmt::format("v{}", aVersion), "safe"),
        MakeTestRoute("lots", "batch") } },
    { "services",
      { { { "name", "service" },
          { "maxConns", 100 },
          { "healthPath", "/health" } } } }
  };
  store_.Put("op/config", configuration.dump());
}

ServerStandin&
GatewayFixture::AddServer(const std::string& aInstance,
                          std::string_view aVersion)
{
  servers_.push_back(std::make_unique<ServerStandin>(context_, aInstance));
  servers_.back()->SetVersion(std::string(aVersion));
  store_.Put("servers/" + aInstance,
             servers_.back()->Registration("service", "ready"));
  return *servers_.back();
}

TestHost&
GatewayFixture::StartHost(const std::string& aName,
                          batch::BatchPreference aPreference)
{
  hosts_.push_back(std::make_unique<TestHost>());
  TestHost& host = *hosts_.back();
  host.callerPort_ = ReservePort();
  host.statusPort_ = ReservePort();
  host.metricsPort_ = ReservePort();
  gateway::GatewaySettings settings;
  settings.host_ = aName;
  settings.incarnation_ = incarnation_;
  settings.failureDomain_ = "a";
  settings.batchPreference_ = aPreference;
  settings.callerAddress_ = fmt::format("127.0.0.1:{}", host.callerPort_);
  settings.statusAddress_ = fmt::format("127.0.0.1:{}", host.statusPort_);
  settings.metricsAddress_ = fmt::format("127.0.0.1:{}", host.metricsPort_);
  settings.peerAddress_ = fmt::format("127.0.0.1:{}", ReservePort());
  settings.jobRetention_ = jobRetention_;
  settings.spoolFolder_ = spoolFolder_;
  settings.capOverage_ = overage_;
  settings.revocationBound_ = revocationBound_;
  settings.rateTolerance_.overage_ = overage_;
  host.forwardPort_ = ReservePort();
  settings.forwardAddress_ = fmt::format("127.0.0.1:{}", host.forwardPort_);
  host.storePort_ = store_.OpenPort();
  const auto storeAddress = Loopback(host.storePort_);
  host.storeTransport_ = std::make_unique<gateway::StoreTransport>(
    context_, storeAddress, MakeStoreProtocol(storeAddress));
  host.store_ =
    std::make_unique<HttpStoreClient>(*host.storeTransport_, storeAddress);
  host.gateway_ = std::make_unique<gateway::Gateway>(context_,
                                                     settings,
                                                     MakeStoreLayout(),
                                                     requestCodec_,
                                                     storeCodec_,
                                                     *host.store_,
                                                     *host.storeTransport_);
  REQUIRE(host.gateway_->Start());
  RunUntil([&] {
    return !store_.Get(std::string("pumiceturn/host/") + aName).empty();
  });
  return host;
}

std::string
GatewayFixture::Metrics(const TestHost& aHost)
{
  return SendToAndWait(Loopback(aHost.statusPort_), "GET", "/metrics")->body_;
}

std::unique_ptr<CallerCall>
GatewayFixture::Send(std::uint16_t aPort,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aFields,
                     const std::string& aBody)
{
  return SendTo(Loopback(aPort), aMethod, aTarget, aFields, aBody);
}

std::unique_ptr<CallerCall>
GatewayFixture::SendAndWait(TestHost& aHost,
                            const std::string& aMethod,
                            const std::string& aTarget,
                            const std::string& aFields,
                            const std::string& aBody)
{
  return SendToAndWait(
    Loopback(aHost.callerPort_), aMethod, aTarget, aFields, aBody);
}

std::string
GatewayFixture::JobBody(int aItems, const std::string& aPrefix)
{
  json items = json::array();
  for (int item = 0; item < aItems; ++item) {
    items.push_back({ { "id", fmt::format("{}item-{}", aPrefix, item) },
                      { "path", "/lots/1" },
                      { "headers", { { "Model", "m" } } },
                      { "body", base::EncodeBase64("prompt") },
                      { "tokens", 9 } });
  }
  return json{ { "items", items } }.dump();
}

} // namespace pumiceturn::adapter
