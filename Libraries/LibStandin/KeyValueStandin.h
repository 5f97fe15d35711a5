#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibStandin/KeyValueFaults.h"

#include <memory>
#include <string>

namespace pumiceturn::standin {

/// A stand-in for the platform's key-value service: the published JSON
/// gateway's POST /v3/kv/range, put, txn, deleterange, /v3/lease/grant,
/// keepalive, revoke, and /v3/watch, which streams lines of `{"result":...}`.
/// Reads of old revisions and transactions within transactions are answered
/// with 400.
///
/// POST /standin/faults changes the faults named, and does at once what
/// `{"expire_leases": true}`, `{"compact": true}`, `{"drop_watches": true}`
/// (watch connections break) and `{"silence_watches": true}` (watches of now
/// say nothing more and stay open) ask for. GET /standin/stats counts calls.
/// Thread-safe.
class KeyValueStandin
{
public:
  struct Options
  {
    std::string host_ = "127.0.0.1";
    int port_ = 0; ///< 0: any free port.
    std::size_t maxConnections_ = 512;
    std::string stateFile_; ///< Keeps keys over a restart; empty: none. Keys
                            ///< under a lease are not kept.
    base::Duration progressInterval_{ std::chrono::seconds{ 10 } };
    KeyValueFaults faults_; ///< From the start.
  };

  /// @return InputOutput if the port cannot be bound; CorruptRecord if the
  /// state file cannot be read.
  static base::Result<std::unique_ptr<KeyValueStandin>> Start(Options aOptions);
  ~KeyValueStandin();
  KeyValueStandin(const KeyValueStandin&) = delete;
  KeyValueStandin& operator=(const KeyValueStandin&) = delete;

  [[nodiscard]] int Port() const;
  void Stop();

  void SetFaults(const KeyValueFaults& aFaults);
  [[nodiscard]] KeyValueFaults Faults() const;
  void ExpireLeases();
  void Compact();
  void DropWatches();
  void SilenceWatches();
  [[nodiscard]] KeyValueStats Stats() const;

private:
  struct State;
  explicit KeyValueStandin(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::standin
