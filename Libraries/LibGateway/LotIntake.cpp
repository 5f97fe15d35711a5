#include "LibGateway/LotIntake.h"

#include "LibGateway/Events.h"
#include "LibGateway/LotCreation.h"
#include "LibHttpStream/Status.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>
#include <variant>

namespace pumiceturn::gateway {

namespace {

/// How long a lot is tried to be stored; its sender comes again afterwards.
constexpr std::chrono::milliseconds kSubmitPatience{ 2500 };

/// Silence of the store after which a lot is kept on workers' disks: the store
/// answers within 10 ms, on a slow day within 250 ms, and senders count an
/// answer after half a second as late.
constexpr std::chrono::milliseconds kHoldAfter{ 250 };

constexpr std::chrono::milliseconds kRetryAfter{ 300 };

} // namespace

/// A lot on its way into the store or onto disks.
struct LotIntake::Submission
{
  enum class Hold : std::uint8_t
  {
    NotTried,
    UnderWay,
    Failed,
  };

  explicit Submission(const boost::asio::any_io_executor& aExecutor)
    : holdTimer_(aExecutor)
  {
  }

  std::shared_ptr<httpstream::Exchange> exchange_;
  lots::HeldLot lot_;
  metadata::Transaction transaction_;
  boost::asio::steady_timer holdTimer_;
  base::Instant giveUpAt_;
  bool isCommitting_ = false;
  Hold hold_ = Hold::NotTried;
  bool mayBeStored_ = false; ///< A try had no answer.
  bool isAnswered_ = false;
};

LotIntake::LotIntake(Shared& aShared,
                     metadata::StoreClient& aStore,
                     const lots::LotTable& aLots,
                     const lots::HostSet& aHosts,
                     std::string aOwnName,
                     boost::asio::any_io_executor aExecutor,
                     PeerCallers& aCallers,
                     std::size_t aCopies)
  : shared_(aShared)
  , store_(aStore)
  , lots_(aLots)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , executor_(std::move(aExecutor))
  , holders_(aCallers, aCopies)
{
}

lots::HeldLot
LotIntake::MakeLot(const httpstream::Request& aRequest,
                   const std::string& aLot,
                   std::size_t aItems) const
{
  lots::HeldLot lot;
  lot.id_ = aLot;
  lot.content_ = aRequest.body();
  lot.state_.owner_ = hosts_.OwnerFor(aLot);
  if (lot.state_.owner_.empty()) {
    lot.state_.owner_ = ownName_;
  }
  lot.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  lot.state_.itemCount_ = static_cast<std::uint32_t>(aItems);
  lot.state_.hostName_ = httpstream::ValueOf(aRequest, "Host");
  lot.state_.path_ = std::string(aRequest.target());
  return lot;
}

void
LotIntake::Submit(std::shared_ptr<httpstream::Exchange> aExchange,
                  const std::string& aLot)
{
  const httpstream::Request& request = aExchange->GetRequest();
  const auto content = shared_.codec_.ReadLotContent(request.body());
  if (const auto* unreadable = std::get_if<UnreadableCall>(&content)) {
    aExchange->Answer(httpstream::MakeResponse(
      httpstream::kStatusBadRequest, unreadable->reason_, "text/plain"));
    return;
  }
  if (lots_.Find(aLot) != nullptr) {
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusAccepted, {}));
    return;
  }
  auto submission = std::make_shared<Submission>(executor_);
  submission->lot_ = MakeLot(
    request, aLot, std::get<std::vector<lots::LotItem>>(content).size());
  submission->transaction_ = MakeCreation(lots_.Keys(), submission->lot_);
  submission->giveUpAt_ = aExchange->ReceivedAt() + kSubmitPatience;
  submission->exchange_ = std::move(aExchange);
  Commit(submission);
  HoldLater(submission);
}

