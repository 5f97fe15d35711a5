#include "LibGateway/ServiceVersionStore.h"

#include "LibGateway/Events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Pause after a read that failed.
constexpr std::chrono::milliseconds kRetryPause{ 300 };

/// Least time between two reads that were asked for: after a restart of all
/// hosts, each of them reads.
constexpr std::chrono::milliseconds kRequestPause{ 250 };

/// Time after which nobody waits for a read that was asked for: inquiries end
/// sooner.
constexpr std::chrono::seconds kMaxRequestAge{ 1 };

fleet::ServiceVersions::Versions
DecodeVersions(const std::string& aText)
{
  const json value = json::parse(aText, nullptr, false);
  fleet::ServiceVersions::Versions versions;
  if (value.is_array()) {
    for (const json& version : value) {
      if (version.is_string()) {
        versions.insert(version.get<std::string>());
      }
    }
  }
  return versions;
}

} // namespace

ServiceVersionStore::ServiceVersionStore(metadata::StoreClient& aStore,
                                         std::string aKeyPrefix,
                                         fleet::ServiceVersions& aVersions)
  : store_(aStore)
  , keyPrefix_(std::move(aKeyPrefix))
  , versions_(aVersions)
{
}

void
ServiceVersionStore::Tick(bool aIsWriter, base::Instant aNow)
{
  now_ = aNow;
  ForgetExpired();
  const bool isMissed = IsVersionMissed(aNow);
  // Otherwise another host may write from now on.
  const bool mayWrite = aIsWriter || isMissed;
  isCurrent_ = isCurrent_ && mayWrite;
  if (readRequestedAt_ && aNow - *readRequestedAt_ > kMaxRequestAge) {
    readRequestedAt_.reset();
  }
  if (isCalling_) {
    return;
  }
  if (mayWrite && isCurrent_ && WriteNextChange(aIsWriter)) {
    return;
  }
  const bool isRequested = readRequestedAt_ && aNow >= sentAt_ + kRequestPause;
  const bool isDue =
    !hasBeenRead_ || (mayWrite ? !isCurrent_ : unrecordedSince_.has_value());
  if (isRequested || (isDue && aNow >= nextReadAt_)) {
    Read(aNow);
  }
}

bool
ServiceVersionStore::IsVersionMissed(base::Instant aNow)
{
  if (!SeesUnrecorded()) {
    unrecordedSince_.reset();
    return false;
  }
  unrecordedSince_ = unrecordedSince_.value_or(aNow);
  return aNow - *unrecordedSince_ >= kMaxUnrecordedTime;
}

void
ServiceVersionStore::RequestRead(base::Instant aNow)
{
  now_ = aNow;
  readRequestedAt_ = aNow;
  if (!isCalling_ && aNow >= sentAt_ + kRequestPause) {
    Read(aNow);
  }
}

void
ServiceVersionStore::ForgetExpired()
{
  for (auto& [service, recorded] : recorded_) {
    const auto seen = versions_.VersionsOf(service);
    std::erase_if(recorded, [&seen](const std::string& aVersion) {
      return !seen.contains(aVersion);
    });
  }
}

bool
ServiceVersionStore::SeesUnrecorded() const
{
  for (const std::string& service : versions_.Services()) {
    const auto recorded = recorded_.find(service);
    // A host doesn't put back what it knows from the store alone.
    for (const std::string& version : versions_.ObservedVersionsOf(service)) {
      if (recorded == recorded_.end() || !recorded->second.contains(version)) {
        return true;
      }
    }
  }
  return false;
}

const fleet::ServiceVersions::Versions*
ServiceVersionStore::RecordedVersions(const std::string& aService) const
{
  const auto recorded = recorded_.find(aService);
  return recorded == recorded_.end() || recorded->second.empty()
           ? nullptr
           : &recorded->second;
}

void
ServiceVersionStore::Read(base::Instant aNow)
{
  isCalling_ = true;
  sentAt_ = aNow;
  nextReadAt_ = aNow + kRetryPause;
  readItems_.clear();
  ReadAfter({}, aNow);
}

