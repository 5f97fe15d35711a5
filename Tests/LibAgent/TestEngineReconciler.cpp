#include "LibAgent/EngineReconciler.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::agent {

using base::ResultCode;

namespace {

/// The platform's fence record and an engine that ignores fencing numbers,
/// shared by the agent processes of one endpoint.
class ReconcilerFixture
{
public:
  static EngineReconciler::DesiredState MakeDesiredState(
    std::uint64_t aVersion,
    const std::string& aModelVersion)
  {
    EngineReconciler::DesiredState desired;
    desired.version_ = aVersion;
    desired.commands_ = {
      { endpoint::CommandType::LoadModel, "origin", aModelVersion, 0 },
      { endpoint::CommandType::LoadAdapter, "danish", aModelVersion, 0 }
    };
    return desired;
  }

  /// Executes the next step of a process.
  /// @return false if no step was due.
  bool Step(EngineReconciler& aReconciler)
  {
    const auto step = aReconciler.Next(now_);
    if (!step) {
      return false;
    }
    if (std::holds_alternative<ReadFence>(*step)) {
      aReconciler.OnFenceRead(Read(), now_);
    } else if (const auto* swap = std::get_if<SwapFence>(&*step)) {
      Swap(aReconciler, *swap);
    } else if (const auto* send = std::get_if<SendCommand>(&*step)) {
      ApplyCommand(aReconciler, send->command_);
    }
    return true;
  }

  void Settle(EngineReconciler& aReconciler)
  {
    while (!aReconciler.IsSettled() && Step(aReconciler)) {
    }
  }

  [[nodiscard]] base::Outcome<FenceReading> Read() const
  {
    if (isPlatformDown_) {
      return base::Failure{ ResultCode::PlatformUnavailable, {} };
    }
    return FenceReading{ record_, revision_ };
  }

  void Swap(EngineReconciler& aReconciler, const SwapFence& aSwap)
  {
    if (aSwap.expectedRevision_ != revision_) {
      aReconciler.OnFenceSwapped(ResultCode::PlatformConflict, 0, now_);
      return;
    }
    record_ = aSwap.record_;
    ++revision_;
    if (losesNextResponse_) {
      losesNextResponse_ = false;
      aReconciler.OnFenceSwapped(ResultCode::PlatformOutcomeUnknown, 0, now_);
      return;
    }
    aReconciler.OnFenceSwapped(ResultCode::Ok, revision_, now_);
  }

  void ApplyCommand(EngineReconciler& aReconciler,
                    const endpoint::EngineCommand& aCommand)
  {
    commands_.push_back(aCommand);
    aReconciler.OnCommandSent(ResultCode::Ok, now_);
  }

  base::Instant now_{ std::chrono::hours{ 1 } };
  FenceRecord record_;
  std::uint64_t revision_ = 0;
  bool isPlatformDown_ = false;
  bool losesNextResponse_ = false;
  std::vector<endpoint::EngineCommand> commands_;
};

} // namespace

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_DesiredStateSet_CommandsCarryFence")
{
  EngineReconciler reconciler{ "first" };
  reconciler.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  Settle(reconciler);
  REQUIRE(commands_.size() == 2);
  CHECK(commands_[0].fence_ == 1);
  CHECK(commands_[1].name_ == "danish");
  CHECK(record_ == FenceRecord{ 1, 3, "first" });
  CHECK_FALSE(Step(reconciler));
}

TEST_CASE_METHOD(ReconcilerFixture, "EngineReconciler_UnrelatedChange_NoStep")
{
  EngineReconciler reconciler{ "first" };
  reconciler.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  Settle(reconciler);
  reconciler.SetDesiredState(MakeDesiredState(4, "v1"), now_);
  CHECK_FALSE(Step(reconciler));
  CHECK(revision_ == 1);
}

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_Restart_TakesHigherFenceFirst")
{
  // Guards against a restarted agent that reuses or lowers the fence.
  record_ = { 7, 3, "former" };
  revision_ = 20;
  EngineReconciler reconciler{ "second" };
  reconciler.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  Settle(reconciler);
  REQUIRE(commands_.size() == 2);
  CHECK(commands_[0].fence_ == 8);
}

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_RestartDuringOutage_SendsNoCommand")
{
  // Guards against commands without a fence during a platform outage.
  record_ = { 7, 3, "former" };
  revision_ = 20;
  isPlatformDown_ = true;
  EngineReconciler reconciler{ "second" };
  reconciler.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  Settle(reconciler);
  CHECK(commands_.empty());
  isPlatformDown_ = false;
  now_ += std::chrono::minutes{ 1 };
  Settle(reconciler);
  CHECK(commands_.size() == 2);
}

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_PausedProcess_SendsNoOldCommand")
{
  // Guards against commands of a process that was paused before its swap.
  EngineReconciler former{ "former" };
  former.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  REQUIRE(Step(former)); // Reads the record; the swap is next.
  EngineReconciler successor{ "successor" };
  successor.SetDesiredState(MakeDesiredState(4, "v2"), now_);
  Settle(successor);
  for (int step = 0; step < 20; ++step) {
    now_ += std::chrono::minutes{ 1 };
    Step(former);
  }
  CHECK(former.IsSuperseded());
  REQUIRE(!commands_.empty());
  for (const endpoint::EngineCommand& command : commands_) {
    CHECK(command.version_ == "v2");
  }
}

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_LateCommandOfPausedProcess_IsUndone")
{
  // Guards against an old model that stays loaded after a late command.
  EngineReconciler former{ "former" };
  former.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  REQUIRE(Step(former));
  REQUIRE(Step(former)); // Takes its fence; the command is next.
  EngineReconciler successor{ "successor" };
  successor.SetDesiredState(MakeDesiredState(4, "v2"), now_);
  Settle(successor);
  Settle(former);
  REQUIRE(commands_.back().version_ == "v1");
  now_ += std::chrono::minutes{ 6 };
  while (Step(former) || Step(successor)) {
  }
  CHECK(former.IsSuperseded());
  CHECK(commands_.back().version_ == "v2");
}

TEST_CASE_METHOD(ReconcilerFixture,
                 "EngineReconciler_SwapResponseLost_ReadsBackAndSendsCommands")
{
  // Guards against a process that does not recognise its own swap after a lost
  // response.
  losesNextResponse_ = true;
  EngineReconciler reconciler{ "first" };
  reconciler.SetDesiredState(MakeDesiredState(3, "v1"), now_);
  Settle(reconciler);
  CHECK(commands_.empty());
  now_ += std::chrono::minutes{ 1 };
  Settle(reconciler);
  CHECK(commands_.size() == 2);
  CHECK(revision_ == 1);
}

TEST_CASE("FenceRecord_MalformedText_IsRejected")
{
  const FenceRecord record{ 7, 12, "host-0001" };
  const auto parsed =
    base::Capture([&] { return ParseFenceRecord(FormatFenceRecord(record)); });
  CHECK(std::get<0>(parsed) == record);
  for (const char* text : { "", "7", "7 12", "seven 12 host", "7 12 a b" }) {
    CAPTURE(text);
    const auto malformed =
      base::Capture([&] { return ParseFenceRecord(text); });
    CHECK(std::holds_alternative<base::Failure>(malformed));
  }
}

} // namespace pumiceturn::agent
