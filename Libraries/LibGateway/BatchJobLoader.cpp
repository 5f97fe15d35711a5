#include "LibGateway/BatchJobLoader.h"

#include <utility>

namespace pumiceturn::gateway {

using metadata::StoreStatus;

void
BatchJobLoader::ReadState(const std::string& aJob, Done aDone)
{
  ReadPage(jobs_.Keys().StateOf(aJob), {}, std::move(aDone));
}

void
BatchJobLoader::ReadData(const std::string& aJob, Done aDone)
{
  ReadPage(jobs_.Keys().DataOf(aJob),
           {},
           [this, aJob, done = std::move(aDone)](StoreStatus aStatus) {
             if (aStatus == StoreStatus::Ok) {
               jobs_.FinishLoading(aJob);
             }
             done(aStatus);
           });
}

void
BatchJobLoader::ReadPage(const std::string& aPrefix,
                         const std::string& aAfter,
                         Done aDone)
{
  store_.Range(
    aPrefix,
    aAfter,
    [this, aPrefix, done = std::move(aDone)](metadata::RangeReply aReply) {
      for (const metadata::StoreItem& item : aReply.items_) {
        jobs_.Apply(item.key_, item.value_, item.revision_);
      }
      const bool hasMore = aReply.status_ == StoreStatus::Ok &&
                           aReply.isTruncated_ && !aReply.items_.empty();
      if (hasMore) {
        ReadPage(aPrefix, aReply.items_.back().key_, done);
        return;
      }
      done(aReply.status_);
    });
}

} // namespace pumiceturn::gateway
