#pragma once

#include "LibWire/LinkHealth.h"
#include "Scenarios/Arguments.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pumiceturn::scenarios {

/// Both ends of one link as its health sees them, in virtual time. Calls go
/// from "left" to "right" and are sent again on a new connection until they are
/// answered.
class LinkStage
{
public:
  explicit LinkStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  [[noreturn]] static void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  void Advance(base::Duration aTime);
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  static constexpr std::size_t kLeft = 0;
  static constexpr std::size_t kRight = 1;

  struct CallState
  {
    bool answered_ = false;
  };

  void Connect();
  void At(base::Duration aDelay, std::function<void()> aEvent);

  /// Carries a message over the present connection, unless it is dead in that
  /// direction or replaced before the message arrives.
  void Carry(std::size_t aFrom, std::function<void()> aArrival);
  void SendHeartbeat(std::size_t aFrom);
  void SendCall(const std::string& aName);
  void CheckEnds();

  base::Instant now_{ std::chrono::hours{ 1 } };
  base::Instant nextCheck_ = now_;
  std::multimap<base::Instant, std::function<void()>> events_;
  std::array<std::optional<wire::LinkHealth>, 2> ends_;
  std::array<bool, 2> dead_{}; ///< By sender: what it sends is lost.
  std::array<base::Instant, 2> pausedUntil_{};
  std::uint64_t connection_ = 0;
  std::optional<base::Instant> faultAt_;
  std::optional<base::Instant> replacedAt_;
  std::map<std::string, CallState> calls_;
};

} // namespace pumiceturn::scenarios
