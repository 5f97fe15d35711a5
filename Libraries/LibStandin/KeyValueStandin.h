#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::standin {

/// How the key-value service is out of order. Calls then have no effect.
enum class Outage : std::uint8_t
{
  None,   ///< [none]
  Error,  ///< [error] HTTP 503 at once.
  Drop,   ///< [drop] The connection closes without an answer.
  Silent, ///< [silent] No answer until the outage or the client's patience
          ///< ends.
};

/// What the key-value stand-in does wrong. JSON names of POST /standin/faults
/// in brackets.
struct KeyValueFaults
{
  Outage outage_ = Outage::None;  ///< [outage]
  base::Duration slow_{};         ///< [slow_ms] Wait before each call's effect.
  std::uint32_t loseAnswers_ = 0; ///< [lose_answers] So many next writes take
                                  ///< effect and lose their answer.
  double writesPerSecond_ = 500.0; ///< [writes_per_second] 0: no limit.
  double readsPerSecond_ = 2000.0; ///< [reads_per_second] 0: no limit.
};

/// Calls by kind, refused ones included. A watch counts once.
struct KeyValueStats
{
  std::uint64_t range_ = 0;
  std::uint64_t put_ = 0;
  std::uint64_t txn_ = 0;
  std::uint64_t deleteRange_ = 0;
  std::uint64_t leaseGrant_ = 0;
  std::uint64_t leaseKeepAlive_ = 0;
  std::uint64_t leaseRevoke_ = 0;
  std::uint64_t watch_ = 0;
  std::uint64_t rateLimited_ = 0; ///< Refused with HTTP 429.
  std::uint64_t outage_ = 0;      ///< Met an outage.
  std::uint64_t answersLost_ = 0;
  std::uint64_t watchesOpen_ = 0; ///< Now.

  /// @return all calls, as the platform counts them.
  [[nodiscard]] std::uint64_t Calls() const
  {
    return range_ + put_ + txn_ + deleteRange_ + leaseGrant_ + leaseKeepAlive_ +
           leaseRevoke_ + watch_;
  }
};

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
