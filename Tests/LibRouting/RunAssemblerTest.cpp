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

// Story: a link is replaced in the middle of an answer. The agent sends again
// from where the entry says it was, while older chunks still arrive, so chunks
// come late, twice and out of order. The caller must see the text once.
TEST_CASE("RunAssembler_LateRepeatedReordered_GivesTextOnce")
{
  RunAssembler assembler;
  CHECK(assembler.Add(MakeChunk(1, "Ras")));
  CHECK_FALSE(assembler.Add(MakeChunk(3, "sen ")));
  CHECK(assembler.HasGap());
  CHECK_FALSE(assembler.Add(MakeChunk(1, "Ras")));
  assembler.SetEnd(4);
  CHECK_FALSE(assembler.IsWhole());
  CHECK_FALSE(assembler.Add(MakeChunk(4, "of Fyn")));
  CHECK(assembler.Add(MakeChunk(2, "mus")));
  CHECK(assembler.Text() == "Rasmussen of Fyn");
  CHECK(assembler.Tokens() == 4);
  CHECK(assembler.IsWhole());
  CHECK_FALSE(assembler.HasGap());
}

TEST_CASE("RunAssembler_EndBeforeLastChunk_IsNotWhole")
{
  RunAssembler assembler;
  assembler.Add(MakeChunk(1, "a"));
  assembler.SetEnd(2);
  CHECK_FALSE(assembler.IsWhole());
  CHECK(assembler.ReceivedSequence() == 1);
}

TEST_CASE("RetryBudget_AllAttemptsFail_AllowsShareOfThem")
{
  RetryBudget budget(RetryBudget::Limits{ 0.1, 2.0 });
  int retries = 0;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.RecordAttempt();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 102);
}

TEST_CASE("Backoff_AnyRandom_StaysBetweenHalfAndWhole")
{
  const Backoff backoff{ 20ms, 1s };
  CHECK(backoff.Delay(0, 0) == 10ms);
  CHECK(backoff.Delay(2, 0) == 40ms);
  CHECK(backoff.Delay(1, 20000) == 40ms);
  CHECK(backoff.Delay(60, ~std::uint64_t{ 0 }) <= 1s);
  CHECK(backoff.Delay(60, 0) == 500ms);
}

} // namespace pumiceturn::routing
