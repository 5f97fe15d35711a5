#pragma once

#include "LibDispatch/Gate.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::dispatch {

/// A gate in virtual time. What it wants done is written down: messages by
/// peer, streams by run; crashes go into a table of suspects.
class GateFixture
{
public:
  explicit GateFixture(std::uint32_t aPlaces = 4,
                       Policy aPolicy = BurstHeadroom{})
    : gate_(MakeOptions(aPlaces, aPolicy),
            [this](std::uint64_t aFingerprint, Moment /*aMoment*/) {
              return StandingOf(aFingerprint);
            })
  {
  }

  static Gate::Options MakeOptions(std::uint32_t aPlaces, Policy aPolicy)
  {
    Gate::Options options;
    options.service_ = "origin-llm";
    options.policy_ = aPolicy;
    options.limit_.most_ = aPlaces;
    options.partitionCount_ = 16;
    return options;
  }

  [[nodiscard]] Moment Now() const { return now_; }

  void Pass(base::Duration aTime)
  {
    const base::Instant end = now_.now_ + aTime;
    while (now_.now_ < end) {
      now_.now_ += Gate::kTickInterval;
      now_.wall_ += std::chrono::duration_cast<base::WallTime::duration>(
        Gate::kTickInterval);
      Do(gate_.OnTick(now_));
    }
  }

  static wire::RunId IdOf(std::uint64_t aJob, std::uint32_t aAttempt = 1)
  {
    return wire::RunId{ wire::JobId{ aJob, aJob }, 0, aAttempt };
  }

  static wire::StartRun Online(std::uint64_t aJob)
  {
    wire::StartRun order;
    order.run_ = IdOf(aJob);
    order.service_ = "origin-llm";
    order.kind_ = "look-up";
    order.online_ = true;
    order.wantChunks_ = true;
    order.deadlineMs_ = 20000;
    order.maxTokens_ = 8;
    order.fingerprint_ = aJob;
    order.payload_ = "where does the name come from";
    return order;
  }

  [[nodiscard]] wire::StartRun Batch(std::uint64_t aJob) const
  {
    wire::StartRun order = Online(aJob);
    order.kind_ = "lineage";
    order.online_ = false;
    order.wantChunks_ = false;
    order.deadlineMs_ = 0;
    order.dueUnixMs_ = base::ToUnixMs(now_.wall_) + 3600000;
    return order;
  }

  void Order(const std::string& aPeer, wire::StartRun aOrder)
  {
    Do(gate_.OnStartRun(aPeer, std::move(aOrder), now_));
  }

  void Token(std::uint64_t aJob, const std::string& aText)
  {
    Do(gate_.OnTokens(StreamOf(aJob), AnswerPart{ aText, 1 }, now_));
  }

  void End(std::uint64_t aJob, StreamResult aResult)
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
    Do(gate_.OnStreamEnded(StreamOf(aJob), end, now_));
  }

  void Do(Actions aActions)
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
        NoteCrash(*crash);
      } else if (std::holds_alternative<SpreadHeartbeat>(action)) {
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

  /// @return the ends that a peer was told of one job.
  [[nodiscard]] std::vector<wire::RunEnded> EndsOf(const std::string& aPeer,
                                                   std::uint64_t aJob) const
  {
    std::vector<wire::RunEnded> ends;
    for (const wire::RunEnded& end : Sent<wire::RunEnded>(aPeer)) {
      if (end.run_.job_ == IdOf(aJob).job_) {
        ends.push_back(end);
      }
    }
    return ends;
  }

  [[nodiscard]] std::size_t StartsOf(std::uint64_t aJob) const
  {
    std::size_t count = 0;
    for (const StartStream& start : starts_) {
      count += start.stream_.run_.job_ == IdOf(aJob).job_ ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] bool WasCancelled(std::uint64_t aJob) const
  {
    for (const wire::RunId& run : cancels_) {
      if (run == IdOf(aJob)) {
        return true;
      }
    }
    return false;
  }

  StreamId StreamOf(std::uint64_t aJob) const
  {
    return streams_.at(IdOf(aJob));
  }

  std::map<std::uint64_t, int> crashes_;
  std::vector<StartStream> starts_;
  std::vector<wire::RunId> cancels_;
  std::map<std::string, std::vector<wire::Message>> sent_;
  int heartbeats_ = 0;

private:
  ContentStanding StandingOf(std::uint64_t aFingerprint) const
  {
    const auto found = crashes_.find(aFingerprint);
    if (found == crashes_.end()) {
      return ContentStanding::Clear;
    }
    return found->second == 1 ? ContentStanding::Suspect
                              : ContentStanding::Quarantined;
  }

  /// Blames those known before, or else all, as the quarantine does.
  void NoteCrash(const RecordCrash& aCrash)
  {
    bool wasOneKnown = false;
    for (const std::uint64_t fingerprint : aCrash.fingerprints_) {
      wasOneKnown = wasOneKnown || crashes_.contains(fingerprint);
    }
    for (const std::uint64_t fingerprint : aCrash.fingerprints_) {
      if (!wasOneKnown || crashes_.contains(fingerprint)) {
        ++crashes_[fingerprint];
      }
    }
  }

  Moment now_{ base::Instant{ std::chrono::hours{ 1 } },
               base::FromUnixMs(1'800'000'000'000) };
  std::map<wire::RunId, StreamId> streams_;

public:
  Gate gate_;
};

} // namespace pumiceturn::dispatch
