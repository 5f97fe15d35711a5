#include "LibEntry/LotReceiver.h"

#include "LibEntry/Events.h"
#include "LibEntry/Replies.h"

#include <utility>
#include <variant>

namespace pumiceturn::entry {

using base::Ran;
using base::ResultCode;

std::shared_ptr<LotReceiver>
LotReceiver::Make(std::shared_ptr<EntryCore> aCore,
                  declarations::Partner aPartner,
                  caller::SubmitJobReply* aReply)
{
  auto receiver = std::shared_ptr<LotReceiver>(
    new LotReceiver(std::move(aCore), std::move(aPartner), aReply));
  receiver->self_ = receiver;
  return receiver;
}

LotReceiver::LotReceiver(std::shared_ptr<EntryCore> aCore,
                         declarations::Partner aPartner,
                         caller::SubmitJobReply* aReply)
  : core_(aCore)
  , open_(std::move(aCore))
  , partner_(std::move(aPartner))
  , reply_(aReply)
{
}

void
LotReceiver::RefuseAtOnce(const grpc::Status& aStatus)
{
  FinishOnce(aStatus);
}

void
LotReceiver::Begin()
{
  StartRead(&part_);
}

void
LotReceiver::OnReadDone(bool aIsOk)
{
  if (!aIsOk) {
    EndOfItemsLater();
    return;
  }
  const auto outcome = base::Capture([this] { return TakePart(); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    Refuse(*failure, Ran::NotRun);
    return;
  }
  StartRead(&part_);
}

void
LotReceiver::OnCancel()
{
  // A lot whose last frame is not durable is not accepted; the owner drops what
  // it has of it.
  FinishOnce(grpc::Status::CANCELLED);
}

void
LotReceiver::OnDone()
{
  const auto self = std::move(self_);
}

base::Result<void>
LotReceiver::TakePart()
{
  if (part_.has_header()) {
    if (spool_.has_value()) {
      return base::Fail(ResultCode::InvalidRequest, "a second header");
    }
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(
      terms,
      DescribeLot(*configuration, partner_, part_.header(), base::WallNow()));
    spool_.emplace(std::move(terms), core_->spoolBudget_);
    return {};
  }
  if (!part_.has_item()) {
    return base::Fail(ResultCode::InvalidRequest, "neither header nor item");
  }
  if (!spool_.has_value()) {
    return base::Fail(ResultCode::InvalidRequest, "an item before the header");
  }
  return spool_->Add(part_.item().name(), part_.item().prompt());
}

void
LotReceiver::EndOfItemsLater()
{
  // A failed read means the end of the items or a broken connection; for the
  // latter gRPC calls OnCancel() right after. A lot that was cut short must not
  // be accepted, so the items are taken as whole only when no cancellation
  // came.
  core_->context_.pool_.PostAt(
    base::MonotonicNow() + kCancelWait,
    [self = shared_from_this()] { self->EndOfItems(); });
}

void
LotReceiver::EndOfItems()
{
  if (IsFinished()) {
    return;
  }
  const auto outcome = base::Capture([this]() -> base::Result<void> {
    if (!spool_.has_value()) {
      return base::Fail(ResultCode::InvalidRequest, "the lot has no header");
    }
    return spool_->Seal();
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    Refuse(*failure, Ran::NotRun);
    return;
  }
  SendFrame();
}

void
LotReceiver::SendFrame()
{
  if (IsFinished()) {
    return;
  }
  wire::SubmitFrame frame = spool_->FrameFrom(nextItem_);
  const auto next = nextItem_ + static_cast<std::uint32_t>(frame.items_.size());
  const bool isLast = frame.last_;
  core_->owners_->Ask(
    spool_->Job().id_,
    std::move(frame),
    kFramePatience,
    [self = shared_from_this(), next, isLast](OwnerCalls::Reply aReply) {
      self->OnFrameReply(next, isLast, std::move(aReply));
    });
}

void
LotReceiver::OnFrameReply(std::uint32_t aNext,
                          bool aIsLast,
                          OwnerCalls::Reply aReply)
{
  if (const auto* failure = std::get_if<base::Failure>(&aReply)) {
    Refuse(*failure, aIsLast ? Ran::Unknown : Ran::NotRun);
    return;
  }
  const auto& reply =
    std::get<wire::SubmitReply>(std::get<wire::Message>(aReply));
  // A new owner may lack frames that were not durable when the partition
  // changed hands: the lot is sent again from its start, and what the owner has
  // is answered without being written twice.
  const bool lacksFrames =
    reply.code_ == ResultCode::InvalidRequest && nextItem_ > 0;
  if (lacksFrames && restarts_ < kMaxRestarts) {
    ++restarts_;
    nextItem_ = 0;
    SendFrame();
    return;
  }
  if (reply.code_ != ResultCode::Ok) {
    // When the last frame could not be made durable everywhere, a new owner may
    // still find it in the log and take the lot as accepted.
    const bool mayStand =
      aIsLast && ToStatusCode(reply.code_) == grpc::StatusCode::UNAVAILABLE;
    Refuse(base::Failure{ reply.code_, reply.detail_ },
           mayStand ? Ran::Unknown : Ran::NotRun);
    return;
  }
  if (aIsLast || reply.duplicate_) {
    Accept(reply);
    return;
  }
  nextItem_ = aNext;
  SendFrame();
}

void
LotReceiver::Refuse(const base::Failure& aFailure, Ran aRan)
{
  constexpr std::uint32_t kComeBackMs = 1000;
  const bool isPassing =
    aFailure.code_ == ResultCode::Overloaded ||
    ToStatusCode(aFailure.code_) == grpc::StatusCode::UNAVAILABLE;
  base::Log(kLotRefused,
            { { "partner", partner_.name() },
              { "items", spool_.has_value() ? spool_->Job().itemCount_ : 0 },
              { "code", base::NameOf(aFailure.code_) },
              { "detail", aFailure.detail_ } });
  FinishOnce(MakeStatus(MakeOutcome(
    aFailure.code_, aRan, isPassing ? kComeBackMs : 0, aFailure.detail_)));
}

void
LotReceiver::Accept(const wire::SubmitReply& aReply)
{
  const wire::JobDescription& job = spool_->Job();
  base::Log(kLotSubmitted,
            { { "job", base::ToString(job.id_) },
              { "partner", job.partner_ },
              { "items", job.itemCount_ },
              { "duplicate", aReply.duplicate_ } });
  {
    const std::lock_guard lock(mutex_);
    if (finished_) {
      return; // gRPC may have dropped the reply already.
    }
    reply_->set_job_key(job.key_);
    reply_->set_items(job.itemCount_);
    reply_->set_duplicate(aReply.duplicate_);
    const std::int64_t recordedDue = aReply.job_.dueUnixMs_;
    reply_->set_due_unix_ms(recordedDue != 0 ? recordedDue : job.dueUnixMs_);
  }
  FinishOnce(grpc::Status::OK);
}

bool
LotReceiver::IsFinished()
{
  const std::lock_guard lock(mutex_);
  return finished_;
}

void
LotReceiver::FinishOnce(const grpc::Status& aStatus)
{
  {
    const std::lock_guard lock(mutex_);
    if (finished_) {
      return;
    }
    finished_ = true;
  }
  Finish(aStatus);
}

} // namespace pumiceturn::entry
