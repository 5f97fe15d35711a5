#include "LibGateway/LotIntake.h"

#include "LibGateway/Events.h"
#include "LibGateway/LedgerChange.h"
#include "LibGateway/LotCreation.h"
#include "LibHttpStream/Status.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
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

/// The store's first revision belongs to a key that is older than any route.
constexpr std::uint64_t kNeverALedgersRevision = 1;

/// @return a lot's state, if the reply to a refused transaction shows one.
std::optional<lots::LotState>
FindState(const metadata::TransactionReply& aReply, const std::string& aKey)
{
  for (const metadata::StoreItem& item : aReply.current_) {
    if (item.key_ == aKey && item.revision_ != 0 && !item.removed_) {
      return lots::DecodeState(item.value_).value_or(lots::LotState{});
    }
  }
  return std::nullopt;
}

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
  metadata::Transaction creation_;
  std::string ledger_;
  std::uint64_t cap_ = 0; ///< Of tokens in the ledger; 0: none.
  std::uint64_t tokens_ = 0;
  boost::asio::steady_timer holdTimer_;
  base::Instant giveUpAt_;
  bool isCommitting_ = false;
  Hold hold_ = Hold::NotTried;
  bool mayBeStored_ = false; ///< A try had no answer.
  bool isOverCap_ = false;   ///< The store shows that it doesn't fit.
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
                  const std::string& aLot,
                  const fleet::Route& aRoute,
                  const CallerName& aCaller)
{
  const httpstream::Request& request = aExchange->GetRequest();
  const auto content = shared_.codec_.ReadLotContent(request.body());
  if (const auto* unreadable = std::get_if<UnreadableCall>(&content)) {
    aExchange->Answer(httpstream::MakeResponse(
      httpstream::kStatusBadRequest, unreadable->reason_, "text/plain"));
    return;
  }
  const auto& items = std::get<std::vector<lots::LotItem>>(content);
  auto submission = std::make_shared<Submission>(executor_);
  submission->lot_ = MakeLot(request, aLot, items.size());
  submission->lot_.state_.organisation_ = aCaller.value_or(std::string());
  submission->creation_ = MakeCreation(lots_.Keys(), submission->lot_);
  submission->ledger_ =
    lots::LedgerName(aRoute.name_, submission->lot_.state_.organisation_);
  submission->cap_ = aRoute.waitingTokenCap_;
  submission->tokens_ = lots::TokensOf(items);
  submission->giveUpAt_ = aExchange->ReceivedAt() + kSubmitPatience;
  submission->exchange_ = std::move(aExchange);
  if (const lots::Lot* existing = lots_.Find(aLot)) {
    AcceptExisting(*submission, existing->state_);
    return;
  }
  Commit(submission);
  HoldLater(submission);
}

void
LotIntake::Commit(const SubmissionPtr& aSubmission)
{
  aSubmission->isCommitting_ = true;
  store_.Commit(MakeTransaction(*aSubmission),
                [this, aSubmission](const metadata::TransactionReply& aReply) {
                  OnCommitted(aSubmission, aReply);
                });
}

bool
LotIntake::Fits(const Submission& aSubmission) const
{
  return aSubmission.cap_ == 0 ||
         shared_.ledgers_.Of(aSubmission.ledger_)
           .ledger_.Fits(aSubmission.tokens_, aSubmission.cap_);
}

metadata::Transaction
LotIntake::MakeTransaction(const Submission& aSubmission) const
{
  metadata::Transaction transaction = aSubmission.creation_;
  if (aSubmission.cap_ == 0) {
    return transaction;
  }
  if (Fits(aSubmission)) {
    AddRow(transaction,
           shared_,
           lots_.Keys(),
           aSubmission.ledger_,
           aSubmission.lot_.id_,
           aSubmission.tokens_);
    return transaction;
  }
  // By what is known here, the lot doesn't fit. That may be old, or the lot may
  // be there already: an expectation that can't hold makes the store tell both
  // in one call.
  const std::string key = lots_.Keys().LedgerOf(aSubmission.ledger_);
  transaction.expectations_.push_back({ key, kNeverALedgersRevision });
  transaction.writes_.clear();
  transaction.writes_.push_back({ key, {}, 0 });
  return transaction;
}

