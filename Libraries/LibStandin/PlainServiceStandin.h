#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::standin {

/// What the plain service stand-in does wrong. JSON names of
/// POST /standin/faults in brackets.
struct PlainServiceFaults
{
  std::uint32_t loseAnswers_ = 0; ///< [lose_answers] So many next calls run and
                                  ///< lose their answer.
  std::uint32_t crashCalls_ = 0;  ///< [crash_calls] So many next calls run and
                                  ///< crash the service before the answer.
  base::Duration slow_{};         ///< [slow_ms] Wait between run and answer.
  base::Duration crashRestart_{
    std::chrono::milliseconds{ 500 } ///< [crash_restart_ms]
  };
};

/// A stand-in for a plain service whose calls may not be repeated:
/// POST /v1/call with the header Request-Key adds one to the key's counter and
/// answers `{"key", "count", "payload_hash"}`, so that a double run shows as a
/// count of 2. Counters outlive a crash. GET /standin/stats lists calls, keys
/// and keys that ran more than once; POST /standin/faults changes the faults
/// named, and `{"crash": true}` crashes the service now. Thread-safe.
class PlainServiceStandin
{
public:
  struct Options
  {
    std::string host_ = "127.0.0.1";
    int port_ = 0; ///< 0: any free port.
    std::size_t maxConnections_ = 256;
    PlainServiceFaults faults_; ///< From the start.
  };

  struct Counts
  {
    std::uint64_t calls_ = 0;
    std::uint64_t keys_ = 0;
    std::uint64_t doubled_ = 0; ///< Keys that ran more than once.
  };

  /// @return InputOutput if the port cannot be bound.
  static base::Result<std::unique_ptr<PlainServiceStandin>> Start(
    Options aOptions);
  ~PlainServiceStandin();
  PlainServiceStandin(const PlainServiceStandin&) = delete;
  PlainServiceStandin& operator=(const PlainServiceStandin&) = delete;

  [[nodiscard]] int Port() const;
  void Stop();
  void SetFaults(const PlainServiceFaults& aFaults);
  void Crash();
  [[nodiscard]] Counts Stats() const;

  /// @return how often a key ran.
  [[nodiscard]] std::uint64_t CountOf(const std::string& aKey) const;

private:
  struct State;
  explicit PlainServiceStandin(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::standin
