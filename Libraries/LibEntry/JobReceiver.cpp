#include "LibEntry/JobReceiver.h"

#include "LibEntry/Events.h"
#include "LibEntry/Replies.h"

#include <utility>
#include <variant>

namespace pumiceturn::entry {

using base::Ran;
using base::ResultCode;

std::shared_ptr<JobReceiver>
JobReceiver::Make(std::shared_ptr<EntryCore> aCore,
                  declarations::Partner aPartner,
                  caller::SubmitJobReply* aReply)
{
  auto receiver = std::shared_ptr<JobReceiver>(
    new JobReceiver(std::move(aCore), std::move(aPartner), aReply));
  receiver->self_ = receiver;
  return receiver;
}

JobReceiver::JobReceiver(std::shared_ptr<EntryCore> aCore,
                         declarations::Partner aPartner,
                         caller::SubmitJobReply* aReply)
  : core_(aCore)
  , open_(std::move(aCore))
  , partner_(std::move(aPartner))
  , reply_(aReply)
{
}

void
JobReceiver::RefuseImmediately(const grpc::Status& aStatus)
{
  FinishOnce(aStatus);
}

void
JobReceiver::Begin()
{
  StartRead(&message_);
}

void
JobReceiver::OnReadDone(bool aIsOk)
{
  if (!aIsOk) {
    ScheduleEndOfItems();
    return;
  }
  const auto outcome = base::Capture([this] { return ProcessMessage(); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    Refuse(*failure, Ran::NotRun);
    return;
  }
  StartRead(&message_);
}

void
JobReceiver::OnCancel()
{
  // A job is accepted only when its last frame is durable; the owner discards a
  // partial job.
  FinishOnce(grpc::Status::CANCELLED);
}

void
JobReceiver::OnDone()
{
  const auto self = std::move(self_);
}

base::Result<void>
JobReceiver::ProcessMessage()
{
  if (message_.has_header()) {
    if (spool_.has_value()) {
      return base::Fail(ResultCode::InvalidRequest,
                        "the job has more than one header");
    }
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(
      checkedHeader,
      DescribeJob(
        *configuration, partner_, message_.header(), base::WallNow()));
    spool_.emplace(std::move(checkedHeader), core_->spoolBudget_);
    return {};
  }
  if (!message_.has_item()) {
    return base::Fail(ResultCode::InvalidRequest,
                      "the message has neither a header nor an item");
  }
  if (!spool_.has_value()) {
    return base::Fail(ResultCode::InvalidRequest,
                      "the first item precedes the header");
  }
  return spool_->Add(message_.item().name(), message_.item().prompt());
}

void
JobReceiver::ScheduleEndOfItems()
{
  // A failed read means either the end of the items or a broken connection. In
  // the latter case gRPC calls OnCancel() right afterwards. Waiting for it
  // prevents a truncated job from being accepted.
  core_->context_.pool_.PostAt(
    base::MonotonicNow() + kCancelGracePeriod,
    [self = shared_from_this()] { self->OnEndOfItems(); });
}

void
JobReceiver::OnEndOfItems()
{
  if (IsFinished()) {
    return;
  }
  const auto outcome = base::Capture([this]() -> base::Result<void> {
    if (!spool_.has_value()) {
      return base::Fail(ResultCode::InvalidRequest, "the job has no header");
    }
    return spool_->Complete();
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    Refuse(*failure, Ran::NotRun);
    return;
  }
  SendFrame();
}

void
JobReceiver::SendFrame()
{
  if (IsFinished()) {
    return;
  }
  wire::SubmitFrame frame = spool_->MakeFrame(nextItem_);
  const auto next = nextItem_ + static_cast<std::uint32_t>(frame.items_.size());
  const bool isLast = frame.last_;
  core_->ownerCalls_->Call(spool_->Job().id_,
                           std::move(frame),
                           kFrameTimeout,
                           [self = shared_from_this(), next, isLast](
                             OwnerCalls::ReplyOrFailure aReply) {
                             self->OnFrameReply(
                               next, isLast, std::move(aReply));
                           });
}

void
JobReceiver::OnFrameReply(std::uint32_t aNext,
                          bool aIsLast,
                          OwnerCalls::ReplyOrFailure aReply)
{
  if (const auto* failure = std::get_if<base::Failure>(&aReply)) {
    Refuse(*failure, aIsLast ? Ran::Unknown : Ran::NotRun);
    return;
  }
  const auto& reply =
    std::get<wire::SubmitReply>(std::get<wire::Message>(aReply));
  // After a takeover the new owner may lack frames that were not yet durable.
  // The job is sent again from the start; the owner doesn't write again the
  // frames that it already has.
  const bool isMissingFrames =
    reply.code_ == ResultCode::InvalidRequest && nextItem_ > 0;
  if (isMissingFrames && restarts_ < kMaxRestarts) {
    ++restarts_;
    nextItem_ = 0;
    SendFrame();
    return;
  }
  if (reply.code_ != ResultCode::Ok) {
    // If the last frame was not durable on all copies, a new owner may still
    // find it in its log and accept the job.
    const bool mayBeAccepted =
      aIsLast && ToStatusCode(reply.code_) == grpc::StatusCode::UNAVAILABLE;
    Refuse(base::Failure{ reply.code_, reply.detail_ },
           mayBeAccepted ? Ran::Unknown : Ran::NotRun);
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
JobReceiver::Refuse(const base::Failure& aFailure, Ran aRan)
{
  constexpr std::uint32_t kRetryAfterMs = 1000;
  const bool isTransient =
    aFailure.code_ == ResultCode::Overloaded ||
    ToStatusCode(aFailure.code_) == grpc::StatusCode::UNAVAILABLE;
  base::Log(kJobRefused,
            { { "partner", partner_.name() },
              { "items", spool_.has_value() ? spool_->Job().itemCount_ : 0 },
              { "code", base::NameOf(aFailure.code_) },
              { "detail", aFailure.detail_ } });
  FinishOnce(MakeStatus(MakeOutcome(
    aFailure.code_, aRan, isTransient ? kRetryAfterMs : 0, aFailure.detail_)));
}

void
JobReceiver::Accept(const wire::SubmitReply& aReply)
{
  const wire::JobDescription& job = spool_->Job();
  base::Log(kJobSubmitted,
            { { "job", base::ToString(job.id_) },
              { "partner", job.partner_ },
              { "items", job.itemCount_ },
              { "duplicate", aReply.duplicate_ } });
  {
    const std::lock_guard lock(mutex_);
    if (finished_) {
      return; // gRPC may have released the reply.
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
JobReceiver::IsFinished()
{
  const std::lock_guard lock(mutex_);
  return finished_;
}

void
JobReceiver::FinishOnce(const grpc::Status& aStatus)
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
