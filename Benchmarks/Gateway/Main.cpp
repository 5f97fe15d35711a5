#include "PacedServer.h"

#include "LibGateway/EndpointAddress.h"
#include "LibGateway/Gateway.h"
#include "LibHttpStream/ClientConnection.h"
#include "platform/HttpStoreClient.h"
#include "platform/Names.h"
#include "platform/PlatformStoreCodec.h"
#include "platform/RequestCodec.h"
#include "platform/Standin/StoreStandin.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace pumiceturn::gateway {

namespace {

namespace asio = boost::asio;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr const char* kAddressForCallers = "127.0.0.1:18480";
constexpr std::uint32_t kSlots = 1000;

/// @return the CPU time used by the calling thread, in microseconds.
double
ThreadCpuMicroseconds()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto toMicroseconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) * kMicrosecondsPerSecond +
           static_cast<double>(aTime.tv_usec);
  };
  return toMicroseconds(usage.ru_utime) + toMicroseconds(usage.ru_stime);
}

/// Runs the server and the store in their own thread.
class PlatformThread
{
public:
  explicit PlatformThread(PacedServer::Pace aPace)
    : server_(context_, aPace)
    , store_(context_)
    , storePort_(store_.OpenPort())
  {
    const nlohmann::json route = {
      { "name", "r" },       { "hostname", "a.example" }, { "prefix", "/" },
      { "kind", "stream" },  { "timeoutMs", 60000 },      { "sloMs", 700 },
      { "priority", 0 },     { "service", "s" },          { "maxAttempts", 2 },
      { "resumable", true }, { "dueMs", 60000 },          { "maxWaitS", 120 }
    };
    const nlohmann::json configuration = {
      { "version", 1 },
      { "routes", nlohmann::json::array({ route }) },
      { "services", { { { "name", "s" }, { "maxConns", kSlots } } } }
    };
    store_.Put(std::string(adapter::kConfigurationKey), configuration.dump());
    store_.Put("servers/i-1",
               nlohmann::json{ { "service", "s" },
                               { "address", server_.Address() },
                               { "zone", "a" },
                               { "slots", kSlots },
                               { "state", "ready" },
                               { "seq", 1 } }
                 .dump());
    thread_ = std::thread([this] { context_.run(); });
  }
  ~PlatformThread()
  {
    context_.stop();
    thread_.join();
  }
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;

  [[nodiscard]] asio::ip::tcp::endpoint StoreAddress() const
  {
    return { asio::ip::address_v4::loopback(), storePort_ };
  }

private:
  asio::io_context context_;
  PacedServer server_;
  adapter::StoreStandin store_;
  std::uint16_t storePort_;
  std::thread thread_;
};

