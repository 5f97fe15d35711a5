#include "LibClient/AnswerAssembler.h"

#include <catch2/catch.hpp>

namespace pumiceturn::client {

namespace {

class AssemblerFixture
{
protected:
  /// @return what is new to show.
  std::string Add(std::uint64_t aSequence, const char* aText)
  {
    caller::CallChunk chunk;
    chunk.set_sequence(aSequence);
    chunk.set_text(aText);
    std::string_view added;
    REQUIRE(assembler_.AddChunk(chunk, added));
    return std::string(added);
  }

  AnswerAssembler assembler_;
};

} // namespace

TEST_CASE_METHOD(AssemblerFixture, "AnswerAssembler_Chunks_AreShownAsTheyCome")
{
  CHECK(Add(1, "ab") == "ab");
  CHECK(Add(2, "cd") == "cd");
  std::string_view added;
  CHECK_FALSE(assembler_.Finish({}, added));
  CHECK(assembler_.Text() == "abcd");
}

// A researcher sees half an answer; the entry dies, and the next entry streams
// the whole answer again from the start, in other chunks. Without a guard, the
// first half would stand there twice.
TEST_CASE_METHOD(AssemblerFixture,
                 "AnswerAssembler_SecondAttempt_ShowsOnlyTheRest")
{
  Add(1, "abc");
  assembler_.BeginAttempt();
  CHECK(Add(1, "ab").empty());
  CHECK(Add(2, "cde") == "de");
  CHECK(assembler_.Text() == "abcde");
}

// The entry dies while an answer streams, and the owner has the request run
// again: the recorded answer is not the one that was half shown.
TEST_CASE_METHOD(AssemblerFixture,
                 "AnswerAssembler_OtherRecordedAnswer_IsSaidToReplace")
{
  Add(1, "abc");
  assembler_.BeginAttempt();
  caller::CallFinished finished;
  finished.set_text("xyz");
  finished.set_replaces_chunks(true);
  std::string_view added;
  CHECK(assembler_.Finish(finished, added));
  CHECK(added.empty());
  CHECK(assembler_.Text() == "xyz");
}

TEST_CASE_METHOD(AssemblerFixture, "AnswerAssembler_MissingChunk_IsRefused")
{
  Add(1, "a");
  caller::CallChunk chunk;
  chunk.set_sequence(3);
  std::string_view added;
  CHECK_FALSE(assembler_.AddChunk(chunk, added));
}

} // namespace pumiceturn::client
