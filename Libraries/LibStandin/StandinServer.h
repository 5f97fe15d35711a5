#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibStandin/TrackingServer.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace pumiceturn::standin {

/// Serves a stand-in's routes on one port, and can crash and restart as a
/// process would: open connections break, and new ones are refused until the
/// restart. Thread-safe.
class StandinServer
{
public:
  struct Options
  {
    std::string name_; ///< For the log.
    std::string host_ = "127.0.0.1";
    int port_ = 0;                     ///< 0: any free port.
    std::size_t maxConnections_ = 256; ///< Each holds a thread while open.
  };

  using InstallRoutes = std::function<void(httplib::Server&)>;

  /// @param aInstall Called for each server that is started, restarts included.
  /// @return InputOutput if the port cannot be bound.
  static base::Result<std::unique_ptr<StandinServer>> Start(
    Options aOptions,
    InstallRoutes aInstall);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  [[nodiscard]] int Port() const { return port_; }

  /// Breaks all connections and refuses new ones for a time. A handler may call
  /// it; its own answer is then lost.
  void Crash(base::Duration aRestartAfter);

  /// Closes all connections and joins all threads. Handlers that wait must be
  /// woken first.
  void Stop();

private:
  StandinServer(Options aOptions, InstallRoutes aInstall);

  /// @return whether the port could be bound.
  bool OpenServer();
  void RunThread();
  void CloseServer();

  const Options options_;
  const InstallRoutes install_;
  int port_;
  std::mutex mutex_; ///< Guards the members below.
  std::condition_variable wake_;
  std::unique_ptr<TrackingServer> server_;
  bool serving_ = false; ///< server_ accepts connections, or is about to.
  bool stopping_ = false;
  base::Instant restartAt_;
  std::thread thread_;
};

} // namespace pumiceturn::standin
