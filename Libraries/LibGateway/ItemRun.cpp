#include "LibGateway/ItemRun.h"

#include "LibHttpStream/Status.h"

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Longest wait for the first byte of an item, and between its bytes: an
/// engine with a free place answers within tens of ms.
constexpr std::chrono::milliseconds kFirstByteTimeout{ 2000 };
constexpr std::chrono::milliseconds kGapTimeout{ 1500 };

} // namespace

ItemRun::ItemRun(SharedState& aShared,
                 EndHandler aOnEnd,
                 std::string aJob,
                 std::size_t aItem,
                 batch::PartialRun aProgress)
  : shared_(aShared)
  , onEnd_(std::move(aOnEnd))
  , job_(std::move(aJob))
  , item_(aItem)
  , progress_(std::move(aProgress))
  , firstEvent_(progress_.lastEvent_)
{
}

void
ItemRun::Start(const fleet::EndpointRecord& aEndpoint,
               const batch::BatchItem& aItem,
               const Sender& aSender,
               base::Duration aPatience)
{
  endpoint_ = aEndpoint.id_;
  SendTerms terms;
  terms.endpoint_ = aEndpoint.id_;
  terms.patience_ = aPatience;
  terms.lastEvent_ = progress_.lastEvent_;
  terms.caller_ = aSender.caller_;
  startedAt_ = base::MonotonicNow();
  httpstream::Call call;
  call.bytes_ = httpstream::Serialize(
    shared_.codec_.MakeItemRequest(aItem, aSender.hostName_, terms));
  call.echoField_ = shared_.codec_.EchoField();
  call.echoValue_ = aItem.id_;
  call.firstByteTimeout_ = kFirstByteTimeout;
  call.gapTimeout_ = kGapTimeout;
  run_ =
    std::make_shared<EndpointRun>(shared_, aEndpoint, fleet::WorkClass::Batch);
  run_->Start(std::move(call), *this);
}

void
ItemRun::Cancel()
{
  if (run_) {
    run_->Cancel();
  }
}

void
ItemRun::ReadOn()
{
  if (run_) {
    run_->SetPaused(false);
  }
}

void
ItemRun::OnHead(const httpstream::ResponseHead& aHead)
{
  notes_ = shared_.codec_.ReadAnswer(aHead);
  status_ = aHead.result_int();
}

void
ItemRun::OnBody(std::string_view aBytes)
{
  if (status_ != httpstream::kStatusOk) {
    return;
  }
  splitter_.Append(aBytes);
  while (const auto event = splitter_.Next()) {
    if (event->id_ != 0 && event->id_ <= progress_.lastEvent_) {
      continue;
    }
    if (progress_.lastEvent_ > 0) {
      progress_.output_.push_back('\n');
    }
    progress_.output_.append(event->data_);
    progress_.lastEvent_ = event->id_;
  }
  run_->SetPaused(true);
}

batch::ItemRunEnd
ItemRun::Check(httpstream::CallEnd aEnd) const
{
  if (aEnd == httpstream::CallEnd::NotConnected) {
    return batch::ItemRunEnd::NotRun;
  }
  if (aEnd != httpstream::CallEnd::Complete) {
    return batch::ItemRunEnd::Broken;
  }
  if (notes_.isCertainlyNotRun_) {
    return batch::ItemRunEnd::NotRun;
  }
  if (status_ == httpstream::kStatusUnprocessable) {
    return batch::ItemRunEnd::Impossible;
  }
  if (status_ != httpstream::kStatusOk) {
    return batch::ItemRunEnd::Failed;
  }
  return splitter_.Remainder() > 0 ? batch::ItemRunEnd::Broken
                                   : batch::ItemRunEnd::Completed;
}

void
ItemRun::OnEnd(httpstream::CallEnd aEnd)
{
  onEnd_(*this, Check(aEnd));
}

} // namespace pumiceturn::gateway
