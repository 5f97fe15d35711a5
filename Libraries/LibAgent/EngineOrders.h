#pragma once

#include "LibAgent/OrderKeeper.h"
#include "LibEndpoint/EngineClient.h"
#include "LibPlatform/KeyValueClient.h"

#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::agent {

/// Carries out the steps of an OrderKeeper. Thread-safe.
class EngineOrders
{
public:
  EngineOrders(platform::KeyValueClient& aKeyValue,
               std::string aKey,
               std::string aWriteId)
    : keyValue_(aKeyValue)
    , key_(std::move(aKey))
    , keeper_(std::move(aWriteId))
  {
  }

  void SetDeclared(OrderKeeper::Declared aDeclared);
  void OnEngineRestarted();

  /// @return whether Run() has something to do.
  [[nodiscard]] bool IsDue() const;

  /// Makes the exchanges that are due. Blocks; one call at a time does work.
  void Run(endpoint::EngineClient& aEngine);

private:
  void Do(const ReadFence& aStep, endpoint::EngineClient& aEngine);
  void Do(const SwapFence& aStep, endpoint::EngineClient& aEngine);
  void Do(const SendOrder& aStep, endpoint::EngineClient& aEngine);

  platform::KeyValueClient& keyValue_;
  const std::string key_;
  mutable std::mutex mutex_; ///< Guards what follows.
  OrderKeeper keeper_;
  bool isRunning_ = false;
};

} // namespace pumiceturn::agent
