#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace pumiceturn::configuration {

/// What became of one send of a swap.
enum class SwapAnswer : std::uint8_t
{
  Accepted,
  Conflict, ///< The head had changed.
  Unknown,  ///< The answer was lost; it may take effect, even later.
  NotSent,
};

/// What a change needs done next, and at the end what became of it.
enum class SwapStep : std::uint8_t
{
  SendSwap,
  ReadHead,
  ReadHistory, ///< The entry of the version the change would make.
  Accepted,    ///< In force as that version, exactly once.
  Refused,     ///< Never in force, now or later: the head has moved on.
  NotSent,     ///< Never in force: no send left this process.
  Unsettled,   ///< The service does not say. It may still take effect.
};

/// Decides what became of one change of the head, when answers may be lost. A
/// lost answer is settled by reading back and looking for the change's write
/// id. Not finding it while the head is unchanged proves nothing, as the swap
/// may still be on its way: so the same swap is sent again. All sends expect
/// the same head, so one at most takes effect; once the head has moved on, none
/// can any more, and only then "refused" is true.
class SwapDecision
{
public:
  struct Start
  {
    std::uint64_t baseVersion_ = 0; ///< Of the head the change is made from.
    std::string writeId_;
    std::uint32_t attempts_ = 8; ///< Most steps that may fail.

    // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
    auto operator<=>(const Start&) const = default;
  };

  explicit SwapDecision(Start aStart);

  [[nodiscard]] SwapStep Next() const { return step_; }

  void OnSwap(SwapAnswer aAnswer);

  /// The head was read.
  void OnHead(std::uint64_t aVersion, const std::string& aWriteId);

  /// The history entry was read.
  /// @param aWriteId Nothing where the entry does not exist.
  void OnHistory(const std::optional<std::string>& aWriteId);

  /// Reading the head or the history entry failed.
  void OnReadFailed();

  /// So that an explorer of all orders of events can tell states apart.
  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
  auto operator<=>(const SwapDecision&) const = default;

private:
  void CountFailure();

  Start start_;
  SwapStep step_ = SwapStep::SendSwap;
  std::uint32_t failures_ = 0;
  bool maybeSent_ = false; ///< Some send's answer was lost.
};

} // namespace pumiceturn::configuration
