#include "LibGateway/LotLoader.h"

#include <utility>

namespace pumiceturn::gateway {

using metadata::StoreStatus;

void
LotLoader::ReadState(const std::string& aLot, Done aDone)
{
  ReadPage(lots_.Keys().StateOf(aLot), {}, std::move(aDone));
}

void
LotLoader::ReadData(const std::string& aLot, Done aDone)
{
  ReadPage(lots_.Keys().DataOf(aLot),
           {},
           [this, aLot, done = std::move(aDone)](StoreStatus aStatus) {
             if (aStatus == StoreStatus::Ok) {
               lots_.FinishLoading(aLot);
             }
             done(aStatus);
           });
}

void
LotLoader::ReadPage(const std::string& aPrefix,
                    const std::string& aAfter,
                    Done aDone)
{
  store_.Range(
    aPrefix,
    aAfter,
    [this, aPrefix, done = std::move(aDone)](metadata::RangeReply aReply) {
      for (const metadata::StoreItem& item : aReply.items_) {
        lots_.Apply(item.key_, item.value_, item.revision_);
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
