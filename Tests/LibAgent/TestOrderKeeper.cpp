#include "LibAgent/OrderKeeper.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::agent {

using base::ResultCode;

namespace {

/// The platform's record and an engine that may ignore fencing numbers, shared
/// by agent processes of one endpoint.
class OrderFixture
{
public:
  static OrderKeeper::Declared Declare(std::uint64_t aVersion,
                                       const std::string& aModelVersion)
  {
    OrderKeeper::Declared declared;
    declared.version_ = aVersion;
    declared.orders_ = {
      { endpoint::OrderType::LoadModel, "origin", aModelVersion, 0 },
      { endpoint::OrderType::LoadAdapter, "danish", aModelVersion, 0 }
    };
    return declared;
  }

  /// Makes one exchange of a process.
  /// @return false if none was due.
  bool Step(OrderKeeper& aKeeper)
  {
    const auto step = aKeeper.Next(now_);
    if (!step) {
      return false;
    }
    if (std::holds_alternative<ReadFence>(*step)) {
      aKeeper.OnFenceRead(Read(), now_);
    } else if (const auto* swap = std::get_if<SwapFence>(&*step)) {
      Swap(aKeeper, *swap);
    } else if (const auto* send = std::get_if<SendOrder>(&*step)) {
      Obey(aKeeper, send->order_);
    }
    return true;
  }

  void Settle(OrderKeeper& aKeeper)
  {
    while (!aKeeper.IsSettled() && Step(aKeeper)) {
    }
  }

  [[nodiscard]] base::Outcome<FenceReading> Read() const
  {
    if (isDown_) {
      return base::Failure{ ResultCode::PlatformUnavailable, {} };
    }
    return FenceReading{ record_, revision_ };
  }

  void Swap(OrderKeeper& aKeeper, const SwapFence& aSwap)
  {
    if (aSwap.expectedRevision_ != revision_) {
      aKeeper.OnFenceSwapped(ResultCode::PlatformConflict, 0, now_);
      return;
    }
    record_ = aSwap.record_;
    ++revision_;
    if (losesAnswer_) {
      losesAnswer_ = false;
      aKeeper.OnFenceSwapped(ResultCode::PlatformOutcomeUnknown, 0, now_);
      return;
    }
    aKeeper.OnFenceSwapped(ResultCode::Ok, revision_, now_);
  }

  void Obey(OrderKeeper& aKeeper, const endpoint::EngineOrder& aOrder)
  {
    orders_.push_back(aOrder);
    aKeeper.OnOrderSent(ResultCode::Ok, now_);
  }

  base::Instant now_{ std::chrono::hours{ 1 } };
  FenceRecord record_;
  std::uint64_t revision_ = 0;
  bool isDown_ = false;
  bool losesAnswer_ = false;
  std::vector<endpoint::EngineOrder> orders_;
};

} // namespace

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_Declared_OrdersWithItsNumber")
{
  OrderKeeper keeper{ "first" };
  keeper.SetDeclared(Declare(3, "v1"), now_);
  Settle(keeper);
  REQUIRE(orders_.size() == 2);
  CHECK(orders_[0].fence_ == 1);
  CHECK(orders_[1].name_ == "danish");
  CHECK(record_ == FenceRecord{ 1, 3, "first" });
  CHECK_FALSE(Step(keeper));
}

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_UnrelatedChange_CostsNothing")
{
  OrderKeeper keeper{ "first" };
  keeper.SetDeclared(Declare(3, "v1"), now_);
  Settle(keeper);
  keeper.SetDeclared(Declare(4, "v1"), now_);
  CHECK_FALSE(Step(keeper));
  CHECK(revision_ == 1);
}

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_Restart_TakesTheHighestNumberFirst")
{
  // A restarted agent's orders count as newer than those of its former process.
  // It takes the number after the platform's before it gives any.
  record_ = { 7, 3, "former" };
  revision_ = 20;
  OrderKeeper keeper{ "second" };
  keeper.SetDeclared(Declare(3, "v1"), now_);
  Settle(keeper);
  REQUIRE(orders_.size() == 2);
  CHECK(orders_[0].fence_ == 8);
}

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_RestartDuringOutage_GivesNoOrder")
{
  // The engine keeps what it has while the platform is down: an agent that
  // cannot know the highest number gives no order, and does when it can.
  record_ = { 7, 3, "former" };
  revision_ = 20;
  isDown_ = true;
  OrderKeeper keeper{ "second" };
  keeper.SetDeclared(Declare(3, "v1"), now_);
  Settle(keeper);
  CHECK(orders_.empty());
  isDown_ = false;
  now_ += std::chrono::minutes{ 1 };
  Settle(keeper);
  CHECK(orders_.size() == 2);
}

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_PausedProcess_GivesNoOldOrder")
{
  // An engine that ignores fencing numbers stays at the new model. The former
  // agent process was paused before its swap and wakes after its successor has
  // given newer orders.
  OrderKeeper former{ "former" };
  former.SetDeclared(Declare(3, "v1"), now_);
  REQUIRE(Step(former)); // Has read the record; the swap comes next.
  OrderKeeper successor{ "successor" };
  successor.SetDeclared(Declare(4, "v2"), now_);
  Settle(successor);
  for (int step = 0; step < 20; ++step) {
    now_ += std::chrono::minutes{ 1 };
    Step(former);
  }
  CHECK(former.IsSuperseded());
  REQUIRE(!orders_.empty());
  for (const endpoint::EngineOrder& order : orders_) {
    CHECK(order.version_ == "v2");
  }
}

TEST_CASE_METHOD(OrderFixture, "OrderKeeper_PausedBetweenSwapAndOrder_IsUndone")
{
  // The engine, which ignores numbers, is at the new model within minutes even
  // though a former process woke up with its number already taken and gave its
  // old order last: its successor gives its orders again from time to time.
  OrderKeeper former{ "former" };
  former.SetDeclared(Declare(3, "v1"), now_);
  REQUIRE(Step(former));
  REQUIRE(Step(former)); // Has its number; the order comes next.
  OrderKeeper successor{ "successor" };
  successor.SetDeclared(Declare(4, "v2"), now_);
  Settle(successor);
  Settle(former);
  REQUIRE(orders_.back().version_ == "v1");
  now_ += std::chrono::minutes{ 6 };
  while (Step(former) || Step(successor)) {
  }
  CHECK(former.IsSuperseded());
  CHECK(orders_.back().version_ == "v2");
}

TEST_CASE_METHOD(OrderFixture,
                 "OrderKeeper_AnswerOfSwapLost_ReadsBackAndOrders")
{
  // A model is loaded although the platform's answer was lost. The record
  // names this process, so the swap took effect.
  losesAnswer_ = true;
  OrderKeeper keeper{ "first" };
  keeper.SetDeclared(Declare(3, "v1"), now_);
  Settle(keeper);
  CHECK(orders_.empty());
  now_ += std::chrono::minutes{ 1 };
  Settle(keeper);
  CHECK(orders_.size() == 2);
  CHECK(revision_ == 1);
}

TEST_CASE("FenceRecord_TornText_IsRefused")
{
  const FenceRecord record{ 7, 12, "host-0001" };
  const auto whole =
    base::Capture([&] { return ParseFenceRecord(WriteFenceRecord(record)); });
  CHECK(std::get<0>(whole) == record);
  for (const char* text : { "", "7", "7 12", "seven 12 host", "7 12 a b" }) {
    CAPTURE(text);
    const auto torn = base::Capture([&] { return ParseFenceRecord(text); });
    CHECK(std::holds_alternative<base::Failure>(torn));
  }
}

} // namespace pumiceturn::agent
