#include "LibEntry/ServiceCall.h"

#include "LibEntry/Replies.h"

#include <utility>
#include <variant>

namespace pumiceturn::entry {

std::shared_ptr<ServiceCall>
ServiceCall::Make(std::shared_ptr<EntryCore> aCore,
                  caller::ServiceCallReply* aReply)
{
  auto call =
    std::shared_ptr<ServiceCall>(new ServiceCall(std::move(aCore), aReply));
  call->self_ = call;
  return call;
}

ServiceCall::ServiceCall(std::shared_ptr<EntryCore> aCore,
                         caller::ServiceCallReply* aReply)
  : core_(aCore)
  , open_(std::move(aCore))
  , reply_(aReply)
{
}

void
ServiceCall::RefuseImmediately(const grpc::Status& aStatus)
{
  FinishOnce(aStatus);
}

void
ServiceCall::Begin(OnlineDescription aDescription)
{
  key_ = aDescription.record_.key_;
  const std::uint64_t call = core_->onlineCalls_->Start(
    std::move(aDescription),
    [self = shared_from_this()](OnlineAction aEmission) {
      self->OnEmission(std::move(aEmission));
    });
  bool isCancelled = false;
  {
    const std::lock_guard lock(mutex_);
    call_ = call;
    isCancelled = cancelled_;
  }
  if (isCancelled) {
    core_->onlineCalls_->Cancel(call);
  }
}

void
ServiceCall::OnCancel()
{
  std::uint64_t call = 0;
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    call = call_;
  }
  FinishOnce(grpc::Status::CANCELLED);
  if (call != 0) {
    core_->context_.pool_.Post(
      [core = core_, call] { core->onlineCalls_->Cancel(call); });
  }
}

void
ServiceCall::OnDone()
{
  const auto self = std::move(self_);
}

void
ServiceCall::OnEmission(OnlineAction aEmission)
{
  if (auto* finished = std::get_if<EmitFinished>(&aEmission)) {
    {
      const std::lock_guard lock(mutex_);
      if (finished_) {
        return; // gRPC may have released the reply.
      }
      wire::ItemResult& result = finished->result_;
      *reply_->mutable_outcome() =
        MakeOutcome(result.code_, result.ran_, 0, result.detail_);
      reply_->set_payload(std::move(result.text_));
      reply_->set_duplicate(finished->duplicate_);
      reply_->set_request_key(key_);
    }
    FinishOnce(grpc::Status::OK);
  } else if (const auto* failed = std::get_if<EmitFailed>(&aEmission)) {
    FinishOnce(MakeStatus(*failed));
  }
}

void
ServiceCall::FinishOnce(const grpc::Status& aStatus)
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
