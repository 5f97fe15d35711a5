#pragma once

#include "LibKeeper/JobService.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::keeper {

/// The replicated log. It outlives the keepers.
struct FakeLog
{
  std::vector<std::string> records_;
};

/// How the log handles appends.
enum class AppendMode : std::uint8_t
{
  Durable,
  Delayed,        ///< Neither written nor acknowledged until completed.
  Failing,        ///< Written, but reported as TooFewCopies.
  Unacknowledged, ///< Written, but never acknowledged.
};

constexpr std::uint32_t kPartition = 0;

/// A keeper that owns the only partition, with fake ports for its job service.
class FakeKeeper
{
public:
  explicit FakeKeeper(std::shared_ptr<FakeLog> aLog)
    : log_(std::move(aLog))
    , service_(JobService::Make(MakePorts(), JobService::Options{}))
  {
    service_->SetAgents("origin-llm", { "agent-1", "agent-2" });
    service_->OnLinkState("agent-1", wire::LinkState::Up);
    service_->OnLinkState("agent-2", wire::LinkState::Up);
  }

  void Recover(std::uint64_t aEpoch)
  {
    service_->OnRecovering(kPartition, aEpoch);
    for (std::size_t index = 0; index < log_->records_.size(); ++index) {
      service_->OnReplay(
        kPartition, index + 1, { 0, 1, index }, log_->records_[index]);
    }
  }

  void TakeOwnership(std::uint64_t aEpoch)
  {
    Recover(aEpoch);
    service_->OnOwned(kPartition, aEpoch);
    owns_ = true;
    RunTasks();
  }

  void Release()
  {
    owns_ = false;
    service_->OnReleased(kPartition);
    RunTasks();
  }