/// Runs the gateway in its own thread, whose CPU time is measured.
class GatewayThread
{
public:
  explicit GatewayThread(const asio::ip::tcp::endpoint& aStore)
    : transport_(context_, aStore, adapter::MakeStoreProtocol(aStore))
    , store_(transport_, aStore)
    , gateway_(context_,
               MakeSettings(),
               adapter::MakeStoreLayout(),
               requestCodec_,
               storeCodec_,
               store_,
               transport_)
  {
    if (!gateway_.Start()) {
      throw std::runtime_error("the gateway can't listen on its address");
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~GatewayThread()
  {
    context_.stop();
    thread_.join();
  }
  GatewayThread(const GatewayThread&) = delete;
  GatewayThread& operator=(const GatewayThread&) = delete;

  double CpuMicroseconds()
  {
    std::promise<double> promise;
    asio::post(context_, [&] { promise.set_value(ThreadCpuMicroseconds()); });
    return promise.get_future().get();
  }

private:
  static GatewaySettings MakeSettings()
  {
    GatewaySettings settings;
    settings.host_ = "bench";
    settings.incarnation_ = "1";
    settings.failureDomain_ = "a";
    settings.batchPreference_ = batch::BatchPreference::Fallback;
    settings.callerAddress_ = kAddressForCallers;
    return settings;
  }

  asio::io_context context_;
  adapter::RequestCodec requestCodec_;
  adapter::PlatformStoreCodec storeCodec_;
  StoreTransport transport_;
  adapter::HttpStoreClient store_;
  Gateway gateway_;
  std::thread thread_;
};

/// Sends one request and receives its stream.
class Caller : public httpstream::CallObserver
{
public:
  Caller(asio::io_context& aContext, std::size_t& aRemaining)
    : connection_(
        std::make_shared<httpstream::ClientConnection>(aContext.get_executor()))
    , remaining_(aRemaining)
  {
  }

  void Start()
  {
    connection_->Connect(
      *ParseAddress(kAddressForCallers),
      std::chrono::seconds(10),
      [this](bool aIsConnected) {
        if (!aIsConnected) {
          OnEnd(httpstream::CallOutcome::NotConnected);
          return;
        }
        httpstream::Call call;
        call.bytes_ = "POST /x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r\r\n"
                      "Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
        connection_->Start(std::move(call), *this);
      });
  }

  void OnHead(const httpstream::ResponseHead& aHead) override
  {
    isOk_ = aHead.result_int() == 200;
  }
  void OnBody(std::string_view) override {}
  void OnEnd(httpstream::CallOutcome aOutcome) override
  {
    isOk_ = isOk_ && aOutcome == httpstream::CallOutcome::Complete;
    --remaining_;
  }

  [[nodiscard]] bool IsOk() const { return isOk_; }

private:
  std::shared_ptr<httpstream::ClientConnection> connection_;
  std::size_t& remaining_;
  bool isOk_ = false;
};

/// Runs aCount concurrent streams.
/// @return the number of streams that were received completely.
std::size_t
RunStreams(std::size_t aCount)
{
  asio::io_context context;
  std::size_t remaining = aCount;
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t index = 0; index < aCount; ++index) {
    callers.push_back(std::make_unique<Caller>(context, remaining));
    callers.back()->Start();
  }
  while (remaining > 0 && context.run_one() > 0) {
  }
  return static_cast<std::size_t>(
    std::count_if(callers.begin(), callers.end(), [](const auto& aCaller) {
      return aCaller->IsOk();
    }));
}

void
Measure(const PacedServer::Pace& aPace)
{
  const PlatformThread platform(aPace);
  GatewayThread gateway(platform.StoreAddress());
  while (RunStreams(1) == 0) {
  }
  std::printf(
    "%8s %8s %10s %14s\n", "streams", "complete", "events", "us per event");
  for (const std::size_t streams : { 1, 10, 100, 300 }) {
    const double before = gateway.CpuMicroseconds();
    const std::size_t completed = RunStreams(streams);
    const double used = gateway.CpuMicroseconds() - before;
    const auto events = static_cast<double>(streams) * aPace.events_;
    std::printf(
      "%8zu %8zu %10.0f %14.1f\n", streams, completed, events, used / events);
  }
}

} // namespace

} // namespace pumiceturn::gateway

/// Measures the CPU time, in user and kernel mode, that the gateway's thread
/// uses per streamed event, for several numbers of concurrent streams. Uses
/// loopback addresses only:
///
///   bench_gateway --events 200 --gap 10
int
main(int aCount, char** aArguments)
{
  try {
    cxxopts::Options options("bench_gateway",
                             "Measures the gateway's CPU time per event.");
    options.add_options()("events",
                          "Events per stream",
                          cxxopts::value<std::uint32_t>()->default_value(
                            "200"))("gap",
                                    "Milliseconds between two events",
                                    cxxopts::value<int>()->default_value("10"));
    const auto parsed = options.parse(aCount, aArguments);
    pumiceturn::gateway::Measure(
      { parsed["events"].as<std::uint32_t>(),
        std::chrono::milliseconds(parsed["gap"].as<int>()) });
    return 0;
  } catch (const std::exception& exception) {
    std::fputs(exception.what(), stderr);
    return 1;
  }
}
