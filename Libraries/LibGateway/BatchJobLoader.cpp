#include "LibGateway/BatchJobLoader.h"

#include <utility>

namespace pumiceturn::gateway {

using metadata::StoreStatus;

void
BatchJobLoader::ReadState(const std::string& aJob, Done aDone)
{
  ReadAllAfter(jobs_.Keys().StateKey(aJob), {}, std::move(aDone));
}

void
BatchJobLoader::ReadData(const std::string& aJob, Done aDone)
{
  ReadAllAfter(jobs_.Keys().DataPrefix(aJob),
               {},
               [this, aJob, done = std::move(aDone)](StoreStatus aStatus) {
                 if (aStatus == StoreStatus::Ok) {
                   jobs_.FinishLoading(aJob);
                 }
                 done(aStatus);
               });
}

void
BatchJobLoader::ReadAllAfter(const std::string& aPrefix,
                             const std::string& aAfter,
                             Done aDone)
{
  store_.Range(aPrefix,
               aAfter,
               metadata::ReadConsistency::Linearizable,
               [this, aPrefix, done = std::move(aDone)](
                 metadata::RangeResponse aResponse) {
                 for (const metadata::StoreItem& item : aResponse.items_) {
                   jobs_.Apply(item.key_, item.value_, item.revision_);
                 }
                 const bool hasMore = aResponse.status_ == StoreStatus::Ok &&
                                      aResponse.isTruncated_ &&
                                      !aResponse.items_.empty();
                 if (hasMore) {
                   ReadAllAfter(aPrefix, aResponse.items_.back().key_, done);
                   return;
                 }
                 done(aResponse.status_);
               });
}

} // namespace pumiceturn::gateway