void
LotIntake::OnCommitted(const SubmissionPtr& aSubmission,
                       const metadata::TransactionReply& aReply)
{
  using metadata::StoreStatus;
  Submission& submission = *aSubmission;
  const StoreStatus status = aReply.status_;
  submission.isCommitting_ = false;
  if (status == StoreStatus::Ok) {
    if (submission.cap_ > 0) {
      lots::TokenLedger ledger =
        shared_.ledgers_.Of(submission.ledger_).ledger_;
      ledger.Set(submission.lot_.id_, submission.tokens_);
      shared_.ledgers_.Learn(submission.ledger_,
                             lots::EncodeLedger(ledger),
                             aReply.revision_,
                             base::MonotonicNow());
    }
    Accept(submission, "store");
    return;
  }
  if (status == StoreStatus::Conflict) {
    OnConflict(aSubmission, aReply);
    return;
  }
  submission.mayBeStored_ |= status == StoreStatus::Unknown;
  if (submission.isAnswered_) {
    return;
  }
  const bool hasTime = base::MonotonicNow() < submission.giveUpAt_;
  if (status == StoreStatus::Unknown && hasTime) {
    Commit(aSubmission);
  }
  Hold(aSubmission);
  GiveUpIfOver(submission);
}

void
LotIntake::OnConflict(const SubmissionPtr& aSubmission,
                      const metadata::TransactionReply& aReply)
{
  Submission& submission = *aSubmission;
  // The lot is there already, by this call's earlier try or by another host: it
  // is accepted once either way.
  const auto existing =
    FindState(aReply, lots_.Keys().StateOf(submission.lot_.id_));
  if (existing) {
    AcceptExisting(submission, *existing);
    return;
  }
  if (submission.cap_ == 0) {
    Accept(submission, "store before");
    return;
  }
  LearnLedger(shared_, lots_.Keys(), submission.ledger_, aReply);
  if (submission.isAnswered_) {
    return;
  }
  if (!Fits(submission)) {
    submission.isOverCap_ = true;
    RefuseOverCap(submission);
  } else if (base::MonotonicNow() < submission.giveUpAt_) {
    Commit(aSubmission);
  } else {
    Hold(aSubmission);
    GiveUpIfOver(submission);
  }
}

void
LotIntake::RefuseOverCap(Submission& aSubmission)
{
  // A worker that may have the lot on its disk will store it.
  if (aSubmission.isAnswered_ ||
      aSubmission.hold_ == Submission::Hold::UnderWay) {
    return;
  }
  aSubmission.isAnswered_ = true;
  aSubmission.holdTimer_.cancel();
  const base::Duration comeBack =
    shared_.ledgers_.RoomExpectedAfter(aSubmission.ledger_,
                                       aSubmission.tokens_,
                                       aSubmission.cap_,
                                       base::MonotonicNow(),
                                       NextRandom(shared_.random_));
  const lots::LedgerView& view = shared_.ledgers_.Of(aSubmission.ledger_);
  base::Log(kLotOverCap,
            { { "lot", aSubmission.lot_.id_ },
              { "ledger", aSubmission.ledger_ },
              { "tokens", aSubmission.tokens_ },
              { "waiting", view.ledger_.Total() },
              { "cap", aSubmission.cap_ },
              { "revision", view.revision_ },
              { "may_be_stored", aSubmission.mayBeStored_ },
              { "come_back_ms", base::ToMs(comeBack) } });
  // A refusal says that nothing runs: not where an earlier try had no answer.
  aSubmission.exchange_->Answer(
    aSubmission.mayBeStored_
      ? httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {})
      : shared_.codec_.MakeOverLimit(comeBack));
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
  if (aSubmission->isOverCap_) {
    RefuseOverCap(*aSubmission);
  } else {
    GiveUpIfOver(*aSubmission);
  }
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
LotIntake::AcceptExisting(Submission& aSubmission,
                          const lots::LotState& aExisting)
{
  const std::string& organisation = aSubmission.lot_.state_.organisation_;
  if (aExisting.organisation_ == organisation) {
    Accept(aSubmission, "store before");
    return;
  }
  if (std::exchange(aSubmission.isAnswered_, true)) {
    return;
  }
  aSubmission.holdTimer_.cancel();
  base::Log(kLotNotAccepted,
            { { "lot", aSubmission.lot_.id_ },
              { "organisation", organisation },
              { "reason", "id of another organisation's lot" } });
  aSubmission.exchange_->Answer(
    httpstream::MakeResponse(httpstream::kStatusConflict, {}));
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
