#include "LibConfiguration/ConfigurationCache.h"

#include "LibConfiguration/Events.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::configuration {

/// Names are views into the content that the snapshot owns, which never moves
/// or changes.
struct Snapshot::Index
{
  using Kinds = std::map<std::string_view, const declarations::RequestKind*>;

  std::map<std::string_view, const declarations::Service*> services_;
  std::map<std::string_view, Kinds> kinds_;
  std::unordered_map<std::string_view, const declarations::Endpoint*>
    endpoints_;
  // Sorted lists, because tables would take several times the memory, and there
  // are tens of thousands of partners.
  std::vector<const declarations::Partner*> partners_;
  std::vector<const declarations::Partner*> tokens_;
  std::set<std::string_view> drained_;
};

namespace {

template<typename Table>
typename Table::mapped_type
FindIn(const Table& aTable, std::string_view aName)
{
  const auto found = aTable.find(aName);
  return found == aTable.end() ? nullptr : found->second;
}

using Partners = std::vector<const declarations::Partner*>;

std::string_view
NameOf(const declarations::Partner* aPartner)
{
  return aPartner->name();
}

std::string_view
TokenOf(const declarations::Partner* aPartner)
{
  return aPartner->token_sha256();
}

template<typename KeyOf>
const declarations::Partner*
FindSorted(const Partners& aPartners, KeyOf aKeyOf, std::string_view aKey)
{
  const auto found =
    std::ranges::lower_bound(aPartners, aKey, std::ranges::less{}, aKeyOf);
  const bool isThere = found != aPartners.end() && aKeyOf(*found) == aKey;
  return isThere ? *found : nullptr;
}

} // namespace

Snapshot::Snapshot(declarations::Configuration aContent)
  : content_(std::move(aContent))
{
  const auto index = std::make_shared<Index>();
  for (const auto& service : content_.declarations().services()) {
    index->services_.emplace(service.name(), &service);
    for (const auto& kind : service.kinds()) {
      index->kinds_[service.name()].emplace(kind.name(), &kind);
    }
    for (const auto& endpoint : service.endpoints()) {
      index->endpoints_.emplace(endpoint.name(), &endpoint);
    }
  }
  for (const auto& partner : content_.declarations().partners()) {
    index->partners_.push_back(&partner);
    // A partner without a token must not be found by an empty one.
    if (!partner.token_sha256().empty()) {
      index->tokens_.push_back(&partner);
    }
  }
  std::ranges::sort(index->partners_, std::ranges::less{}, NameOf);
  std::ranges::sort(index->tokens_, std::ranges::less{}, TokenOf);
  index->partners_.shrink_to_fit();
  index->tokens_.shrink_to_fit();
  for (const std::string& host : content_.drained_hosts()) {
    index->drained_.insert(host);
  }
  index_ = index;
}

const declarations::Service*
Snapshot::FindService(std::string_view aName) const
{
  return FindIn(index_->services_, aName);
}

const declarations::RequestKind*
Snapshot::FindKind(std::string_view aService, std::string_view aKind) const
{
  const auto kinds = index_->kinds_.find(aService);
  return kinds == index_->kinds_.end() ? nullptr : FindIn(kinds->second, aKind);
}

const declarations::Endpoint*
Snapshot::FindEndpoint(std::string_view aName) const
{
  return FindIn(index_->endpoints_, aName);
}

const declarations::Partner*
Snapshot::FindPartnerByToken(std::string_view aTokenDigest) const
{
  return FindSorted(index_->tokens_, TokenOf, aTokenDigest);
}

const declarations::Partner*
Snapshot::FindPartner(std::string_view aName) const
{
  return FindSorted(index_->partners_, NameOf, aName);
}

bool
Snapshot::IsDrained(std::string_view aHost) const
{
  return index_->drained_.contains(aHost);
}

struct ConfigurationCache::State
{
  mutable std::mutex mutex_;
  SnapshotPointer current_;
  std::vector<std::function<void(const SnapshotPointer&)>> handlers_;
  std::deque<SnapshotPointer> unannounced_;
  bool announcing_ = false;
};

ConfigurationCache::ConfigurationCache()
  : state_(std::make_unique<State>())
{
  state_->current_ =
    std::make_shared<const Snapshot>(declarations::Configuration{});
}

ConfigurationCache::~ConfigurationCache() = default;

ConfigurationCache::SnapshotPointer
ConfigurationCache::Current() const
{
  const std::lock_guard lock(state_->mutex_);
  return state_->current_;
}

bool
ConfigurationCache::Install(declarations::Configuration aContent)
{
  // The index of a large configuration takes time to build, so it is built
  // before the lock is taken.
  const auto snapshot = std::make_shared<const Snapshot>(std::move(aContent));
  std::unique_lock lock(state_->mutex_);
  if (snapshot->Version() <= state_->current_->Version()) {
    return false;
  }
  state_->current_ = snapshot;
  state_->unannounced_.push_back(snapshot);
  // Subscribers must never hear an older version after a newer one, so one
  // thread at a time announces, and it takes what others install meanwhile.
  if (state_->announcing_) {
    return true;
  }
  state_->announcing_ = true;
  while (!state_->unannounced_.empty()) {
    const SnapshotPointer next = std::move(state_->unannounced_.front());
    state_->unannounced_.pop_front();
    const auto handlers = state_->handlers_;
    lock.unlock();
    base::Log(kInstalled,
              { { "version", next->Version() },
                { "author", next->Content().author() },
                { "write_id", next->Content().write_id() } });
    for (const auto& handler : handlers) {
      handler(next);
    }
    lock.lock();
  }
  state_->announcing_ = false;
  return true;
}

void
ConfigurationCache::Subscribe(
  std::function<void(const SnapshotPointer&)> aHandler)
{
  const std::lock_guard lock(state_->mutex_);
  state_->handlers_.push_back(std::move(aHandler));
}

} // namespace pumiceturn::configuration
