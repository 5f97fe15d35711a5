#include "JobFixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

namespace pumiceturn::jobs {

namespace {

/// An append that has not completed.
struct InFlightAppend
{
  enum class Purpose : std::uint8_t
  {
    Accept,
    ResultOrCancel, ///< Retried until it is durable.
  };

  Purpose purpose_;
  std::vector<Record> records_;
};

/// The state that a step may change. Copied at each branch.
struct ExplorerState
{
  LoggedTable owner_;
  std::deque<InFlightAppend> inFlightAppends_;
  std::set<std::string> receivedResults_; ///< Results returned to callers.
  bool acceptanceReported_ = false;
  int requestsLeft_ = 3;
  int resultsLeft_[2] = { 2, 1 };
  int takeoversLeft_ = 2;
  int failuresLeft_ = 2;
  int cancelsLeft_ = 2;
  std::string path_; ///< Steps so far, for the report of a violation.
};

/// Explores every order of steps up to a depth.
struct Explorer
{
  const wire::RecordRequest request_ = MakeRequest("key", 1);
  const base::JobId job_ = request_.job_;
  std::uint64_t states_ = 0;
  std::string firstViolation_;
  std::uint64_t finished_ = 0;

  void Explore(const ExplorerState& aState, int aDepth)
  {
    ++states_;
    Check(aState);
    if (aDepth == 0) {
      return;
    }
    SubmitRequest(aState, aDepth);
    ReportResult(aState, aDepth, 0);
    ReportResult(aState, aDepth, 1);
    Cancel(aState, aDepth);
    CompleteAppend(aState, aDepth);
    FailFirstAppend(aState, aDepth);
    TakeOver(aState, aDepth);
  }

  /// @return the result that a caller would receive, or empty.
  std::string ResultOf(const LoggedTable& aOwner) const
  {
    if (aOwner.table_.FindFinished(job_) != nullptr) {
      return aOwner.ResultAt(job_, 0).text_;
    }
    const Job* job = aOwner.table_.Find(job_);
    return job != nullptr && job->IsClosed() ? "cancelled" : "";
  }

  void Check(const ExplorerState& aState)
  {
    const LoggedTable replayed = aState.owner_.TakeOver();
    const std::string live = ResultOf(aState.owner_);
    const Job* job = aState.owner_.table_.Find(job_);
    if (job != nullptr && job->IsClosed()) {
      NoteViolationUnless(job->results_.size() == 1,
                          aState,
                          "the job does not have exactly one result");
      NoteViolationUnless(
        job->SourceOf(0) == ResultSource::Cancelled,
        aState,
        "a finished request was not moved out of the job table");
    }
    if (!live.empty()) {
      ++finished_;
      // Compares texts, not locations: a result may be in the log twice.
      NoteViolationUnless(ResultOf(replayed) == live,
                          aState,
                          "a replay gives a different result");
    }
    NoteViolationUnless(aState.receivedResults_.size() <= 1,
                        aState,
                        "callers received different results");
    const Job* next = replayed.table_.Find(job_);
    const bool isKept = (next != nullptr && next->IsAccepted()) ||
                        replayed.table_.FindFinished(job_) != nullptr;
    NoteViolationUnless(!aState.acceptanceReported_ || isKept,
                        aState,
                        "an accepted request was lost");
  }

  /// Notes the first violation; the exploration continues.
  void NoteViolationUnless(bool aHolds,
                           const ExplorerState& aState,
                           const std::string& aWhat)
  {
    if (!aHolds && firstViolation_.empty()) {
      firstViolation_ = aWhat + " after:" + aState.path_;
    }
  }

  void SubmitRequest(ExplorerState aState, int aDepth)
  {
    if (aState.requestsLeft_-- == 0) {
      return;
    }
    aState.path_ += " ask";
    AcceptDecision decision =
      aState.owner_.table_.DecideOnline(request_, 3, kNow);
    if (decision.action_ == AcceptAction::Append) {
      aState.inFlightAppends_.push_back(
        { InFlightAppend::Purpose::Accept, std::move(decision.records_) });
    } else if (decision.action_ == AcceptAction::Finished) {
      aState.receivedResults_.insert(ResultOf(aState.owner_));
    }
    Explore(aState, aDepth - 1);
  }

