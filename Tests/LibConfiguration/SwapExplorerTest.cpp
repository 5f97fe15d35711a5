#include "LibConfiguration/SwapDecision.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::configuration {

namespace {

/// Takes "not found yet" for "refused", as a first design would.
class HastyDecision
{
public:
  explicit HastyDecision(SwapDecision::Start aStart)
    : writeId_(std::move(aStart.writeId_))
  {
  }

  [[nodiscard]] SwapStep Next() const { return step_; }

  void OnSwap(SwapAnswer aAnswer)
  {
    step_ = aAnswer == SwapAnswer::Accepted  ? SwapStep::Accepted
            : aAnswer == SwapAnswer::Unknown ? SwapStep::ReadHead
                                             : SwapStep::Refused;
  }
  void OnHead(std::uint64_t, const std::string& aWriteId)
  {
    step_ = aWriteId == writeId_ ? SwapStep::Accepted : SwapStep::Refused;
  }
  void OnHistory(const std::optional<std::string>&) {}
  void OnReadFailed() { step_ = SwapStep::Unsettled; }

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
  auto operator<=>(const HastyDecision&) const = default;

private:
  std::string writeId_;
  SwapStep step_ = SwapStep::SendSwap;
};

/// The service: the write id of each version, in order.
using Versions = std::vector<std::string>;

/// Walks through every order of events of a few operators' changes, with a
/// bounded number of faults: requests and answers lost, requests that take
/// effect long after their sender gave them up, reads that fail or are stale.
template<typename Decision>
class SwapExplorer
{
public:
  struct Findings
  {
    std::size_t states_ = 0;
    bool violated_ = false;
    std::set<SwapStep> ends_; ///< That were reached by any operator.
  };

  explicit SwapExplorer(int aFaults)
  {
    World start;
    start.faultsLeft_ = aFaults;
    // Two begin from the empty service; the third from version 1.
    for (const std::uint64_t base : { 0U, 0U, 1U }) {
      const std::string id(1, static_cast<char>('a' + start.operators_.size()));
      start.operators_.push_back(
        Operator{ id, base, Decision({ base, id, kAttempts }) });
    }
    Visit(start);
  }

  [[nodiscard]] const Findings& Found() const { return findings_; }

private:
  static constexpr std::uint32_t kAttempts = 3;

  /// What an operator waits for.
  enum class Waiting : std::uint8_t
  {
    Nothing,
    Swap,
    Read, ///< The answer is made and on its way.
  };

  struct Operator
  {
    std::string id_;
    std::uint64_t base_ = 0;
    Decision decision_;
    Waiting waiting_ = Waiting::Nothing;
    Versions read_{}; ///< What the service held when it was read.

    // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
    auto operator<=>(const Operator&) const = default;
  };

  /// A swap on its way to the service.
  struct Sent
  {
    std::size_t operator_ = 0;
    bool awaited_ = true;

    // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
    auto operator<=>(const Sent&) const = default;
  };

  struct World
  {
    Versions versions_{};
    std::vector<Operator> operators_{};
    std::vector<Sent> sent_{};
    int faultsLeft_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
    auto operator<=>(const World&) const = default;
  };

  void Visit(const World& aWorld)
  {
    if (!visited_.insert(aWorld).second) {
      return;
    }
    ++findings_.states_;
    Check(aWorld);
    for (std::size_t i = 0; i < aWorld.operators_.size(); ++i) {
      StepOperator(aWorld, i);
    }
    for (std::size_t i = 0; i < aWorld.sent_.size(); ++i) {
      StepSent(aWorld, i);
    }
  }

  void Check(const World& aWorld)
  {
    for (const Operator& one : aWorld.operators_) {
      const auto times =
        std::count(aWorld.versions_.begin(), aWorld.versions_.end(), one.id_);
      const SwapStep end = one.decision_.Next();
      findings_.ends_.insert(end);
      const bool untrue = times > 1 ||
                          (end == SwapStep::Accepted && times != 1) ||
                          (end == SwapStep::Refused && times != 0) ||
                          (end == SwapStep::NotSent && times != 0);
      findings_.violated_ = findings_.violated_ || untrue;
    }
  }

  void StepOperator(const World& aWorld, std::size_t aIndex)
  {
    const Operator& one = aWorld.operators_[aIndex];
    if (one.waiting_ == Waiting::Read) {
      DeliverRead(aWorld, aIndex);
      return;
    }
    if (one.waiting_ == Waiting::Swap) {
      return;
    }
    const SwapStep step = one.decision_.Next();
    if (step == SwapStep::SendSwap) {
      Send(aWorld, aIndex);
    } else if (step == SwapStep::ReadHead || step == SwapStep::ReadHistory) {
      Read(aWorld, aIndex);
    }
  }

