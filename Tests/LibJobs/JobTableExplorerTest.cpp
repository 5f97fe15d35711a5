#include "JobFixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

namespace pumiceturn::jobs {

namespace {

/// What an append that is on its way was made for.
struct InFlight
{
  enum class Purpose : std::uint8_t
  {
    Accept,
    Fact, ///< A result or a cancellation; appended until it is durable.
  };

  Purpose purpose_;
  std::vector<Record> records_;
};

/// Everything that a step may change. Copied at each branch.
struct World
{
  LoggedTable owner_;
  std::deque<InFlight> inFlight_;
  std::set<std::string> answers_; ///< Texts that callers were given.
  bool toldAccepted_ = false;
  int asksLeft_ = 3;
  int resultsLeft_[2] = { 2, 1 };
  int takeoversLeft_ = 2;
  int failuresLeft_ = 2;
  int cancelsLeft_ = 2;
  std::string path_; ///< The steps so far, for the report of a violation.
};

/// Walks every order of steps, up to a depth.
struct Explorer
{
  const wire::RecordRequest request_ = MakeRequest("key", 1);
  const base::JobId job_ = request_.job_;
  std::uint64_t worlds_ = 0;
  std::string firstViolation_;
  std::uint64_t finished_ = 0;

  void Explore(const World& aWorld, int aDepth)
  {
    ++worlds_;
    Check(aWorld);
    if (aDepth == 0) {
      return;
    }
    Ask(aWorld, aDepth);
    Report(aWorld, aDepth, 0);
    Report(aWorld, aDepth, 1);
    Cancel(aWorld, aDepth);
    Settle(aWorld, aDepth);
    FailHead(aWorld, aDepth);
    TakeOver(aWorld, aDepth);
  }

  /// @return the result that callers are given, or empty.
  std::string AnswerOf(const LoggedTable& aOwner) const
  {
    if (aOwner.table_.FindFinished(job_) != nullptr) {
      return aOwner.ResultAt(job_, 0).text_;
    }
    const Job* job = aOwner.table_.Find(job_);
    return job != nullptr && job->IsOver() ? "cancelled" : "";
  }

  void Check(const World& aWorld)
  {
    const LoggedTable replayed = aWorld.owner_.TakeOver();
    const std::string live = AnswerOf(aWorld.owner_);
    const Job* job = aWorld.owner_.table_.Find(job_);
    if (job != nullptr && job->IsOver()) {
      Require(job->results_.size() == 1, aWorld, "not one result");
      Require(job->SourceOf(0) == ResultSource::Cancelled,
              aWorld,
              "a finished request was not taken out");
    }
    if (!live.empty()) {
      ++finished_;
      // Not by place: a result that was appended again lies there twice.
      Require(
        AnswerOf(replayed) == live, aWorld, "a replay gives another result");
    }
    Require(aWorld.answers_.size() <= 1, aWorld, "callers heard different");
    const Job* next = replayed.table_.Find(job_);
    const bool isKept = (next != nullptr && next->IsAccepted()) ||
                        replayed.table_.FindFinished(job_) != nullptr;
    Require(!aWorld.toldAccepted_ || isKept, aWorld, "accepted, then lost");
  }

  void Require(bool aHolds, const World& aWorld, const std::string& aWhat)
  {
    if (!aHolds && firstViolation_.empty()) {
      firstViolation_ = aWhat + " after:" + aWorld.path_;
    }
  }

  void Ask(World aWorld, int aDepth)
  {
    if (aWorld.asksLeft_-- == 0) {
      return;
    }
    aWorld.path_ += " ask";
    AcceptDecision decision =
      aWorld.owner_.table_.AcceptOnline(request_, 3, kNow);
    if (decision.answer_ == Acceptance::Append) {
      aWorld.inFlight_.push_back(
        { InFlight::Purpose::Accept, std::move(decision.records_) });
    } else if (decision.answer_ == Acceptance::Finished) {
      aWorld.answers_.insert(AnswerOf(aWorld.owner_));
    }
    Explore(aWorld, aDepth - 1);
  }