  /// Reports a result. The two attempts have different texts.
  void ReportResult(ExplorerState aState, int aDepth, int aAttempt)
  {
    if (aState.resultsLeft_[aAttempt]-- == 0) {
      return;
    }
    aState.path_ += aAttempt == 0 ? " first-result" : " second-result";
    const base::RunId run{ job_, 0, static_cast<std::uint32_t>(aAttempt + 1) };
    const EndDecision decision = aState.owner_.table_.DecideRunEnd(
      MakeEnded(run,
                base::ResultCode::Ok,
                base::Ran::Ran,
                aAttempt == 0 ? "first attempt" : "second attempt"));
    if (decision.record_) {
      aState.inFlightAppends_.push_back(
        { InFlightAppend::Purpose::ResultOrCancel,
          { { kNow, ItemsEnded{ { *decision.record_ } } } } });
    }
    Explore(aState, aDepth - 1);
  }

  void Cancel(ExplorerState aState, int aDepth)
  {
    if (aState.cancelsLeft_-- == 0) {
      return;
    }
    aState.path_ += " cancel";
    const CancelDecision decision =
      aState.owner_.table_.DecideCancel(job_, kNow);
    if (decision.record_) {
      aState.inFlightAppends_.push_back(
        { InFlightAppend::Purpose::ResultOrCancel, { *decision.record_ } });
    }
    Explore(aState, aDepth - 1);
  }

  void CompleteAppend(ExplorerState aState, int aDepth)
  {
    if (aState.inFlightAppends_.empty()) {
      return;
    }
    aState.path_ += " durable";
    const InFlightAppend head = std::move(aState.inFlightAppends_.front());
    aState.inFlightAppends_.pop_front();
    for (const Record& record : head.records_) {
      aState.owner_.Write(record);
    }
    if (head.purpose_ == InFlightAppend::Purpose::Accept) {
      aState.owner_.table_.OnAcceptAppended(job_, true);
      aState.acceptanceReported_ = true;
    }
    Explore(aState, aDepth - 1);
  }

  /// Fails an append, with and without its records in the log.
  void FailFirstAppend(const ExplorerState& aState, int aDepth)
  {
    if (aState.failuresLeft_ == 0 || aState.inFlightAppends_.empty()) {
      return;
    }
    for (const bool isInLog : { false, true }) {
      ExplorerState state = aState;
      --state.failuresLeft_;
      state.path_ += isInLog ? " failed-in-log" : " failed";
      const InFlightAppend head = state.inFlightAppends_.front();
      state.inFlightAppends_.pop_front();
      if (isInLog) {
        auto& log = state.owner_.log_;
        log.insert(log.end(), head.records_.begin(), head.records_.end());
      }
      if (head.purpose_ == InFlightAppend::Purpose::Accept) {
        state.owner_.table_.OnAcceptAppended(job_, false);
      } else {
        state.inFlightAppends_.push_back(head);
      }
      Explore(state, aDepth - 1);
    }
  }

  /// Replaces the owner, with every possible prefix of the in-flight records in
  /// the log.
  void TakeOver(const ExplorerState& aState, int aDepth)
  {
    if (aState.takeoversLeft_ == 0) {
      return;
    }
    std::vector<Record> inFlightRecords;
    for (const InFlightAppend& append : aState.inFlightAppends_) {
      inFlightRecords.insert(
        inFlightRecords.end(), append.records_.begin(), append.records_.end());
    }
    for (std::size_t written = 0; written <= inFlightRecords.size();
         ++written) {
      ExplorerState state = aState;
      --state.takeoversLeft_;
      state.path_ += " takeover-" + std::to_string(written);
      state.inFlightAppends_.clear();
      auto& log = state.owner_.log_;
      log.insert(log.end(),
                 inFlightRecords.begin(),
                 inFlightRecords.begin() +
                   static_cast<std::ptrdiff_t>(written));
      state.owner_ = state.owner_.TakeOver();
      Explore(state, aDepth - 1);
    }
  }
};

} // namespace

TEST_CASE("JobTable_EveryOrderOfResendTakeoverAndResults_OneResultForAll")
{
  // In every order of resends, results, cancellations, append failures and
  // takeovers, a request has one result, the same for every caller and after
  // every takeover, and no accepted request is lost.
  Explorer explorer;
  constexpr int kDepth = 7;
  explorer.Explore(ExplorerState{}, kDepth);
  CAPTURE(explorer.states_, explorer.finished_);
  CHECK(explorer.firstViolation_ == "");
  // Fails if the exploration no longer reaches many states or finished
  // requests.
  CHECK(explorer.states_ > 100'000);
  CHECK(explorer.finished_ > 1000);
}

} // namespace pumiceturn::jobs
