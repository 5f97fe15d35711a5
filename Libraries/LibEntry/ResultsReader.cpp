#include "LibEntry/ResultsReader.h"

#include "LibEntry/Replies.h"

#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::entry {

using base::ResultCode;

ResultsReader::ResultsReader(std::shared_ptr<EntryCore> aCore,
                             std::shared_ptr<Stream> aStream,
                             std::string aPartner,
                             const caller::ReadResultsRequest& aRequest)
  : core_(std::move(aCore))
  , stream_(std::move(aStream))
  , partner_(std::move(aPartner))
  , job_(base::MakeJobId(partner_, aRequest.job_key()))
  , from_(aRequest.from())
  , follow_(aRequest.follow())
{
}

void
ResultsReader::Fetch()
{
  if (core_->draining_) {
    stream_->Close(MakeRefusal(
      base::Failure{ ResultCode::Draining,
                     "this entry is draining; continue at another one" }));
    return;
  }
  wire::ReadResults request;
  request.job_ = job_;
  request.partner_ = partner_;
  request.from_ = from_;
  request.limit_ = kPageItems;
  core_->ownerCalls_->Call(
    job_,
    std::move(request),
    kPageTimeout,
    [self = shared_from_this()](OwnerCalls::ReplyOrFailure aReply) {
      self->OnPage(std::move(aReply));
    });
}

void
ResultsReader::OnPageWritten()
{
  if (ended_) {
    stream_->Close(grpc::Status::OK);
  } else {
    Fetch();
  }
}

void
ResultsReader::OnPage(OwnerCalls::ReplyOrFailure aReply)
{
  if (const auto* failure = std::get_if<base::Failure>(&aReply)) {
    stream_->Close(MakeStatus(MakeOutcome(
      failure->code_, base::Ran::Unspecified, 0, failure->detail_)));
    return;
  }
  auto& page = std::get<wire::ResultsPage>(std::get<wire::Message>(aReply));
  if (page.code_ != ResultCode::Ok) {
    stream_->Close(MakeStatus(MakeOutcome(page.code_, base::Ran::Unspecified)));
    return;
  }
  ended_ = page.ended_;
  if (page.items_.empty()) {
    FinishOrPoll();
    return;
  }
  from_ = page.items_.back().position_ + 1;
  std::vector<caller::ItemResult> results;
  results.reserve(page.items_.size());
  for (wire::ItemResult& item : page.items_) {
    results.push_back(MakeItemResult(std::move(item)));
  }
  // Pushed as one batch: with single pushes a fast caller could drain the
  // stream in the middle of the page, and the page would be fetched again.
  stream_->PushAll(std::move(results));
}

void
ResultsReader::FinishOrPoll()
{
  if (ended_ || !follow_) {
    stream_->Close(grpc::Status::OK);
    return;
  }
  if (stream_->IsClosing()) {
    return; // The caller disconnected.
  }
  core_->context_.pool_.PostAt(base::MonotonicNow() + kPollInterval,
                               [self = shared_from_this()] { self->Fetch(); });
}

} // namespace pumiceturn::entry
