#pragma once

#include "LibAgent/EngineReconciler.h"
#include "LibEndpoint/EngineClient.h"
#include "LibPlatform/KeyValueClient.h"

#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::agent {

/// Executes the steps of an EngineReconciler. Thread-safe.
class EngineReconcilerRunner
{
public:
  EngineReconcilerRunner(platform::KeyValueClient& aKeyValue,
                         std::string aKey,
                         std::string aProcessId)
    : keyValue_(aKeyValue)
    , key_(std::move(aKey))
    , reconciler_(std::move(aProcessId))
  {
  }

  void SetDesiredState(EngineReconciler::DesiredState aDesired);
  void OnEngineRestarted();

  /// @return whether ExecuteDueSteps() has something to do.
  [[nodiscard]] bool IsDue() const;

  /// Executes all steps that are due. Blocks. Returns at once if another call
  /// is in progress.
  void ExecuteDueSteps(endpoint::EngineClient& aEngine);

private:
  void Execute(const ReadFence& aStep, endpoint::EngineClient& aEngine);
  void Execute(const SwapFence& aStep, endpoint::EngineClient& aEngine);
  void Execute(const SendCommand& aStep, endpoint::EngineClient& aEngine);

  platform::KeyValueClient& keyValue_;
  const std::string key_;
  mutable std::mutex mutex_; ///< Guards the members below.
  EngineReconciler reconciler_;
  bool isRunning_ = false;
};

} // namespace pumiceturn::agent
