#include "LibMetadata/PrefixMirror.h"

#include "LibMetadata/Events.h"

#include <unordered_set>
#include <utility>

namespace pumiceturn::metadata {

PrefixMirror::PrefixMirror(boost::asio::io_context& aContext,
                           StoreClient& aClient,
                           StoreHealth& aHealth,
                           Options aOptions,
                           ChangeHandler aOnChange)
  : client_(aClient)
  , health_(aHealth)
  , options_(std::move(aOptions))
  , onChange_(std::move(aOnChange))
  , timer_(aContext)
{
}

void
PrefixMirror::After(base::Duration aPause, void (PrefixMirror::*aStep)())
{
  timer_.expires_after(aPause);
  timer_.async_wait([this, aStep](const boost::system::error_code& aError) {
    if (!aError) {
      (this->*aStep)();
    }
  });
}

void
PrefixMirror::ReadPage(const std::string& aAfter)
{
  if (aAfter.empty()) {
    pages_.clear();
    readRevision_.reset();
  }
  client_.Range(options_.prefix_, aAfter, [this](RangeReply aReply) {
    OnPage(std::move(aReply));
  });
}

void
PrefixMirror::OnPage(RangeReply aReply)
{
  const bool isOk = aReply.status_ == StoreStatus::Ok;
  health_.NoteCall(isOk, base::MonotonicNow());
  if (!isOk) {
    After(options_.retryPause_, &PrefixMirror::Restart);
    return;
  }
  // Pages are not a snapshot: following from the first page's revision brings
  // again whatever changed while the later ones were read.
  if (!readRevision_) {
    readRevision_ = aReply.storeRevision_;
  }
  for (StoreItem& item : aReply.items_) {
    pages_.push_back(std::move(item));
  }
  if (aReply.isTruncated_ && !pages_.empty()) {
    ReadPage(pages_.back().key_);
    return;
  }
  FinishReading();
}

void
PrefixMirror::FinishReading()
{
  std::unordered_set<std::string> present;
  for (const StoreItem& item : pages_) {
    present.insert(item.key_);
  }
  std::vector<std::string> gone;
  for (const auto& [key, revision] : revisions_) {
    if (!present.contains(key)) {
      gone.push_back(key);
    }
  }
  const std::size_t read = pages_.size();
  for (const StoreItem& item : std::exchange(pages_, {})) {
    Apply(item);
  }
  for (std::string& key : gone) {
    Apply({ std::move(key), {}, *readRevision_, true });
  }
  followedRevision_ = *readRevision_;
  complete_ = true;
  base::Log(kMirrorRead,
            { { "prefix", options_.prefix_ },
              { "keys", read },
              { "revision", followedRevision_ } });
  Watch();
}

void
PrefixMirror::Apply(const StoreItem& aItem)
{
  if (aItem.removed_) {
    if (revisions_.erase(aItem.key_) > 0) {
      onChange_(aItem);
    }
    return;
  }
  std::uint64_t& known = revisions_[aItem.key_];
  if (aItem.revision_ <= known) {
    return;
  }
  known = aItem.revision_;
  onChange_(aItem);
}

void
PrefixMirror::Watch()
{
  client_.Watch(options_.prefix_,
                followedRevision_,
                options_.longestWatch_,
                [this](const WatchReply& aReply) { OnWatch(aReply); });
}

void
PrefixMirror::OnWatch(const WatchReply& aReply)
{
  const bool isAnswered = aReply.status_ == StoreStatus::Ok ||
                          aReply.status_ == StoreStatus::HistoryLost;
  health_.NoteCall(isAnswered, base::MonotonicNow());
  if (aReply.status_ == StoreStatus::HistoryLost) {
    Restart();
    return;
  }
  if (!isAnswered) {
    After(options_.retryPause_, &PrefixMirror::Watch);
    return;
  }
  if (aReply.storeRevision_ > followedRevision_) {
    followedRevision_ = aReply.storeRevision_;
  }
  const bool hadChanges = !aReply.events_.empty();
  for (const StoreItem& item : aReply.events_) {
    Apply(item);
  }
  if (hadChanges) {
    After(options_.pause_, &PrefixMirror::Watch);
    return;
  }
  Watch();
}

} // namespace pumiceturn::metadata