void
LotIntake::Commit(const SubmissionPtr& aSubmission)
{
  aSubmission->isCommitting_ = true;
  store_.Commit(aSubmission->transaction_,
                [this, aSubmission](const metadata::TransactionReply& aReply) {
                  OnCommitted(aSubmission, aReply.status_);
                });
}

void
LotIntake::OnCommitted(const SubmissionPtr& aSubmission,
                       metadata::StoreStatus aStatus)
{
  using metadata::StoreStatus;
  Submission& submission = *aSubmission;
  submission.isCommitting_ = false;
  // A conflict says that the lot is there already, by this call's earlier try
  // or by another host: it is accepted once either way.
  if (aStatus == StoreStatus::Ok || aStatus == StoreStatus::Conflict) {
    Accept(submission, aStatus == StoreStatus::Ok ? "store" : "store before");
    return;
  }
  submission.mayBeStored_ |= aStatus == StoreStatus::Unknown;
  if (submission.isAnswered_) {
    return;
  }
  const bool hasTime = base::MonotonicNow() < submission.giveUpAt_;
  if (aStatus == StoreStatus::Unknown && hasTime) {
    Commit(aSubmission);
  }
  Hold(aSubmission);
  GiveUpIfOver(submission);
}

void
LotIntake::HoldLater(const SubmissionPtr& aSubmission)
{
  aSubmission->holdTimer_.expires_after(kHoldAfter);
  aSubmission->holdTimer_.async_wait(
    [this, aSubmission](const boost::system::error_code& aError) {
      if (!aError) {
        Hold(aSubmission);
      }
    });
}

void
LotIntake::Hold(const SubmissionPtr& aSubmission)
{
  if (aSubmission->isAnswered_ ||
      aSubmission->hold_ != Submission::Hold::NotTried) {
    return;
  }
  aSubmission->hold_ = Submission::Hold::UnderWay;
  holders_.Hold(aSubmission->lot_,
                hosts_.PeersBut(ownName_),
                [this, aSubmission](HoldOutcome aOutcome) {
                  OnHeld(aSubmission, aOutcome);
                });
}

void
LotIntake::OnHeld(const SubmissionPtr& aSubmission, HoldOutcome aOutcome)
{
  if (aOutcome.isHeld_) {
    Accept(*aSubmission, "disks");
    return;
  }
  aSubmission->hold_ = Submission::Hold::Failed;
  aSubmission->mayBeStored_ |= aOutcome.mayBeHeld_;
  GiveUpIfOver(*aSubmission);
}

void
LotIntake::Accept(Submission& aSubmission, std::string_view aWhere)
{
  if (std::exchange(aSubmission.isAnswered_, true)) {
    return;
  }
  aSubmission.holdTimer_.cancel();
  httpstream::Exchange& exchange = *aSubmission.exchange_;
  base::Log(
    kLotAccepted,
    { { "lot", aSubmission.lot_.id_ },
      { "items", aSubmission.lot_.state_.itemCount_ },
      { "where", aWhere },
      { "ms", base::ToMs(base::MonotonicNow() - exchange.ReceivedAt()) } });
  exchange.Answer(httpstream::MakeResponse(httpstream::kStatusAccepted, {}));
}

void
LotIntake::GiveUpIfOver(Submission& aSubmission)
{
  if (aSubmission.isAnswered_ || aSubmission.isCommitting_ ||
      aSubmission.hold_ != Submission::Hold::Failed) {
    return;
  }
  aSubmission.isAnswered_ = true;
  aSubmission.holdTimer_.cancel();
  base::Log(kLotNotAccepted,
            { { "lot", aSubmission.lot_.id_ },
              { "may_be_stored", aSubmission.mayBeStored_ } });
  // "Not run" must be true: a call without an answer may still take effect, or
  // a worker may have the lot, and it would then run.
  aSubmission.exchange_->Answer(
    aSubmission.mayBeStored_
      ? httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {})
      : shared_.codec_.MakeNotRun(kRetryAfter));
}

} // namespace pumiceturn::gateway
