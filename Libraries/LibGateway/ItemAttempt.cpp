#include "LibGateway/ItemAttempt.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"
#include "LibGateway/StreamReport.h"
#include "LibHttpStream/Status.h"

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Time limits for the first byte of a response and between its bytes. An
/// endpoint with a free slot responds within tens of milliseconds.
constexpr std::chrono::milliseconds kFirstByteTimeout{ 2000 };
constexpr std::chrono::milliseconds kGapTimeout{ 1500 };

/// Silence after which an item is started again even at the same endpoint, as
/// its connection may be lost. Nobody waits for its events meanwhile.
constexpr std::chrono::seconds kMaxSilence{ 5 };

/// Largest response: far above the largest item, and small enough for the store
/// to take its result.
constexpr std::size_t kMaxResponseBytes = 512ULL * 1024;

} // namespace

ItemAttempt::ItemAttempt(SharedState& aShared,
                         EndHandler aOnEnd,
                         std::string aJob,
                         std::size_t aItem,
                         batch::PartialOutput aProgress)
  : shared_(aShared)
  , onEnd_(std::move(aOnEnd))
  , job_(std::move(aJob))
  , item_(aItem)
  , progress_(std::move(aProgress))
  , resumedAfter_(progress_.lastEvent_)
  , resumedAfterBytes_(progress_.output_.size())
  , hasOutput_(progress_.lastEvent_ > 0)
{
}

void
ItemAttempt::Start(const fleet::EndpointRecord& aEndpoint,
                   const batch::BatchItem& aItem,
                   const RequestOrigin& aOrigin,
                   base::Duration aTimeLimit)
{
  endpoint_ = aEndpoint.id_;
  itemId_ = aItem.id_;
  numbering_.Begin(resumedAfter_);
  ForwardOptions options;
  options.endpoint_ = aEndpoint.id_;
  options.callerTimeout_ = aTimeLimit;
  options.lastEvent_ = progress_.lastEvent_;
  options.caller_ = aOrigin.caller_;
  startedAt_ = base::MonotonicNow();
  features_ = FeaturesOf(aItem, shared_.codec_);
  httpstream::Call call;
  call.bytes_ =
    shared_.codec_.MakeItemRequest(aItem, aOrigin.hostName_, options);
  call.echoField_ = shared_.codec_.EchoField();
  call.echoValue_ = aItem.id_;
  call.firstByteTimeout_ = kFirstByteTimeout;
  call.gapTimeout_ = kGapTimeout;
  endpointAttempt_ = std::make_shared<EndpointAttempt>(
    shared_, aEndpoint, fleet::WorkClass::Batch);
  endpointAttempt_->Start({ [call = std::move(call), aTimeLimit]() mutable {
                             return EndpointCall{ std::move(call), aTimeLimit };
                           },
                            true,
                            kFirstByteTimeout,
                            aItem.id_ },
                          *this);
}

void
ItemAttempt::Cancel()
{
  if (endpointAttempt_) {
    endpointAttempt_->Cancel();
  }
}

void
ItemAttempt::ResumeReading()
{
  if (endpointAttempt_) {
    endpointAttempt_->SetPaused(false);
  }
}

void
ItemAttempt::OnHead(const httpstream::ResponseHead& aHead)
{
  responseInfo_ = shared_.codec_.ReadResponseInfo(aHead);
  status_ = aHead.result_int();
  namesItem_ =
    httpstream::ValueOf(aHead, shared_.codec_.EchoField()) == itemId_;
  isFromOtherEndpoint_ = !responseInfo_.responderId_.empty() &&
                         responseInfo_.responderId_ != endpoint_;
}

void
ItemAttempt::OnBody(std::string_view aBytes)
{
  receivedBytes_ += aBytes.size();
  bool hasAdvanced = false;
  if (status_ == httpstream::kStatusOk && !isFromOtherEndpoint_) {
    splitter_.Append(aBytes);
    hasAdvanced = TakeEvents();
  }
  if (!RejectFaultyResponse(hasAdvanced)) {
    endpointAttempt_->SetPaused(true);
  }
}

