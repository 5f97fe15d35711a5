#pragma once

#include "LibConfiguration/ConfigurationCache.h"
#include "LibConfiguration/SpreadDecision.h"
#include "LibConfiguration/SwapDecision.h"
#include "Scenarios/Arguments.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::scenarios {

/// Operators' changes of one configuration, and its spread to hosts, in virtual
/// time. The key-value service is played: it has a head and a history.
class ConfigurationStage
{
public:
  explicit ConfigurationStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  [[noreturn]] static void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  void Advance(base::Duration aTime);
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  struct Host
  {
    std::unique_ptr<configuration::ConfigurationCache> cache_;
    std::unique_ptr<configuration::SpreadDecision> spread_;
    std::uint64_t highest_ = 0;
    bool wentBack_ = false;
  };

  struct Change
  {
    configuration::SwapDecision decision_;
    std::uint64_t from_ = 0;
    std::string writeId_;
  };

  Host& HostOf(const std::string& aName);
  void StartHost(const std::string& aName);
  void Step(Change& aChange);
  configuration::SwapAnswer Swap(const Change& aChange);
  void Spread(const std::string& aName, Host& aHost);
  void Answer(Host& aHost, const configuration::SpreadRequest& aRequest);
  void Install(Host& aHost, std::uint64_t aVersion);
  void Heartbeat();

  base::Instant now_{ std::chrono::hours{ 1 } };
  base::Instant nextHeartbeat_ = now_;
  std::map<std::uint64_t, std::string> history_; ///< Write id of each version.
  std::map<std::string, Change> changes_;
  std::map<std::string, Host> hosts_;
  std::uint32_t loseAnswers_ = 0;
  bool outage_ = false;
};

} // namespace pumiceturn::scenarios
