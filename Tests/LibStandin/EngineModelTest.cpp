#include "LibStandin/EngineModel.h"

#include "LibStandin/EngineAnswer.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace pumiceturn::standin {

namespace {

EngineModelOptions
MakeOptions()
{
  EngineModelOptions options;
  options.maxRunning_ = 2;
  options.stepMs_ = 10.0;
  options.stepPerRunningMs_ = 1.0;
  options.prefillPerTokenMs_ = 0.5;
  return options;
}

/// @return what each stream emitted until nothing was left to do.
std::map<std::string, std::string>
RunAll(EngineModel& aModel)
{
  std::map<std::string, std::string> texts;
  while (aModel.BeginStep() != base::Duration::zero()) {
    for (const Emission& emission : aModel.EndStep()) {
      texts[emission.id_] += emission.text_;
    }
  }
  return texts;
}

} // namespace

TEST_CASE("EngineAnswer_OtherPromptOrPosition_GivesOtherTokens")
{
  const auto answer = EngineAnswer("a", 64);
  CHECK(answer == EngineAnswer("a", 64));
  CHECK(answer.size() >= 32);
  CHECK(answer.size() <= 64);
  CHECK(answer[0] != EngineAnswer("b", 64)[0]);
  CHECK(answer[1] != answer[2]);
}

TEST_CASE("EngineModel_FullBatch_AdmitsInOrderOfArrival")
{
  EngineModel model(MakeOptions());
  for (const char* id : { "1", "2", "3" }) {
    REQUIRE(model.Submit({ .id_ = id, .prompt_ = id, .maxTokens_ = 4 }));
  }
  model.BeginStep();
  CHECK(model.Running() == 2);
  CHECK(model.Waiting() == 1);
  CHECK(model.Cancel("1"));
  model.BeginStep();
  CHECK(model.Running() == 2);
  CHECK(model.Waiting() == 0);
  const auto texts = RunAll(model);
  CHECK(texts.at("2") == EngineAnswerText("2", 4));
  CHECK(texts.at("3") == EngineAnswerText("3", 4));
  CHECK_FALSE(texts.contains("1"));
}

TEST_CASE("EngineModel_StepTime_GrowsWithBatchAndUncachedPrompt")
{
  EngineModel model(MakeOptions());
  const std::string prompt(128, 'p'); // 32 tokens, 2 blocks.
  model.Submit({ .id_ = "1", .prompt_ = prompt, .maxTokens_ = 100 });
  CHECK(model.BeginStep() == std::chrono::milliseconds{ 10 + 1 + 16 });
  model.EndStep();
  CHECK(model.BeginStep() == std::chrono::milliseconds{ 10 + 1 });
  model.EndStep();
  model.Submit({ .id_ = "2", .prompt_ = prompt, .maxTokens_ = 100 });
  CHECK(model.BeginStep() == std::chrono::milliseconds{ 10 + 2 });
}

TEST_CASE("EngineModel_CacheTooSmall_EvictsTheLeastRecentlyUsed")
{
  EngineModelOptions options = MakeOptions();
  options.cacheBlocks_ = 2;
  PrefixCache cache(options.cacheBlocks_);
  const std::string first(128, 'a');
  const std::string second(64, 'b');
  cache.Store(first);
  CHECK(cache.CachedBytes(first) == 128);
  cache.Store(second);
  CHECK(cache.CachedBytes(first) == 64);
  CHECK(cache.CachedBytes(second) == 64);
  const auto changes = cache.TakeChanges();
  REQUIRE(changes.size() == 4);
  CHECK_FALSE(changes[3].stored_);
  CHECK(changes[3].bytes_ == 128);
}

TEST_CASE("EngineModel_CancelledThenResumed_GoesOnCheaply")
{
  EngineModel model(MakeOptions());
  const std::string prompt(256, 'p');
  const EngineModel::Submission submission{ .id_ = "1",
                                            .prompt_ = prompt,
                                            .maxTokens_ = 40 };
  model.Submit(submission);
  std::string text;
  for (int step = 0; step < 10; ++step) {
    model.BeginStep();
    text += model.EndStep().at(0).text_;
  }
  REQUIRE(model.Cancel("1"));
  EngineModel::Submission resumed = submission;
  resumed.resumeFrom_ = 10;
  model.Submit(resumed);
  // Prompt and answer so far are cached, but for the last part of a block.
  CHECK(model.BeginStep() < std::chrono::milliseconds{ 10 + 1 + 16 });
  for (const Emission& emission : model.EndStep()) {
    text += emission.text_;
  }
  text += RunAll(model)["1"];
  CHECK(text == EngineAnswerText(prompt, 40));
}

} // namespace pumiceturn::standin
