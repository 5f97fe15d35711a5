#include "LibAgent/EngineReconcilerRunner.h"

#include "LibAgent/Events.h"

#include <optional>
#include <utility>
#include <variant>

namespace pumiceturn::agent {

using base::ResultCode;

void
EngineReconcilerRunner::SetDesiredState(EngineReconciler::DesiredState aDesired)
{
  const std::scoped_lock lock(mutex_);
  reconciler_.SetDesiredState(std::move(aDesired), base::MonotonicNow());
}

void
EngineReconcilerRunner::OnEngineRestarted()
{
  const std::scoped_lock lock(mutex_);
  reconciler_.OnEngineRestarted(base::MonotonicNow());
}

bool
EngineReconcilerRunner::IsDue() const
{
  const std::scoped_lock lock(mutex_);
  return !isRunning_ && reconciler_.Next(base::MonotonicNow()).has_value();
}

void
EngineReconcilerRunner::ExecuteDueSteps(endpoint::EngineClient& aEngine)
{
  std::unique_lock lock(mutex_);
  if (isRunning_) {
    return;
  }
  isRunning_ = true;
  while (const auto step = reconciler_.Next(base::MonotonicNow())) {
    lock.unlock();
    std::visit([&](const auto& aStep) { Execute(aStep, aEngine); }, *step);
    lock.lock();
  }
  isRunning_ = false;
}

void
EngineReconcilerRunner::Execute(const ReadFence& /*aStep*/,
                                endpoint::EngineClient& /*aEngine*/)
{
  const auto reading = base::Capture([&]() -> base::Result<FenceReading> {
    BOOST_LEAF_AUTO(entry, keyValue_.Get(key_));
    if (!entry) {
      return FenceReading{};
    }
    BOOST_LEAF_AUTO(record, ParseFenceRecord(entry->value_));
    return FenceReading{ std::move(record), entry->modRevision_ };
  });
  const std::scoped_lock lock(mutex_);
  reconciler_.OnFenceRead(reading, base::MonotonicNow());
  if (reconciler_.IsSuperseded()) {
    base::Log(kCommandsSuperseded, { { "key", key_ } });
  }
}

void
EngineReconcilerRunner::Execute(const SwapFence& aStep,
                                endpoint::EngineClient& /*aEngine*/)
{
  const auto swapped = base::Capture([&] {
    return keyValue_.CompareAndSwap({ platform::Swap{
      key_, FormatFenceRecord(aStep.record_), aStep.expectedRevision_ } });
  });
  const auto* failure = std::get_if<base::Failure>(&swapped);
  const ResultCode code = failure == nullptr ? ResultCode::Ok : failure->code_;
  const std::uint64_t revision = failure == nullptr ? std::get<0>(swapped) : 0;
  const std::scoped_lock lock(mutex_);
  reconciler_.OnFenceSwapped(code, revision, base::MonotonicNow());
}

void
EngineReconcilerRunner::Execute(const SendCommand& aStep,
                                endpoint::EngineClient& aEngine)
{
  const auto sent =
    base::Capture([&] { return aEngine.SendCommand(aStep.command_); });
  const auto* failure = std::get_if<base::Failure>(&sent);
  const ResultCode code = failure == nullptr ? ResultCode::Ok : failure->code_;
  base::Log(kCommandSent,
            { { "name", aStep.command_.name_ },
              { "version", aStep.command_.version_ },
              { "fence", aStep.command_.fence_ },
              { "code", base::NameOf(code) } });
  const std::scoped_lock lock(mutex_);
  reconciler_.OnCommandSent(code, base::MonotonicNow());
}

} // namespace pumiceturn::agent
