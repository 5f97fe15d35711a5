#include "LibRouting/RunAssembler.h"

namespace pumiceturn::routing {

bool
RunAssembler::Add(const wire::Chunk& aChunk)
{
  if (aChunk.sequence_ <= received_) {
    return false;
  }
  if (aChunk.sequence_ != received_ + 1) {
    if (pending_.size() < kMaxPending) {
      pending_.emplace(aChunk.sequence_, aChunk);
    }
    return false;
  }
  Append(aChunk);
  while (!pending_.empty() && pending_.begin()->first <= received_ + 1) {
    if (pending_.begin()->first == received_ + 1) {
      Append(pending_.begin()->second);
    }
    pending_.erase(pending_.begin());
  }
  return true;
}

void
RunAssembler::SetEnd(std::uint64_t aLastSequence)
{
  endSequence_ = aLastSequence;
}

bool
RunAssembler::HasGap() const
{
  return !pending_.empty() ||
         (endSequence_.has_value() && received_ < *endSequence_);
}

bool
RunAssembler::IsComplete() const
{
  return endSequence_.has_value() && received_ >= *endSequence_;
}

void
RunAssembler::Append(const wire::Chunk& aChunk)
{
  text_ += aChunk.text_;
  tokens_ += aChunk.tokens_;
  received_ = aChunk.sequence_;
}

} // namespace pumiceturn::routing