  /// Two attempts end with different texts, each reported more than once.
  void Report(World aWorld, int aDepth, int aAttempt)
  {
    if (aWorld.resultsLeft_[aAttempt]-- == 0) {
      return;
    }
    aWorld.path_ += aAttempt == 0 ? " first-result" : " second-result";
    const base::RunId run{ job_, 0, static_cast<std::uint32_t>(aAttempt + 1) };
    const EndDecision decision = aWorld.owner_.table_.DecideRunEnd(
      MakeEnded(run,
                base::ResultCode::Ok,
                base::Ran::Ran,
                aAttempt == 0 ? "first attempt" : "second attempt"));
    if (decision.record_) {
      aWorld.inFlight_.push_back(
        { InFlight::Purpose::Fact,
          { { kNow, ItemsEnded{ { *decision.record_ } } } } });
    }
    Explore(aWorld, aDepth - 1);
  }

  void Cancel(World aWorld, int aDepth)
  {
    if (aWorld.cancelsLeft_-- == 0) {
      return;
    }
    aWorld.path_ += " cancel";
    const CancelDecision decision = aWorld.owner_.table_.Cancel(job_, kNow);
    if (decision.record_) {
      aWorld.inFlight_.push_back(
        { InFlight::Purpose::Fact, { *decision.record_ } });
    }
    Explore(aWorld, aDepth - 1);
  }

  void Settle(World aWorld, int aDepth)
  {
    if (aWorld.inFlight_.empty()) {
      return;
    }
    aWorld.path_ += " durable";
    const InFlight head = std::move(aWorld.inFlight_.front());
    aWorld.inFlight_.pop_front();
    for (const Record& record : head.records_) {
      aWorld.owner_.Write(record);
    }
    if (head.purpose_ == InFlight::Purpose::Accept) {
      aWorld.owner_.table_.SettleAccept(job_, true);
      aWorld.toldAccepted_ = true;
    }
    Explore(aWorld, aDepth - 1);
  }

  /// The append fails; its records are in the log, or not.
  void FailHead(const World& aWorld, int aDepth)
  {
    if (aWorld.failuresLeft_ == 0 || aWorld.inFlight_.empty()) {
      return;
    }
    for (const bool isInLog : { false, true }) {
      World world = aWorld;
      --world.failuresLeft_;
      world.path_ += isInLog ? " failed-in-log" : " failed";
      const InFlight head = world.inFlight_.front();
      world.inFlight_.pop_front();
      if (isInLog) {
        auto& log = world.owner_.log_;
        log.insert(log.end(), head.records_.begin(), head.records_.end());
      }
      if (head.purpose_ == InFlight::Purpose::Accept) {
        world.owner_.table_.SettleAccept(job_, false);
      } else {
        world.inFlight_.push_back(head);
      }
      Explore(world, aDepth - 1);
    }
  }

  /// The owner is lost. What was on its way is in the log up to some record.
  void TakeOver(const World& aWorld, int aDepth)
  {
    if (aWorld.takeoversLeft_ == 0) {
      return;
    }
    std::vector<Record> onTheWay;
    for (const InFlight& append : aWorld.inFlight_) {
      onTheWay.insert(
        onTheWay.end(), append.records_.begin(), append.records_.end());
    }
    for (std::size_t written = 0; written <= onTheWay.size(); ++written) {
      World world = aWorld;
      --world.takeoversLeft_;
      world.path_ += " takeover-" + std::to_string(written);
      world.inFlight_.clear();
      auto& log = world.owner_.log_;
      log.insert(log.end(),
                 onTheWay.begin(),
                 onTheWay.begin() + static_cast<std::ptrdiff_t>(written));
      world.owner_ = world.owner_.TakeOver();
      Explore(world, aDepth - 1);
    }
  }
};

} // namespace

TEST_CASE("JobTable_EveryOrderOfResendTakeoverAndResults_OneResultForAll")
{
  // Callers resend a request, its run is reported twice and by a second
  // attempt, it is cancelled, appends fail with and without a trace, and owners
  // are lost with records half written. In every order: one result, the same
  // after each takeover and for each caller, and nothing accepted is lost.
  Explorer explorer;
  constexpr int kDepth = 7;
  explorer.Explore(World{}, kDepth);
  CAPTURE(explorer.worlds_, explorer.finished_);
  CHECK(explorer.firstViolation_ == "");
  CHECK(explorer.worlds_ > 100'000);
  CHECK(explorer.finished_ > 1000);
}

} // namespace pumiceturn::jobs