bool
ItemAttempt::TakeEvents()
{
  bool hasAdvanced = false;
  while (!hasEventElsewhere_) {
    const auto event = splitter_.Next();
    if (!event) {
      break;
    }
    switch (numbering_.Record(*event)) {
      case fleet::EventPlace::Next:
        AppendUnnumbered();
        AppendEvent(*event);
        hasAdvanced = true;
        break;
      case fleet::EventPlace::Unnumbered:
        unnumbered_.emplace_back(event->data_);
        hasAdvanced = true;
        break;
      case fleet::EventPlace::NoEvent:
        break;
      case fleet::EventPlace::Elsewhere:
        hasEventElsewhere_ = true;
    }
  }
  return hasAdvanced;
}

void
ItemAttempt::AppendEvent(const fleet::StreamEvent& aEvent)
{
  if (std::exchange(hasOutput_, true)) {
    progress_.output_.push_back('\n');
  } else {
    progress_.service_ = endpointAttempt_->Endpoint().service_;
    progress_.softwareVersion_ = endpointAttempt_->Endpoint().softwareVersion_;
  }
  progress_.output_.append(aEvent.data_);
  progress_.lastEvent_ = aEvent.id_ > 0 ? aEvent.id_ : progress_.lastEvent_;
}

void
ItemAttempt::AppendUnnumbered()
{
  for (const std::string& data : std::exchange(unnumbered_, {})) {
    AppendEvent({ 0, data });
  }
}

void
ItemAttempt::DropNewOutput()
{
  if (resumedAfter_ == 0) {
    progress_ = {};
    return;
  }
  progress_.lastEvent_ = resumedAfter_;
  progress_.output_.resize(resumedAfterBytes_);
}

bool
ItemAttempt::RejectFaultyResponse(bool aHasAdvanced)
{
  const bool isStuck =
    streamProgress_.RecordRead(aHasAdvanced, base::MonotonicNow());
  const bool isTooLarge = receivedBytes_ > kMaxResponseBytes;
  const bool isFaulty =
    isTooLarge || isStuck || splitter_.IsEventTooLarge() || hasEventElsewhere_;
  if (isTooLarge) {
    DropNewOutput();
  }
  if (isFaulty) {
    endpointAttempt_->Reject();
  }
  return isFaulty;
}

batch::ItemAttemptOutcome
ItemAttempt::Classify(httpstream::CallOutcome aOutcome) const
{
  if (aOutcome == httpstream::CallOutcome::NotConnected) {
    return batch::ItemAttemptOutcome::NotRun;
  }
  const bool isComplete = aOutcome == httpstream::CallOutcome::Complete;
  const auto said = OutcomeByStatus();
  if (said && (isComplete || namesItem_)) {
    return *said;
  }
  if (aOutcome == httpstream::CallOutcome::TimedOut) {
    return batch::ItemAttemptOutcome::Silent;
  }
  if (aOutcome == httpstream::CallOutcome::Unconfirmed) {
    return batch::ItemAttemptOutcome::Unconfirmed;
  }
  if (!isComplete) {
    return batch::ItemAttemptOutcome::Interrupted;
  }
  if (splitter_.Remainder() > 0 || isFromOtherEndpoint_) {
    return batch::ItemAttemptOutcome::Interrupted;
  }
  // Nothing but a question for the rest shows whether there is one.
  const bool mayHaveRest =
    endpointAttempt_->Framing() == httpstream::ResponseFraming::ConnectionEnd &&
    NewEvents() > 0 && unnumbered_.empty();
  return mayHaveRest ? batch::ItemAttemptOutcome::Unconfirmed
                     : batch::ItemAttemptOutcome::Completed;
}

