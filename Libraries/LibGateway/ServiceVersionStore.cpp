#include "LibGateway/ServiceVersionStore.h"

#include "LibGateway/Events.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Pause after a read that failed.
constexpr std::chrono::milliseconds kRetryPause{ 300 };

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
ServiceVersionStore::Tick(bool aMayWrite, base::Instant aNow)
{
  // Another host may write from now on.
  isCurrent_ = isCurrent_ && aMayWrite;
  if (isCalling_) {
    return;
  }
  if (!hasBeenRead_ || (aMayWrite && !isCurrent_)) {
    if (aNow >= nextReadAt_) {
      Read(aNow);
    }
  } else if (aMayWrite) {
    WriteNextChange();
  }
}

void
ServiceVersionStore::Read(base::Instant aNow)
{
  isCalling_ = true;
  nextReadAt_ = aNow + kRetryPause;
  // Has one entry for each service, which fits into a page.
  store_.Range(
    keyPrefix_,
    {},
    metadata::ReadConsistency::Linearizable,
    lifetime_.Guard([this, aNow](const metadata::RangeResponse& aResponse) {
      isCalling_ = false;
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        return;
      }
      const base::Instant now = base::MonotonicNow();
      entries_.clear();
      for (const metadata::StoreItem& item : aResponse.items_) {
        Apply(item, now);
      }
      hasBeenRead_ = true;
      readAt_ = aNow;
      isCurrent_ = true;
    }));
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
    versions_.ObserveIfNew(service, version, aNow);
  }
}

void
ServiceVersionStore::WriteNextChange()
{
  std::set<std::string> services = versions_.Services();
  for (const auto& [service, entry] : entries_) {
    services.insert(service);
  }
  for (const std::string& service : services) {
    const auto versions = versions_.VersionsOf(service);
    if (versions != entries_[service].versions_) {
      Write(service, versions);
      return;
    }
  }
}

void
ServiceVersionStore::Write(const std::string& aService,
                           const fleet::ServiceVersions::Versions& aVersions)
{
  isCalling_ = true;
  metadata::Transaction transaction;
  transaction.expectations_.push_back(
    { keyPrefix_ + aService, entries_[aService].revision_ });
  transaction.writes_.push_back(
    { keyPrefix_ + aService, json(aVersions).dump(), 0 });
  store_.Commit(transaction,
                [this, aService, aVersions](
                  const metadata::TransactionResponse& aResponse) {
                  isCalling_ = false;
                  const bool isWritten =
                    aResponse.status_ == metadata::StoreStatus::Ok;
                  base::Log(kServiceVersionsWritten,
                            { { "service", aService },
                              { "versions", json(aVersions).dump() },
                              { "written", isWritten },
                              { "revision", aResponse.revision_ } });
                  if (isWritten) {
                    entries_[aService] = { aVersions, aResponse.revision_ };
                    return;
                  }
                  // Reads the entries again: another host may have written, or
                  // this host without an answer.
                  isCurrent_ = false;
                });
}

} // namespace pumiceturn::gateway
