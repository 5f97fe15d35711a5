#include "LibGateway/EndpointAttempt.h"

#include "LibGateway/EndpointAddress.h"
#include "LibGateway/Events.h"

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Longest wait for a connection. Within a region it takes a few ms; a lost
/// opening packet is sent again after a second, and another endpoint is the
/// better choice by then.
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };

} // namespace

EndpointAttempt::EndpointAttempt(SharedState& aShared,
                                 fleet::EndpointRecord aEndpoint,
                                 fleet::WorkClass aWork)
  : shared_(aShared)
  , endpoint_(std::move(aEndpoint))
  , work_(aWork)
{
}

EndpointAttempt::~EndpointAttempt()
{
  Leave();
}

void
EndpointAttempt::Start(httpstream::Call aCall,
                       httpstream::CallObserver& aObserver)
{
  observer_ = &aObserver;
  counted_ = true;
  startedAt_ = base::MonotonicNow();
  shared_.endpoints_.CountStart(endpoint_.Incarnation(), work_);
  const auto address = ParseAddress(endpoint_.address_);
  if (!address) {
    OnEnd(httpstream::CallOutcome::NotConnected);
    return;
  }
  const auto self = shared_from_this();
  auto acquired = shared_.pool_.Acquire(
    endpoint_.id_,
    *address,
    kConnectTimeout,
    [self, call = std::move(aCall)](
      std::shared_ptr<httpstream::ClientConnection> aConnection) mutable {
      if (self->observer_ == nullptr) {
        return;
      }
      if (!aConnection) {
        self->OnEnd(httpstream::CallOutcome::NotConnected);
        return;
      }
      self->connection_ = std::move(aConnection);
      self->connection_->Start(std::move(call), *self);
    });
  if (observer_ != nullptr && !connection_) {
    connection_ = std::move(acquired);
  }
}

void
EndpointAttempt::Cancel()
{
  observer_ = nullptr;
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel();
  }
  Leave();
}

void
EndpointAttempt::SetPaused(bool aIsPaused)
{
  if (connection_) {
    connection_->SetPaused(aIsPaused);
  }
}

void
EndpointAttempt::Leave()
{
  if (std::exchange(counted_, false)) {
    shared_.endpoints_.CountEnd(endpoint_.Incarnation(), work_);
  }
}

void
EndpointAttempt::OnHead(const httpstream::ResponseHead& aHead)
{
  shared_.endpoints_.RecordActivity(
    endpoint_.Incarnation(), startedAt_, base::MonotonicNow());
  const ResponseInfo notes = shared_.codec_.ReadAnswer(aHead);
  if (!notes.answeredBy_.empty() && notes.answeredBy_ != endpoint_.id_) {
    base::Log(kEndpointChanged,
              { { "endpoint", endpoint_.id_ },
                { "state", "replaced" },
                { "by", notes.answeredBy_ } });
    shared_.endpoints_.RecordReplaced(endpoint_.Incarnation(),
                                      base::MonotonicNow());
  }
  if (observer_ != nullptr) {
    observer_->OnHead(aHead);
  }
}

void
EndpointAttempt::OnBody(std::string_view aBytes)
{
  shared_.endpoints_.RecordActivity(
    endpoint_.Incarnation(), startedAt_, base::MonotonicNow());
  if (observer_ != nullptr) {
    observer_->OnBody(aBytes);
  }
}

void
EndpointAttempt::OnEnd(httpstream::CallOutcome aEnd)
{
  const auto self = shared_from_this();
  auto* observer = std::exchange(observer_, nullptr);
  shared_.pool_.Release(endpoint_.id_, std::exchange(connection_, nullptr));
  Leave();
  if (aEnd == httpstream::CallOutcome::Complete) {
    shared_.endpoints_.RecordSuccess(endpoint_.Incarnation());
  } else {
    shared_.endpoints_.RecordFailure(endpoint_.Incarnation(),
                                     base::MonotonicNow());
  }
  if (observer != nullptr) {
    observer->OnEnd(aEnd);
  }
}

} // namespace pumiceturn::gateway