  /// Runs the tasks posted to the pool until none is left.
  void RunTasks()
  {
    while (!tasks_.empty()) {
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  void AdvanceTime(base::Duration aTime)
  {
    now_ += aTime;
    service_->Tick();
    RunTasks();
  }

  void Receive(const std::string& aPeer, const wire::Message& aMessage)
  {
    service_->OnMessage(aPeer, aMessage);
    RunTasks();
  }

  void SetLinkState(const std::string& aPeer, wire::LinkState aState)
  {
    service_->OnLinkState(aPeer, aState);
    RunTasks();
  }

  void Grant(const std::string& aAgent, std::uint64_t aCount)
  {
    granted_[aAgent] += aCount;
    Receive(aAgent, wire::BatchGrant{ "origin-llm", granted_[aAgent] });
  }

  /// Removes and returns the sent messages of one type to a peer.
  template<typename Message>
  std::vector<Message> PopSent(const std::string& aPeer)
  {
    std::vector<Message> found;
    std::erase_if(sent_, [&](const auto& aSent) {
      const auto* message = std::get_if<Message>(&aSent.second);
      if (aSent.first != aPeer || message == nullptr) {
        return false;
      }
      found.push_back(*message);
      return true;
    });
    return found;
  }

  template<typename Message>
  Message PopOnlySent(const std::string& aPeer)
  {
    auto found = PopSent<Message>(aPeer);
    REQUIRE(found.size() == 1);
    return found.front();
  }

  /// Reports a successful run from an agent.
  void Finish(const std::string& aAgent,
              const wire::StartRun& aStart,
              const std::string& aText)
  {
    wire::RunEnded ended;
    ended.run_ = aStart.run_;
    ended.ran_ = base::Ran::Ran;
    ended.text_ = aText;
    Receive(aAgent, ended);
  }

  void Fail(const std::string& aAgent,
            const base::RunId& aRun,
            base::ResultCode aCode,
            base::Ran aRan)
  {
    wire::RunEnded ended;
    ended.run_ = aRun;
    ended.code_ = aCode;
    ended.ran_ = aRan;
    Receive(aAgent, ended);
  }

  /// Completes the delayed appends and makes later ones durable at once.
  void CompleteDelayedAppends()
  {
    mode_ = AppendMode::Durable;
    for (auto& append : std::exchange(delayedAppends_, {})) {
      append();
    }
    RunTasks();
  }

  wire::ResultsPage Read(const base::JobId& aJob,
                         std::uint32_t aFrom = 0,
                         std::uint32_t aLimit = 0)
  {
    Receive("reader",
            wire::ReadResults{ 77, aJob, "slaegtsspor", aFrom, aLimit });
    return PopOnlySent<wire::ResultsPage>("reader");
  }

  wire::JobStatusReply Status(const base::JobId& aJob)
  {
    Receive("reader", wire::GetJob{ 78, aJob, "slaegtsspor" });
    return PopOnlySent<wire::JobStatusReply>("reader");
  }

  std::shared_ptr<FakeLog> log_;
  AppendMode mode_ = AppendMode::Durable;
  bool owns_ = false;
  std::string otherOwner_;
  std::set<std::uint64_t> quarantined_;
  std::set<std::string> unreachable_;
  base::Instant now_{ std::chrono::hours{ 1 } };
  std::vector<std::pair<std::string, wire::Message>> sent_;
  std::uint64_t trimmedBefore_ = 0;
  bool handedOver_ = false;

private:
  void Append(std::vector<std::string> aRecords, const Ports::Appended& aDone)
  {
    if (!owns_) {
      aDone(base::ResultCode::NotOwner, {});
      return;
    }
    if (mode_ == AppendMode::Delayed) {
      delayedAppends_.push_back(
        [this, aRecords, aDone] { Append(aRecords, aDone); });
      return;
    }
    std::vector<joblog::LogPosition> positions;
    for (std::string& record : aRecords) {
      positions.push_back({ 0, 1, log_->records_.size() });
      log_->records_.push_back(std::move(record));
    }
    if (mode_ == AppendMode::Durable) {
      aDone(base::ResultCode::Ok, positions);
    } else if (mode_ == AppendMode::Failing) {
      aDone(base::ResultCode::TooFewCopies, {});
    }
  }

  Ports MakePorts()
  {
    Ports ports;
    ports.host_ = "keeper";
    ports.append_ = [this](std::uint32_t,
                           std::vector<std::string> aRecords,
                           const Ports::Appended& aDone) {
      Append(std::move(aRecords), aDone);
    };
    ports.read_ = [this](const joblog::LogPosition& aPosition) {
      return base::Result<std::string>(log_->records_.at(aPosition.offset_));
    };
    ports.trim_ = [this](std::uint32_t, std::uint64_t aBefore) {
      trimmedBefore_ = aBefore;
    };
    ports.handOver_ = [this] { handedOver_ = true; };
    ports.send_ = [this](const std::string& aPeer, wire::Message aMessage) {
      if (unreachable_.contains(aPeer)) {
        return base::ResultCode::Disconnected;
      }
      sent_.emplace_back(aPeer, std::move(aMessage));
      return base::ResultCode::Ok;
    };
    ports.post_ = [this](Ports::Task aTask) {
      tasks_.push_back(std::move(aTask));
    };
    ports.hasRoom_ = [] { return true; };
    ports.now_ = [this] { return now_; };
    ports.wallUnixMs_ = [this] { return base::ToMs(now_.time_since_epoch()); };
    ports.partitionCount_ = [] { return 1U; };
    ports.ownerOf_ = [this](std::uint32_t) { return otherOwner_; };
    ports.limitsOf_ = [](const std::string&, const std::string&) {
      return KindLimits{ 3, 5000 };
    };
    ports.batchWeightOf_ = [](const std::string&) { return 1U; };
    ports.isQuarantined_ = [this](std::uint64_t aFingerprint) {
      return quarantined_.contains(aFingerprint);
    };
    return ports;
  }

  std::deque<Ports::Task> tasks_;
  std::vector<std::function<void()>> delayedAppends_;
  std::map<std::string, std::uint64_t> granted_;

public:
  std::shared_ptr<JobService> service_;
};

struct KeeperFixture
{
  std::shared_ptr<FakeLog> log_ = std::make_shared<FakeLog>();
  std::unique_ptr<FakeKeeper> keeper_ = std::make_unique<FakeKeeper>(log_);

  KeeperFixture() { keeper_->TakeOwnership(1); }

  /// Replaces the owner with a new keeper that replays the log.
  void TakeOver()
  {
    keeper_ = std::make_unique<FakeKeeper>(log_);
    keeper_->TakeOwnership(++epoch_);
  }

  /// Advances past the settling time after a takeover.
  void FinishSettling() { keeper_->AdvanceTime(std::chrono::seconds{ 1 }); }

  wire::JobDescription MakeBatchJob(const std::string& aKey,
                                    std::uint32_t aItems) const
  {
    wire::JobDescription job;
    job.id_ = base::MakeJobId("slaegtsspor", aKey);
    job.partner_ = "slaegtsspor";
    job.service_ = "origin-llm";
    job.kind_ = "lineage-batch";
    job.key_ = aKey;
    job.digest_ = 1;
    job.itemCount_ = aItems;
    job.dueUnixMs_ = base::ToMs(keeper_->now_.time_since_epoch()) + 600'000;
    job.retentionS_ = 60;
    job.maxAttempts_ = 3;
    return job;
  }

  static wire::SubmitFrame MakeWholeFrame(const wire::JobDescription& aJob)
  {
    wire::SubmitFrame frame;
    frame.call_ = 5;
    frame.job_ = aJob;
    for (std::uint32_t item = 0; item < aJob.itemCount_; ++item) {
      frame.items_.push_back(
        { "name-" + std::to_string(item), "payload-" + std::to_string(item) });
    }
    frame.last_ = true;
    return frame;
  }

  wire::JobDescription Submit(const std::string& aKey, std::uint32_t aItems)
  {
    wire::JobDescription job = MakeBatchJob(aKey, aItems);
    keeper_->Receive("entry-1", MakeWholeFrame(job));
    const auto reply = keeper_->PopOnlySent<wire::SubmitReply>("entry-1");
    REQUIRE(reply.code_ == base::ResultCode::Ok);
    REQUIRE_FALSE(reply.duplicate_);
    return job;
  }

  static wire::RecordRequest MakeRequest(const std::string& aKey,
                                         std::uint64_t aCall = 1)
  {
    wire::RecordRequest request;
    request.call_ = aCall;
    request.job_ = base::MakeJobId("slaegtsspor", aKey);
    request.partner_ = "slaegtsspor";
    request.service_ = "origin-llm";
    request.kind_ = "look-up";
    request.key_ = aKey;
    request.digest_ = 1;
    request.retentionS_ = 60;
    request.payload_ = "a name";
    return request;
  }

  wire::RecordReply SubmitRequest(const std::string& aEntry,
                                  const wire::RecordRequest& aRequest)
  {
    keeper_->Receive(aEntry, aRequest);
    return keeper_->PopOnlySent<wire::RecordReply>(aEntry);
  }

  static wire::RecordResult MakeResult(const wire::RecordRequest& aRequest,
                                       const std::string& aText)
  {
    wire::RecordResult result;
    result.call_ = 9;
    result.run_ = { aRequest.job_, 0, 1 };
    result.result_.text_ = aText;
    result.result_.ran_ = base::Ran::Ran;
    return result;
  }

private:
  std::uint64_t epoch_ = 1;
};

} // namespace pumiceturn::keeper
