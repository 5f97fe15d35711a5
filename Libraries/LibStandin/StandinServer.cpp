#include "LibStandin/StandinServer.h"

#include "LibStandin/Events.h"

namespace pumiceturn::standin {

namespace {

constexpr std::chrono::milliseconds kBindRetry{ 20 };
constexpr std::chrono::microseconds kStartPoll{ 200 };

} // namespace

base::Result<std::unique_ptr<StandinServer>>
StandinServer::Start(Options aOptions, InstallRoutes aInstall)
{
  std::unique_ptr<StandinServer> server(
    new StandinServer(std::move(aOptions), std::move(aInstall)));
  if (!server->OpenServer()) {
    return base::Fail(base::ResultCode::InputOutput,
                      "cannot listen on " + server->options_.host_ + ":" +
                        std::to_string(server->port_));
  }
  server->thread_ = std::thread([raw = server.get()] { raw->RunThread(); });
  {
    // So that a crash or stop that follows at once finds a server to close.
    std::unique_lock lock(server->mutex_);
    server->wake_.wait(lock, [&] { return server->serving_; });
  }
  base::Log(
    kStandinStarted,
    { { "standin", server->options_.name_ }, { "port", server->port_ } });
  return server;
}

StandinServer::StandinServer(Options aOptions, InstallRoutes aInstall)
  : options_(std::move(aOptions))
  , install_(std::move(aInstall))
  , port_(options_.port_)
{
}

StandinServer::~StandinServer()
{
  Stop();
}

bool
StandinServer::OpenServer()
{
  auto server = std::make_unique<TrackingServer>(options_.maxConnections_);
  install_(*server);
  const int port = server->Bind(options_.host_, port_);
  if (port == 0) {
    return false;
  }
  port_ = port;
  server_ = std::move(server);
  return true;
}

void
StandinServer::RunThread()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    TrackingServer& server = *server_;
    serving_ = true;
    lock.unlock();
    wake_.notify_all();
    server.listen_after_bind();
    lock.lock();
    serving_ = false;
    wake_.wait_until(lock, restartAt_, [this] { return stopping_; });
    while (!stopping_ && !OpenServer()) {
      wake_.wait_for(lock, kBindRetry, [this] { return stopping_; });
    }
    if (!stopping_) {
      base::Log(kStandinRestarted,
                { { "standin", options_.name_ }, { "port", port_ } });
    }
  }
}

/// Needs the lock. The library ignores a stop that comes before its accept
/// loop; once serving_ is set, the thread is on its way there without the lock.
void
StandinServer::CloseServer()
{
  if (!serving_) {
    return;
  }
  while (!server_->is_running()) {
    std::this_thread::sleep_for(kStartPoll);
  }
  serving_ = false;
  server_->stop();
  server_->DropConnections();
}

void
StandinServer::Crash(base::Duration aRestartAfter)
{
  const std::scoped_lock lock(mutex_);
  if (stopping_ || !serving_) {
    return;
  }
  restartAt_ = base::MonotonicNow() + aRestartAfter;
  CloseServer();
  base::Log(kStandinCrashed,
            { { "standin", options_.name_ },
              { "restart_after_ms", base::ToMs(aRestartAfter) } });
}

void
StandinServer::Stop()
{
  {
    const std::scoped_lock lock(mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
    CloseServer();
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

} // namespace pumiceturn::standin