  void Send(const World& aWorld, std::size_t aIndex)
  {
    World sent = aWorld;
    sent.sent_.push_back({ aIndex, true });
    sent.operators_[aIndex].waiting_ = Waiting::Swap;
    Visit(sent);
    WithFault(aWorld, [&](World& aNext) {
      aNext.operators_[aIndex].decision_.OnSwap(SwapAnswer::NotSent);
    });
  }

  void Read(const World& aWorld, std::size_t aIndex)
  {
    World read = aWorld;
    read.operators_[aIndex].waiting_ = Waiting::Read;
    read.operators_[aIndex].read_ = aWorld.versions_;
    Visit(read);
    WithFault(aWorld, [&](World& aNext) {
      aNext.operators_[aIndex].decision_.OnReadFailed();
    });
  }

  void DeliverRead(const World& aWorld, std::size_t aIndex)
  {
    World next = aWorld;
    Operator& one = next.operators_[aIndex];
    const Versions seen = std::exchange(one.read_, {});
    one.waiting_ = Waiting::Nothing;
    if (one.decision_.Next() == SwapStep::ReadHead) {
      one.decision_.OnHead(seen.size(), seen.empty() ? "" : seen.back());
    } else {
      one.decision_.OnHistory(one.base_ < seen.size()
                                ? std::optional(seen[one.base_])
                                : std::nullopt);
    }
    Visit(next);
  }

  void StepSent(const World& aWorld, std::size_t aSent)
  {
    const Sent sent = aWorld.sent_[aSent];
    World arrived = aWorld;
    const SwapAnswer answer = Apply(arrived, aSent);
    if (!sent.awaited_) {
      Visit(arrived);
      return;
    }
    World answered = arrived;
    Answer(answered, sent.operator_, answer);
    Visit(answered);
    WithFault(arrived, [&](World& aNext) {
      Answer(aNext, sent.operator_, SwapAnswer::Unknown);
    });
    WithFault(aWorld, [&](World& aNext) {
      aNext.sent_.erase(aNext.sent_.begin() +
                        static_cast<std::ptrdiff_t>(aSent));
      Answer(aNext, sent.operator_, SwapAnswer::Unknown);
    });
    WithFault(aWorld, [&](World& aNext) {
      aNext.sent_[aSent].awaited_ = false;
      Answer(aNext, sent.operator_, SwapAnswer::Unknown);
    });
  }

  static SwapAnswer Apply(World& aWorld, std::size_t aSent)
  {
    const Operator& one = aWorld.operators_[aWorld.sent_[aSent].operator_];
    aWorld.sent_.erase(aWorld.sent_.begin() +
                       static_cast<std::ptrdiff_t>(aSent));
    if (aWorld.versions_.size() != one.base_) {
      return SwapAnswer::Conflict;
    }
    aWorld.versions_.push_back(one.id_);
    return SwapAnswer::Accepted;
  }

  static void Answer(World& aWorld, std::size_t aIndex, SwapAnswer aAnswer)
  {
    aWorld.operators_[aIndex].waiting_ = Waiting::Nothing;
    aWorld.operators_[aIndex].decision_.OnSwap(aAnswer);
  }

  template<typename Change>
  void WithFault(const World& aWorld, Change aChange)
  {
    if (aWorld.faultsLeft_ == 0) {
      return;
    }
    World next = aWorld;
    --next.faultsLeft_;
    aChange(next);
    Visit(next);
  }

  std::set<World> visited_;
  Findings findings_;
};

} // namespace

// Operators change the configuration at once while answers are lost and
// requests arrive late. Whatever the order: a change said to be accepted is in
// force exactly once, and one said to be refused or not sent never is.
TEST_CASE("SwapDecision_EveryOrderOfEvents_SaysOnlyWhatIsTrue")
{
  constexpr int kFaults = 3;
  const SwapExplorer<SwapDecision> explorer(kFaults);
  CAPTURE(explorer.Found().states_);
  CHECK_FALSE(explorer.Found().violated_);
  for (const SwapStep end : { SwapStep::Accepted,
                              SwapStep::Refused,
                              SwapStep::NotSent,
                              SwapStep::Unsettled }) {
    CHECK(explorer.Found().ends_.contains(end));
  }
}

// An operator is told "refused", and a minute later the change is in force: it
// was still on its way when its writer read back. The explorer must find this.
TEST_CASE("HastyDecision_EveryOrderOfEvents_IsFoundUntrue")
{
  const SwapExplorer<HastyDecision> explorer(1);
  CHECK(explorer.Found().violated_);
}

TEST_CASE("SwapDecision_HistoryPruned_SaysItIsUnsettled")
{
  SwapDecision decision({ 4, "mine", 3 });
  decision.OnSwap(SwapAnswer::Unknown);
  decision.OnHead(2000, "other");
  CHECK(decision.Next() == SwapStep::ReadHistory);
  decision.OnHistory(std::nullopt);
  CHECK(decision.Next() == SwapStep::Unsettled);
}

} // namespace pumiceturn::configuration
