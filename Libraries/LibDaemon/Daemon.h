#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <Settings.pb.h>

#include <memory>

namespace pumiceturn::daemon {

/// One process of the system: the functions that its settings name, and what
/// they share. Thread-safe.
class Daemon
{
public:
  /// Starts everything in the order of dependence. The log is started by the
  /// caller.
  /// @param aSettings Checked settings.
  static base::Result<std::unique_ptr<Daemon>> Start(
    const settings::Settings& aSettings);

  /// Stops at once, as a lost process would; see BeginDrain() for a graceful
  /// end.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Tells the balancer first, then refuses new work as not run, and says so to
  /// peers at once.
  void BeginDrain();

  /// @return whether no work is left that a stop would cut off.
  [[nodiscard]] bool IsIdle() const;

  /// @return the longest wait for running work after BeginDrain().
  [[nodiscard]] base::Duration ShutdownGrace() const;

private:
  struct State;
  explicit Daemon(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::daemon
