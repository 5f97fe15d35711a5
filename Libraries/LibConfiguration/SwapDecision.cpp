#include "LibConfiguration/SwapDecision.h"

#include <utility>

namespace pumiceturn::configuration {

SwapDecision::SwapDecision(Start aStart)
  : start_(std::move(aStart))
{
}

void
SwapDecision::OnSwap(SwapAnswer aAnswer)
{
  switch (aAnswer) {
    case SwapAnswer::Accepted:
      step_ = SwapStep::Accepted;
      return;
    case SwapAnswer::Conflict:
      // It may be an earlier send of ours that changed the head.
      step_ = maybeSent_ ? SwapStep::ReadHead : SwapStep::Refused;
      return;
    case SwapAnswer::Unknown:
      maybeSent_ = true;
      step_ = SwapStep::ReadHead;
      CountFailure();
      return;
    case SwapAnswer::NotSent:
      CountFailure();
      return;
  }
}

void
SwapDecision::OnHead(std::uint64_t aVersion, const std::string& aWriteId)
{
  if (aWriteId == start_.writeId_) {
    step_ = SwapStep::Accepted;
    return;
  }
  step_ =
    aVersion > start_.baseVersion_ ? SwapStep::ReadHistory : SwapStep::SendSwap;
}

void
SwapDecision::OnHistory(const std::optional<std::string>& aWriteId)
{
  if (!aWriteId) {
    // The entry was written together with the head, so it has been pruned
    // since, and nothing else tells whose it was.
    step_ = SwapStep::Unsettled;
    return;
  }
  step_ = *aWriteId == start_.writeId_ ? SwapStep::Accepted : SwapStep::Refused;
}

void
SwapDecision::OnReadFailed()
{
  CountFailure();
}

void
SwapDecision::CountFailure()
{
  ++failures_;
  if (failures_ >= start_.attempts_) {
    step_ = maybeSent_ ? SwapStep::Unsettled : SwapStep::NotSent;
  }
}

} // namespace pumiceturn::configuration
