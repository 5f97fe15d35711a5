#pragma once

#include "LibBase/Result.h"
#include "LibStandin/EngineFaults.h"
#include "LibStandin/EngineModel.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::standin {

/// A stand-in for a model engine, over HTTP:
///
/// | call | answer |
/// |---|---|
/// | POST /v1/completions | server-sent events; needs `stream: true`;
/// `resume_from` goes on after tokens already had | | POST /v1/cancel |
/// `{"id"}`; a closed connection cancels too | | GET /v1/load | running and
/// waiting, as they were `load_lag_ms` ago | | GET /v1/cache_events?after=N |
/// late, and with gaps | | POST /v1/orders |
/// `{"kind","name","version","fence"}`; 409 for a stale fence | | GET
/// /v1/models | what was loaded, role and fence | | POST /v1/kv/export,
/// /v1/kv/import | 501: not there | | GET /healthz | 200 | | POST
/// /standin/faults | changes the faults named; also `{"crash": true}` and
/// `{"silence_running": true}` | | GET /standin/faults, /standin/stats | what
/// is set, what was counted | | POST /standin/runs | `{"prompt"}`: how often it
/// was taken in |
///
/// One thread steps the model; each open connection holds a thread that waits.
/// Thread-safe.
class EngineStandin
{
public:
  struct Options
  {
    std::string host_ = "127.0.0.1";
    int port_ = 0; ///< 0: any free port.
    std::size_t maxConnections_ = 256;
    EngineModelOptions model_;
    EngineFaults faults_; ///< From the start.
  };

  /// @return InputOutput if the port cannot be bound.
  static base::Result<std::unique_ptr<EngineStandin>> Start(Options aOptions);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  [[nodiscard]] int Port() const;
  void Stop();

  void SetFaults(const EngineFaults& aFaults);
  [[nodiscard]] EngineFaults Faults() const;

  /// Drops all connections, loses streams, cache and fence, and refuses new
  /// connections for Faults().crashRestart_.
  void Crash();

  /// The streams of now never say anything again, and their connections stay
  /// open; later ones work.
  void SilenceRunning();

  [[nodiscard]] EngineStats Stats() const;

  /// @return how often a prompt was taken in.
  [[nodiscard]] std::uint64_t RunsOf(std::string_view aPrompt) const;

private:
  struct State;
  explicit EngineStandin(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::standin
