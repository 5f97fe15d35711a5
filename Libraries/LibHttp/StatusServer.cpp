#include "LibHttp/StatusServer.h"

#include "LibSettings/Address.h"

#include <httplib.h>

#include <thread>

namespace pumiceturn::http {

namespace {

constexpr std::size_t kThreads = 2;
constexpr std::time_t kTimeoutS = 2;
constexpr std::size_t kMaxRequestBytes = 4096;
constexpr int kOkStatus = 200;
constexpr int kUnavailableStatus = 503;
constexpr const char* kText = "text/plain; version=0.0.4";

void
AnswerYesOrNo(httplib::Response& aResponse, bool aIsYes)
{
  aResponse.status = aIsYes ? kOkStatus : kUnavailableStatus;
  aResponse.set_content(aIsYes ? "ok\n" : "no\n", kText);
}

void
ReuseAddress(socket_t aSocket)
{
  const int enabled = 1;
  setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

} // namespace

struct StatusServer::State
{
  Callbacks callbacks_;
  httplib::Server server_;
  std::uint16_t port_ = 0;
  std::thread thread_;

  void SetUp()
  {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    // The library's default also sets SO_REUSEPORT, with which two processes
    // share a port unnoticed and each is asked about the other.
    server_.set_socket_options(ReuseAddress);
    // With so few threads, a scraper that keeps its connection open would keep
    // the balancer waiting.
    server_.set_keep_alive_max_count(1);
    server_.set_read_timeout(kTimeoutS);
    server_.set_write_timeout(kTimeoutS);
    server_.set_payload_max_length(kMaxRequestBytes);
    server_.Get("/metrics",
                [this](const httplib::Request&, httplib::Response& aResponse) {
                  aResponse.set_content(callbacks_.writeMetrics_(), kText);
                });
    server_.Get("/healthz",
                [this](const httplib::Request&, httplib::Response& aResponse) {
                  AnswerYesOrNo(aResponse, callbacks_.isHealthy_());
                });
    server_.Get("/readyz",
                [this](const httplib::Request&, httplib::Response& aResponse) {
                  AnswerYesOrNo(aResponse, callbacks_.isReady_());
                });
  }

  bool Bind(const settings::Address& aAddress)
  {
    if (aAddress.port_ != 0) {
      port_ = aAddress.port_;
      return server_.bind_to_port(aAddress.ip_, port_);
    }
    const int port = server_.bind_to_any_port(aAddress.ip_);
    port_ = static_cast<std::uint16_t>(port);
    return port > 0;
  }
};

base::Result<std::unique_ptr<StatusServer>>
StatusServer::Start(const std::string& aAddress, Callbacks aCallbacks)
{
  const auto address = settings::ParseAddress(aAddress);
  if (!address) {
    return base::Fail(base::ResultCode::OutOfRange,
                      "expects IP:port, not '" + aAddress + "'");
  }
  auto state = std::make_unique<State>();
  state->callbacks_ = std::move(aCallbacks);
  state->SetUp();
  if (!state->Bind(*address)) {
    return base::Fail(base::ResultCode::InputOutput,
                      "cannot listen on " + aAddress);
  }
  State& running = *state;
  state->thread_ =
    std::thread([&running] { running.server_.listen_after_bind(); });
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(state)));
}

StatusServer::StatusServer(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

StatusServer::~StatusServer()
{
  // stop() does nothing before the thread listens, and the thread would then
  // never end.
  while (!state_->server_.is_running()) {
    std::this_thread::yield();
  }
  state_->server_.stop();
  state_->thread_.join();
}

std::uint16_t
StatusServer::Port() const
{
  return state_->port_;
}

} // namespace pumiceturn::http
