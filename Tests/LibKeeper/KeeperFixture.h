#pragma once

#include "LibKeeper/JobService.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::keeper {

/// The log's copies, as far as keepers see them: what is in here survives any
/// keeper.
struct FakeLog
{
  std::vector<std::string> records_;
};

/// What the log does with appends.
enum class AppendMode : std::uint8_t
{
  Durable,
  Held,      ///< Not in the log, not acknowledged.
  Failing,   ///< TooFewCopies, and in the log all the same.
  Swallowed, ///< In the log, but the owner is lost before the acknowledgement.
};

constexpr std::uint32_t kPartition = 0;

/// One keeper that owns the only partition, with fakes around its job service.
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

  void Own(std::uint64_t aEpoch)
  {
    Recover(aEpoch);
    service_->OnOwned(kPartition, aEpoch);
    owns_ = true;
    Run();
  }

  void Release()
  {
    owns_ = false;
    service_->OnReleased(kPartition);
    Run();
  }

  /// Runs what was posted to the pool until nothing is left.
  void Run()
  {
    while (!tasks_.empty()) {
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  void Pass(base::Duration aTime)
  {
    now_ += aTime;
    service_->Tick();
    Run();
  }

  void From(const std::string& aPeer, const wire::Message& aMessage)
  {
    service_->OnMessage(aPeer, aMessage);
    Run();
  }

  void Link(const std::string& aPeer, wire::LinkState aState)
  {
    service_->OnLinkState(aPeer, aState);
    Run();
  }

  void Grant(const std::string& aAgent, std::uint64_t aCount)
  {
    granted_[aAgent] += aCount;
    From(aAgent, wire::BatchGrant{ "origin-llm", granted_[aAgent] });
  }

  /// Takes the messages of one type sent to a peer since the last call.
  template<typename Message>
  std::vector<Message> Sent(const std::string& aPeer)
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
  Message SentOne(const std::string& aPeer)
  {
    auto found = Sent<Message>(aPeer);
    REQUIRE(found.size() == 1);
    return found.front();
  }

  /// Answers a run that an agent was given.
  void Finish(const std::string& aAgent,
              const wire::StartRun& aStart,
              const std::string& aText)
  {
    wire::RunEnded ended;
    ended.run_ = aStart.run_;
    ended.ran_ = base::Ran::Ran;
    ended.text_ = aText;
    From(aAgent, ended);
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
    From(aAgent, ended);
  }

  /// Acknowledges what Held kept back.
  void Acknowledge()
  {
    mode_ = AppendMode::Durable;
    for (auto& append : std::exchange(held_, {})) {
      append();
    }
    Run();
  }

  wire::ResultsPage Read(const base::JobId& aJob,
                         std::uint32_t aFrom = 0,
                         std::uint32_t aLimit = 0)
  {
    From("reader", wire::ReadResults{ 77, aJob, "slaegtsspor", aFrom, aLimit });
    return SentOne<wire::ResultsPage>("reader");
  }

  wire::JobStatusReply Status(const base::JobId& aJob)
  {
    From("reader", wire::GetJob{ 78, aJob, "slaegtsspor" });
    return SentOne<wire::JobStatusReply>("reader");
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
    if (mode_ == AppendMode::Held) {
      held_.push_back([this, aRecords, aDone] { Append(aRecords, aDone); });
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
    ports.batchShareOf_ = [](const std::string&) { return 1U; };
    ports.isQuarantined_ = [this](std::uint64_t aFingerprint) {
      return quarantined_.contains(aFingerprint);
    };
    return ports;
  }

  std::deque<Ports::Task> tasks_;
  std::vector<std::function<void()>> held_;
  std::map<std::string, std::uint64_t> granted_;

public:
  std::shared_ptr<JobService> service_;
};

struct KeeperFixture
{
  std::shared_ptr<FakeLog> log_ = std::make_shared<FakeLog>();
  std::unique_ptr<FakeKeeper> keeper_ = std::make_unique<FakeKeeper>(log_);

  KeeperFixture() { keeper_->Own(1); }

  /// The owner is lost; another keeper replays the log.
  void TakeOver()
  {
    keeper_ = std::make_unique<FakeKeeper>(log_);
    keeper_->Own(++epoch_);
  }

  /// Waits for what agents may report after a takeover.
  void Settle() { keeper_->Pass(std::chrono::seconds{ 1 }); }

  wire::JobDescription Lot(const std::string& aKey, std::uint32_t aItems) const
  {
    wire::JobDescription lot;
    lot.id_ = base::MakeJobId("slaegtsspor", aKey);
    lot.partner_ = "slaegtsspor";
    lot.service_ = "origin-llm";
    lot.kind_ = "lineage-batch";
    lot.key_ = aKey;
    lot.digest_ = 1;
    lot.itemCount_ = aItems;
    lot.dueUnixMs_ = base::ToMs(keeper_->now_.time_since_epoch()) + 600'000;
    lot.retentionS_ = 60;
    lot.maxAttempts_ = 3;
    return lot;
  }

  static wire::SubmitFrame Whole(const wire::JobDescription& aLot)
  {
    wire::SubmitFrame frame;
    frame.call_ = 5;
    frame.job_ = aLot;
    for (std::uint32_t item = 0; item < aLot.itemCount_; ++item) {
      frame.items_.push_back(
        { "name-" + std::to_string(item), "payload-" + std::to_string(item) });
    }
    frame.last_ = true;
    return frame;
  }

  wire::JobDescription Submit(const std::string& aKey, std::uint32_t aItems)
  {
    wire::JobDescription lot = Lot(aKey, aItems);
    keeper_->From("entry-1", Whole(lot));
    const auto reply = keeper_->SentOne<wire::SubmitReply>("entry-1");
    REQUIRE(reply.code_ == base::ResultCode::Ok);
    REQUIRE_FALSE(reply.duplicate_);
    return lot;
  }

  static wire::RecordRequest Request(const std::string& aKey,
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

  wire::RecordReply Ask(const std::string& aEntry,
                        const wire::RecordRequest& aRequest)
  {
    keeper_->From(aEntry, aRequest);
    return keeper_->SentOne<wire::RecordReply>(aEntry);
  }

  static wire::RecordResult Result(const wire::RecordRequest& aRequest,
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