std::optional<batch::ItemAttemptOutcome>
ItemAttempt::OutcomeByStatus() const
{
  if (responseInfo_.wasNotRun_) {
    return batch::ItemAttemptOutcome::NotRun;
  }
  if (status_ == httpstream::kStatusUnprocessable) {
    return batch::ItemAttemptOutcome::Rejected;
  }
  if (status_ != 0 && status_ != httpstream::kStatusOk) {
    return batch::ItemAttemptOutcome::Failed;
  }
  return std::nullopt;
}

batch::ItemAttemptOutcome
ItemAttempt::OutcomeIfCancelled() const
{
  const auto said = namesItem_ ? OutcomeByStatus() : std::nullopt;
  return said.value_or(batch::ItemAttemptOutcome::Preempted);
}

httpstream::SilenceDecision
ItemAttempt::OnSilence(const httpstream::Silence& aSilence)
{
  const fleet::EndpointRecord& endpoint = endpointAttempt_->Endpoint();
  const fleet::SilentAttempt silent{ aSilence.duration_,
                                     FindReplacement(endpoint),
                                     shared_.endpoints_.IsReplaced(endpoint) };
  const bool hasEnded =
    fleet::DecideOnSilence(silent) != fleet::SilenceAction::KeepWaiting ||
    aSilence.duration_ >= kMaxSilence;
  if (!std::exchange(isSilenceLogged_, true) || hasEnded) {
    base::Log(kAttemptSilent,
              { { "lot", job_ },
                { "item", item_ },
                { "endpoint", endpoint_ },
                { "action", hasEnded ? "move" : "wait" },
                { "silent_ms", base::ToMs(aSilence.duration_) },
                { "own_delay_ms", base::ToMs(aSilence.ownDelay_) },
                { "unread_bytes", aSilence.unreadBytes_ },
                { "last_event", progress_.lastEvent_ } });
  }
  return hasEnded ? httpstream::SilenceDecision::EndCall
                  : httpstream::SilenceDecision::KeepWaiting;
}

fleet::Replacement
ItemAttempt::FindReplacement(const fleet::EndpointRecord& aEndpoint)
{
  fleet::ChoiceRequest request{ aEndpoint.service_,
                                fleet::WorkClass::Batch,
                                std::span(&endpoint_, 1) };
  if (progress_.lastEvent_ > 0) {
    request.softwareVersion_ = progress_.softwareVersion_;
  }
  request.evidence_ = fleet::Evidence::Sending;
  const bool hasOther =
    shared_.endpoints_.Choose(request, base::MonotonicNow(), shared_.random_)
      .has_value();
  return hasOther ? fleet::Replacement::FreeSlot : fleet::Replacement::None;
}

void
ItemAttempt::RecordForCrashes(httpstream::CallOutcome aOutcome,
                              batch::ItemAttemptOutcome aItemOutcome)
{
  const base::Instant now = base::MonotonicNow();
  if (aItemOutcome == batch::ItemAttemptOutcome::Completed) {
    shared_.crashes_.RecordAnswered(features_, now);
  } else if (aOutcome == httpstream::CallOutcome::Broken &&
             !isFromOtherEndpoint_) {
    RecordBrokenAttempt(shared_,
                        { endpointAttempt_->Endpoint().Incarnation(),
                          features_,
                          startedAt_,
                          now,
                          true });
  }
}

void
ItemAttempt::OnEnd(httpstream::CallOutcome aOutcome)
{
  if (status_ == httpstream::kStatusOk) {
    ReportStreamEnd(shared_,
                    *endpointAttempt_,
                    { itemId_,
                      aOutcome,
                      resumedAfter_,
                      numbering_.GetCounts(),
                      splitter_.Remainder() > 0 });
  }
  const batch::ItemAttemptOutcome outcome = Classify(aOutcome);
  RecordForCrashes(aOutcome, outcome);
  if (outcome == batch::ItemAttemptOutcome::Completed) {
    AppendUnnumbered();
  }
  onEnd_(*this, outcome);
}

} // namespace pumiceturn::gateway
