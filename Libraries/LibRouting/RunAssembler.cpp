#include "LibRouting/RunAssembler.h"

namespace pumiceturn::routing {

bool
RunAssembler::Add(const wire::Chunk& aChunk)
{
  if (aChunk.sequence_ <= received_) {
    return false;
  }
  if (aChunk.sequence_ != received_ + 1) {
    if (held_.size() < kMaxHeld) {
      held_.emplace(aChunk.sequence_, aChunk);
    }
    return false;
  }
  Append(aChunk);
  while (!held_.empty() && held_.begin()->first <= received_ + 1) {
    if (held_.begin()->first == received_ + 1) {
      Append(held_.begin()->second);
    }
    held_.erase(held_.begin());
  }
  return true;
}

void
RunAssembler::SetEnd(std::uint64_t aLastSequence)
{
  last_ = aLastSequence;
}

bool
RunAssembler::HasGap() const
{
  return !held_.empty() || (last_.has_value() && received_ < *last_);
}

bool
RunAssembler::IsWhole() const
{
  return last_.has_value() && received_ >= *last_;
}

void
RunAssembler::Append(const wire::Chunk& aChunk)
{
  text_ += aChunk.text_;
  tokens_ += aChunk.tokens_;
  received_ = aChunk.sequence_;
}

} // namespace pumiceturn::routing
