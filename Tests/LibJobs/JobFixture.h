#pragma once

#include "LibJobs/JobTable.h"

#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::jobs {

constexpr std::int64_t kNow = 1'700'000'000'000;

inline wire::RecordRequest
MakeRequest(const std::string& aKey, std::uint64_t aDigest)
{
  wire::RecordRequest request;
  request.call_ = 1;
  request.job_ = base::MakeJobId("slaegtsspor", aKey);
  request.partner_ = "slaegtsspor";
  request.service_ = "origin-llm";
  request.kind_ = "look-up";
  request.key_ = aKey;
  request.digest_ = aDigest;
  request.deadlineUnixMs_ = kNow + 5000;
  request.retentionS_ = 3600;
  request.payload_ = "Where does the name come from?";
  return request;
}

inline wire::JobDescription
MakeBatchJob(const std::string& aKey,
             std::uint64_t aDigest,
             std::uint32_t aItems)
{
  wire::JobDescription job;
  job.id_ = base::MakeJobId("slaegtsspor", aKey);
  job.partner_ = "slaegtsspor";
  job.service_ = "origin-llm";
  job.kind_ = "lineage-batch";
  job.key_ = aKey;
  job.digest_ = aDigest;
  job.itemCount_ = aItems;
  job.dueUnixMs_ = kNow + 600'000;
  job.retentionS_ = 3600;
  job.maxAttempts_ = 3;
  return job;
}

/// Makes a frame of aCount items from aFirst on. It is marked as the last one
/// if it holds the job's last item.
inline wire::SubmitFrame
MakeFrame(const wire::JobDescription& aJob,
          std::uint32_t aFirst,
          std::uint32_t aCount)
{
  wire::SubmitFrame frame;
  frame.call_ = 1 + aFirst;
  frame.job_ = aJob;
  frame.firstItem_ = aFirst;
  for (std::uint32_t item = aFirst; item < aFirst + aCount; ++item) {
    frame.items_.push_back(
      { "name-" + std::to_string(item), "payload-" + std::to_string(item) });
  }
  frame.last_ = aFirst + aCount == aJob.itemCount_;
  return frame;
}

inline wire::RunEnded
MakeEnded(const base::RunId& aRun,
          base::ResultCode aCode,
          base::Ran aRan,
          std::string aText = {})
{
  wire::RunEnded ended;
  ended.run_ = aRun;
  ended.code_ = aCode;
  ended.ran_ = aRan;
  ended.text_ = std::move(aText);
  return ended;
}

/// A job table and the log of its records.
struct LoggedTable
{
  std::vector<Record> log_;
  JobTable table_;

  RecordEffects Write(const Record& aRecord)
  {
    log_.push_back(aRecord);
    return table_.Apply(aRecord, { 0, 1, log_.size() - 1 }, log_.size());
  }

  void Write(const std::vector<Record>& aRecords, const base::JobId& aJob)
  {
    for (const Record& record : aRecords) {
      Write(record);
    }
    table_.OnAcceptAppended(aJob, true);
  }

  AcceptAction Submit(const wire::SubmitFrame& aFrame)
  {
    const AcceptDecision decision = table_.DecideFrame(aFrame, kNow);
    if (decision.action_ == AcceptAction::Append) {
      Write(decision.records_, aFrame.job_.id_);
    }
    return decision.action_;
  }

  AcceptAction SubmitRequest(const wire::RecordRequest& aRequest)
  {
    const AcceptDecision decision = table_.DecideOnline(aRequest, 3, kNow);
    if (decision.action_ == AcceptAction::Append) {
      Write(decision.records_, aRequest.job_);
    }
    return decision.action_;
  }

  EndAction End(const wire::RunEnded& aEnded)
  {
    const EndDecision decision = table_.DecideRunEnd(aEnded);
    if (decision.record_) {
      Write({ kNow, ItemsEnded{ { *decision.record_ } } });
    }
    return decision.action_;
  }

  /// @return a new table built by replaying the log.
  [[nodiscard]] LoggedTable TakeOver() const
  {
    LoggedTable next;
    for (const Record& record : log_) {
      next.Write(record);
    }
    return next;
  }

  /// @return the recorded result at a position of the job.
  [[nodiscard]] wire::ItemResult ResultAt(const base::JobId& aJob,
                                          std::uint32_t aPosition) const
  {
    const FinishedRequest* online = table_.FindFinished(aJob);
    const ResultLocation& location =
      online != nullptr ? online->result_
                        : table_.Find(aJob)->results_.at(aPosition);
    return std::get<ItemsEnded>(log_.at(location.record_.offset_).body_)
      .ended_.at(location.index_)
      .result_;
  }
};

} // namespace pumiceturn::jobs
