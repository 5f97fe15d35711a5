#include "LibAgent/EngineOrders.h"

#include "LibAgent/Events.h"

#include <optional>
#include <utility>
#include <variant>

namespace pumiceturn::agent {

using base::ResultCode;

void
EngineOrders::SetDeclared(OrderKeeper::Declared aDeclared)
{
  const std::scoped_lock lock(mutex_);
  keeper_.SetDeclared(std::move(aDeclared), base::MonotonicNow());
}

void
EngineOrders::OnEngineRestarted()
{
  const std::scoped_lock lock(mutex_);
  keeper_.OnEngineRestarted(base::MonotonicNow());
}

bool
EngineOrders::IsDue() const
{
  const std::scoped_lock lock(mutex_);
  return !isRunning_ && keeper_.Next(base::MonotonicNow()).has_value();
}

void
EngineOrders::Run(endpoint::EngineClient& aEngine)
{
  std::unique_lock lock(mutex_);
  if (isRunning_) {
    return;
  }
  isRunning_ = true;
  while (const auto step = keeper_.Next(base::MonotonicNow())) {
    lock.unlock();
    std::visit([&](const auto& aStep) { Do(aStep, aEngine); }, *step);
    lock.lock();
  }
  isRunning_ = false;
}

void
EngineOrders::Do(const ReadFence& /*aStep*/,
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
  keeper_.OnFenceRead(reading, base::MonotonicNow());
  if (keeper_.IsSuperseded()) {
    base::Log(kOrdersSuperseded, { { "key", key_ } });
  }
}

void
EngineOrders::Do(const SwapFence& aStep, endpoint::EngineClient& /*aEngine*/)
{
  const auto swapped = base::Capture([&] {
    return keyValue_.CompareAndSwap({ platform::Swap{
      key_, WriteFenceRecord(aStep.record_), aStep.expectedRevision_ } });
  });
  const auto* failure = std::get_if<base::Failure>(&swapped);
  const ResultCode code = failure == nullptr ? ResultCode::Ok : failure->code_;
  const std::uint64_t revision = failure == nullptr ? std::get<0>(swapped) : 0;
  const std::scoped_lock lock(mutex_);
  keeper_.OnFenceSwapped(code, revision, base::MonotonicNow());
}

void
EngineOrders::Do(const SendOrder& aStep, endpoint::EngineClient& aEngine)
{
  const auto sent =
    base::Capture([&] { return aEngine.SendOrder(aStep.order_); });
  const auto* failure = std::get_if<base::Failure>(&sent);
  const ResultCode code = failure == nullptr ? ResultCode::Ok : failure->code_;
  base::Log(kOrderSent,
            { { "name", aStep.order_.name_ },
              { "version", aStep.order_.version_ },
              { "fence", aStep.order_.fence_ },
              { "code", base::NameOf(code) } });
  const std::scoped_lock lock(mutex_);
  keeper_.OnOrderSent(code, base::MonotonicNow());
}

} // namespace pumiceturn::agent
