#pragma once

#include "LibDispatch/EndpointScheduler.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::dispatch {

/// An EndpointScheduler in virtual time. Records its actions: messages by peer,
/// streams by run, and crashes by fingerprint.
class SchedulerFixture
{
public:
  explicit SchedulerFixture(std::uint32_t aPlaces = 4,
                            Policy aPolicy = BurstHeadroom{})
    : scheduler_(MakeOptions(aPlaces, aPolicy),
                 [this](std::uint64_t aFingerprint, Moment /*aMoment*/) {
                   return ContentStatusOf(aFingerprint);
                 })
  {
  }

  static EndpointScheduler::Options MakeOptions(std::uint32_t aPlaces,
                                                Policy aPolicy)
  {
    EndpointScheduler::Options options;
    options.service_ = "origin-llm";
    options.policy_ = aPolicy;
    options.limit_.max_ = aPlaces;
    options.partitionCount_ = 16;
    return options;
  }

  [[nodiscard]] Moment Now() const { return now_; }

  void Advance(base::Duration aTime)
  {
    const base::Instant end = now_.now_ + aTime;
    while (now_.now_ < end) {
      now_.now_ += EndpointScheduler::kTickInterval;
      now_.wall_ += std::chrono::duration_cast<base::WallTime::duration>(
        EndpointScheduler::kTickInterval);
      Apply(scheduler_.OnTick(now_));
    }
  }

  static wire::RunId RunIdOf(std::uint64_t aJob, std::uint32_t aAttempt = 1)
  {
    return wire::RunId{ wire::JobId{ aJob, aJob }, 0, aAttempt };
  }

  static wire::StartRun OnlineRequest(std::uint64_t aJob)
  {
    wire::StartRun request;
    request.run_ = RunIdOf(aJob);
    request.service_ = "origin-llm";
    request.kind_ = "look-up";
    request.online_ = true;
    request.wantChunks_ = true;
    request.deadlineMs_ = 20000;
    request.maxTokens_ = 8;
    request.fingerprint_ = aJob;
    request.payload_ = "where does the name come from";
    return request;
  }

  [[nodiscard]] wire::StartRun BatchRequest(std::uint64_t aJob) const
  {
    wire::StartRun request = OnlineRequest(aJob);
    request.kind_ = "lineage";
    request.online_ = false;
    request.wantChunks_ = false;
    request.deadlineMs_ = 0;
    request.dueUnixMs_ = base::ToUnixMs(now_.wall_) + 3600000;
    return request;
  }

  void Submit(const std::string& aPeer, wire::StartRun aRequest)
  {
    Apply(scheduler_.OnStartRun(aPeer, std::move(aRequest), now_));
  }

  void AddToken(std::uint64_t aJob, const std::string& aText)
  {
    Apply(scheduler_.OnChunk(StreamOf(aJob), ResponseChunk{ aText, 1 }, now_));
  }

  void EndStream(std::uint64_t aJob, StreamResult aResult)
  {
    StreamEnd end;
    end.result_ = aResult;
    switch (aResult) {
      case StreamResult::Finished:
        break;
      case StreamResult::Cancelled:
        end.ran_ = base::Ran::Unknown;
        end.code_ = base::ResultCode::Cancelled;
        break;
      case StreamResult::NotSent:
      case StreamResult::Rejected:
        end.ran_ = base::Ran::NotRun;
        end.code_ = base::ResultCode::NoEndpoint;
        break;
      case StreamResult::Broken:
        end.ran_ = base::Ran::Unknown;
        end.code_ = base::ResultCode::EndpointCrashed;
        break;
      case StreamResult::Failed:
        end.ran_ = base::Ran::Unknown;
        end.code_ = base::ResultCode::EndpointFailed;
        break;
    }
    Apply(scheduler_.OnStreamEnded(StreamOf(aJob), end, now_));
  }

  void Apply(Actions aActions)
  {
    for (Action& action : aActions) {
      if (auto* start = std::get_if<StartStream>(&action)) {
        streams_[start->stream_.run_] = start->stream_;
        starts_.push_back(*start);
      } else if (auto* cancel = std::get_if<CancelStream>(&action)) {
        cancels_.push_back(cancel->stream_.run_);
      } else if (auto* send = std::get_if<SendMessage>(&action)) {
        sent_[send->peer_].push_back(send->message_);
      } else if (auto* crash = std::get_if<RecordCrash>(&action)) {
        ApplyCrash(*crash);
      } else if (std::holds_alternative<BroadcastHeartbeat>(action)) {
        ++heartbeats_;
      }
    }
  }

  template<typename Type>
  [[nodiscard]] std::vector<Type> Sent(const std::string& aPeer) const
  {
    std::vector<Type> found;
    const auto messages = sent_.find(aPeer);
    if (messages == sent_.end()) {
      return found;
    }
    for (const wire::Message& message : messages->second) {
      if (const auto* wanted = std::get_if<Type>(&message)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  /// @return the RunEnded messages of a job that were sent to a peer.
  [[nodiscard]] std::vector<wire::RunEnded> EndsOf(const std::string& aPeer,
                                                   std::uint64_t aJob) const
  {
    std::vector<wire::RunEnded> ends;
    for (const wire::RunEnded& end : Sent<wire::RunEnded>(aPeer)) {
      if (end.run_.job_ == RunIdOf(aJob).job_) {
        ends.push_back(end);
      }
    }
    return ends;
  }

  [[nodiscard]] std::size_t StartsOf(std::uint64_t aJob) const
  {
    std::size_t count = 0;
    for (const StartStream& start : starts_) {
      count += start.stream_.run_.job_ == RunIdOf(aJob).job_ ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] bool WasCancelled(std::uint64_t aJob) const
  {
    for (const wire::RunId& run : cancels_) {
      if (run == RunIdOf(aJob)) {
        return true;
      }
    }
    return false;
  }

  StreamId StreamOf(std::uint64_t aJob) const
  {
    return streams_.at(RunIdOf(aJob));
  }

  std::map<std::uint64_t, int> crashes_;
  std::vector<StartStream> starts_;
  std::vector<wire::RunId> cancels_;
  std::map<std::string, std::vector<wire::Message>> sent_;
  int heartbeats_ = 0;

private:
  ContentStatus ContentStatusOf(std::uint64_t aFingerprint) const
  {
    const auto found = crashes_.find(aFingerprint);
    if (found == crashes_.end()) {
      return ContentStatus::Clear;
    }
    return found->second == 1 ? ContentStatus::Suspect
                              : ContentStatus::Quarantined;
  }

  /// Counts the crash for the fingerprints that are already suspect, or for all
  /// if none is, as the quarantine does.
  void ApplyCrash(const RecordCrash& aCrash)
  {
    bool isAnySuspect = false;
    for (const std::uint64_t fingerprint : aCrash.fingerprints_) {
      isAnySuspect = isAnySuspect || crashes_.contains(fingerprint);
    }
    for (const std::uint64_t fingerprint : aCrash.fingerprints_) {
      if (!isAnySuspect || crashes_.contains(fingerprint)) {
        ++crashes_[fingerprint];
      }
    }
  }

  Moment now_{ base::Instant{ std::chrono::hours{ 1 } },
               base::FromUnixMs(1'800'000'000'000) };
  std::map<wire::RunId, StreamId> streams_;

public:
  EndpointScheduler scheduler_;
};

} // namespace pumiceturn::dispatch
