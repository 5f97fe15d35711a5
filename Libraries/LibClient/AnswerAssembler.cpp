#include "LibClient/AnswerAssembler.h"

namespace pumiceturn::client {

void
AnswerAssembler::BeginAttempt()
{
  text_.clear();
  lastSequence_ = 0;
}

std::string_view
AnswerAssembler::TakeNew()
{
  const bool isLonger =
    text_.size() > shown_.size() && text_.starts_with(shown_);
  if (!isLonger) {
    return {};
  }
  const std::size_t before = shown_.size();
  shown_ = text_;
  return std::string_view(shown_).substr(before);
}

bool
AnswerAssembler::AddChunk(const caller::CallChunk& aChunk,
                          std::string_view& aNew)
{
  aNew = {};
  if (aChunk.sequence() != lastSequence_ + 1) {
    return false;
  }
  lastSequence_ = aChunk.sequence();
  text_ += aChunk.text();
  aNew = TakeNew();
  return true;
}

bool
AnswerAssembler::Finish(const caller::CallFinished& aFinished,
                        std::string_view& aNew)
{
  // The text comes with the last message where it was not streamed whole, or
  // where another result was recorded first.
  if (aFinished.replaces_chunks() || !aFinished.text().empty()) {
    text_ = aFinished.text();
  }
  aNew = TakeNew();
  return !text_.starts_with(shown_);
}

} // namespace pumiceturn::client