void
ServiceVersionStore::ReadAfter(const std::string& aKey, base::Instant aSentAt)
{
  store_.Range(
    keyPrefix_,
    aKey,
    metadata::ReadConsistency::Linearizable,
    lifetime_.Guard([this, aSentAt](const metadata::RangeResponse& aResponse) {
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        isCalling_ = false;
        return;
      }
      readItems_.insert(
        readItems_.end(), aResponse.items_.begin(), aResponse.items_.end());
      if (aResponse.isTruncated_ && !aResponse.items_.empty()) {
        ReadAfter(aResponse.items_.back().key_, aSentAt);
        return;
      }
      isCalling_ = false;
      OnRead(aSentAt);
    }));
}

void
ServiceVersionStore::OnRead(base::Instant aSentAt)
{
  entries_.clear();
  recorded_.clear();
  for (const metadata::StoreItem& item : std::exchange(readItems_, {})) {
    Apply(item, std::max(aSentAt, now_));
  }
  hasBeenRead_ = true;
  readAt_ = aSentAt;
  isCurrent_ = true;
  if (readRequestedAt_ && *readRequestedAt_ <= aSentAt) {
    readRequestedAt_.reset();
  }
  if (onRead_) {
    onRead_(aSentAt);
  }
}

void
ServiceVersionStore::Apply(const metadata::StoreItem& aItem, base::Instant aNow)
{
  const std::string service = aItem.key_.substr(keyPrefix_.size());
  Entry& entry = entries_[service];
  entry = { aItem.revision_ > 0 ? DecodeVersions(aItem.value_)
                                : fleet::ServiceVersions::Versions{},
            aItem.revision_ };
  base::Log(kServiceVersionsRead,
            { { "service", service },
              { "versions", json(entry.versions_).dump() },
              { "revision", entry.revision_ } });
  for (const std::string& version : entry.versions_) {
    versions_.Learn(service, version, aNow);
  }
  recorded_[service] = entry.versions_;
}

fleet::ServiceVersions::Versions
ServiceVersionStore::VersionsToWrite(const std::string& aService,
                                     bool aIsWriter)
{
  auto versions = versions_.VersionsOf(aService);
  if (!aIsWriter) {
    // Only the writer takes versions out.
    const auto& named = entries_[aService].versions_;
    versions.insert(named.begin(), named.end());
  }
  return versions;
}

bool
ServiceVersionStore::WriteNextChange(bool aIsWriter)
{
  std::set<std::string> services = versions_.Services();
  for (const auto& [service, entry] : entries_) {
    services.insert(service);
  }
  for (const std::string& service : services) {
    const auto versions = VersionsToWrite(service, aIsWriter);
    if (versions != entries_[service].versions_) {
      Write(service, versions);
      return true;
    }
  }
  return false;
}

void
ServiceVersionStore::Write(const std::string& aService,
                           const fleet::ServiceVersions::Versions& aVersions)
{
  isCalling_ = true;
  metadata::Transaction transaction;
  transaction.expectations_.push_back(
    { keyPrefix_ + aService, entries_[aService].revision_ });
  if (aVersions.empty()) {
    transaction.removals_.push_back(keyPrefix_ + aService);
  } else {
    transaction.writes_.push_back(
      { keyPrefix_ + aService, json(aVersions).dump(), 0 });
  }
  store_.Commit(
    transaction,
    lifetime_.Guard([this, aService, aVersions](
                      const metadata::TransactionResponse& aResponse) {
      isCalling_ = false;
      const bool isWritten = aResponse.status_ == metadata::StoreStatus::Ok;
      base::Log(kServiceVersionsWritten,
                { { "service", aService },
                  { "versions", json(aVersions).dump() },
                  { "written", isWritten },
                  { "revision", aResponse.revision_ } });
      if (isWritten) {
        entries_[aService] = { aVersions,
                               aVersions.empty() ? 0 : aResponse.revision_ };
        recorded_[aService] = aVersions;
        return;
      }
      // Reads the entries again: another host may have written, or this host
      // without an answer.
      isCurrent_ = false;
    }));
}

} // namespace pumiceturn::gateway
