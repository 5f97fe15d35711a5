#include "LibRouting/RunAssembler.h"
#include "LibRouting/Backoff.h"
#include "LibRouting/RetryBudget.h"

#include <catch2/catch.hpp>

namespace pumiceturn::routing {

namespace {

using namespace std::chrono_literals;

wire::Chunk
MakeChunk(std::uint64_t aSequence, std::string aText)
{
  wire::Chunk chunk;
  chunk.sequence_ = aSequence;
  chunk.text_ = std::move(aText);
  chunk.tokens_ = 1;
  return chunk;
}

} // namespace

// Guards against scrambled or repeated text after a link was replaced.
TEST_CASE("RunAssembler_DelayedRepeatedReordered_AssemblesTextOnce")
{
  RunAssembler assembler;
  CHECK(assembler.Add(MakeChunk(1, "Ras")));
  CHECK_FALSE(assembler.Add(MakeChunk(3, "sen ")));
  CHECK(assembler.HasGap());
  CHECK_FALSE(assembler.Add(MakeChunk(1, "Ras")));
  assembler.SetEnd(4);
  CHECK_FALSE(assembler.IsComplete());
  CHECK_FALSE(assembler.Add(MakeChunk(4, "of Fyn")));
  CHECK(assembler.Add(MakeChunk(2, "mus")));
  CHECK(assembler.Text() == "Rasmussen of Fyn");
  CHECK(assembler.Tokens() == 4);
  CHECK(assembler.IsComplete());
  CHECK_FALSE(assembler.HasGap());
}

TEST_CASE("RunAssembler_EndBeforeLastChunk_IsNotComplete")
{
  RunAssembler assembler;
  assembler.Add(MakeChunk(1, "a"));
  assembler.SetEnd(2);
  CHECK_FALSE(assembler.IsComplete());
  CHECK(assembler.ReceivedSequence() == 1);
}

TEST_CASE("RetryBudget_AllAttemptsFail_LimitsRetriesToShare")
{
  RetryBudget budget(RetryBudget::Limits{ 0.1, 2.0 });
  int retries = 0;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.RecordFirstAttempt();
    retries += budget.TryConsume() ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 102);
}

TEST_CASE("Backoff_AnyRandom_StaysBetweenHalfAndFullDelay")
{
  const Backoff backoff{ 20ms, 1s };
  CHECK(backoff.Delay(0, 0) == 10ms);
  CHECK(backoff.Delay(2, 0) == 40ms);
  // A Duration counts microseconds; 20000 is half of the 40 ms.
  CHECK(backoff.Delay(1, 20000) == 40ms);
  CHECK(backoff.Delay(60, ~std::uint64_t{ 0 }) <= 1s);
  CHECK(backoff.Delay(60, 0) == 500ms);
}

} // namespace pumiceturn::routing
