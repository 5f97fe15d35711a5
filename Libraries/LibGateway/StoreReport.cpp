#include "LibGateway/StoreReport.h"

#include "LibBase/Deflate.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Maximum compressed size of a delta, as each peer gets a copy in one
/// datagram.
constexpr std::size_t kMaxDeltaBytes = 32768;

/// Maximum size before that. The store limits values to 1 MB.
constexpr std::size_t kMaxUncompressedDeltaBytes = 2097152;

/// Maximum age accepted in a report. A larger, forged one could make an old
/// mirror look fresh.
constexpr std::int64_t kMaxAgeMs = 3600000;

std::int64_t
ToMicroseconds(base::BootInstant aInstant)
{
  return aInstant.time_since_epoch().count();
}

base::BootInstant
DecodeBootInstant(const json& aRow, const char* aName)
{
  // Gateways of earlier versions send no such time.
  return base::BootInstant(
    base::Duration(aRow.value(aName, std::int64_t{ 0 })));
}

json
EncodeView(const metadata::MirrorView& aView)
{
  return { { "change", aView.lastChangeRevision_ },
           { "followed", aView.followedRevision_ },
           { "age", base::ToMs(aView.age_) },
           { "complete", ToMicroseconds(aView.completeAsOf_) } };
}

base::Duration
DecodeAge(const json& aAge)
{
  const auto milliseconds = aAge.get<std::int64_t>();
  if (milliseconds < 0 || milliseconds > kMaxAgeMs) {
    throw json::other_error::create(0, "age is out of range", &aAge);
  }
  return std::chrono::milliseconds(milliseconds);
}

metadata::MirrorView
DecodeView(const json& aRow)
{
  return { aRow.at("change").get<std::uint64_t>(),
           aRow.at("followed").get<std::uint64_t>(),
           DecodeAge(aRow.at("age")),
           DecodeBootInstant(aRow, "complete") };
}

StorePrefix
DecodePrefix(const json& aNumber)
{
  const auto number = aNumber.get<std::uint64_t>();
  if (number >= kStorePrefixes.size()) {
    throw json::other_error::create(0, "unknown store prefix", &aNumber);
  }
  return static_cast<StorePrefix>(number);
}

json
EncodeItem(const metadata::StoreItem& aItem)
{
  // Anyone may have written the value, so it may not be valid UTF-8.
  return { { "key", aItem.key_ },
           { "value",
             json::binary({ aItem.value_.begin(), aItem.value_.end() }) },
           { "revision", aItem.revision_ },
           { "removed", aItem.isRemoved_ } };
}

metadata::StoreItem
DecodeItem(const json& aRow)
{
  metadata::StoreItem item;
  item.key_ = aRow.at("key").get<std::string>();
  const auto& value = aRow.at("value").get_binary();
  item.value_.assign(value.begin(), value.end());
  item.revision_ = aRow.at("revision").get<std::uint64_t>();
  item.isRemoved_ = aRow.at("removed").get<bool>();
  return item;
}

} // namespace

json
EncodeStoreReport(const StoreReport& aReport)
{
  json views = json::array();
  for (const StoreReport::PrefixView& view : aReport.views_) {
    json row = EncodeView(view.view_);
    row["prefix"] = static_cast<std::uint8_t>(view.prefix_);
    views.push_back(std::move(row));
  }
  return { { "may_follow", aReport.state_.mayFollow_ },
           { "preferred", aReport.state_.isPreferred_ },
           { "start", aReport.incarnation_ },
           { "sent", ToMicroseconds(aReport.sentAt_) },
           { "views", std::move(views) } };
}

StoreReport
DecodeStoreReport(const json& aRow)
{
  StoreReport report;
  report.state_.mayFollow_ = aRow.at("may_follow").get<bool>();
  report.state_.isPreferred_ = aRow.at("preferred").get<bool>();
  report.incarnation_ = aRow.value("start", std::uint64_t{ 0 });
  report.sentAt_ = DecodeBootInstant(aRow, "sent");
  for (const json& row : aRow.at("views")) {
    report.views_.push_back(
      { DecodePrefix(row.at("prefix")), DecodeView(row) });
  }
  return report;
}

std::optional<json>
EncodeStoreDelta(const StoreDelta& aDelta)
{
  json items = json::array();
  for (const metadata::StoreItem& item : aDelta.delta_.items_) {
    items.push_back(EncodeItem(item));
  }
  const std::vector<std::uint8_t> content =
    json::to_cbor({ { "prefix", static_cast<std::uint8_t>(aDelta.prefix_) },
                    { "previous", aDelta.delta_.previousChange_ },
                    { "view", EncodeView(aDelta.delta_.view_) },
                    { "items", std::move(items) } });
  std::vector<std::uint8_t> compressed = base::Deflate(content);
  if (compressed.size() > kMaxDeltaBytes ||
      content.size() > kMaxUncompressedDeltaBytes) {
    return std::nullopt;
  }
  return json{ { "size", content.size() },
               { "deflated", json::binary(std::move(compressed)) } };
}

StoreDelta
DecodeStoreDelta(const json& aRow)
{
  const auto size = aRow.at("size").get<std::size_t>();
  const auto content = size <= kMaxUncompressedDeltaBytes
                         ? base::Inflate(aRow.at("deflated").get_binary(), size)
                         : std::nullopt;
  if (!content) {
    throw json::other_error::create(0, "delta can't be decompressed", &aRow);
  }
  const json delta = json::from_cbor(*content);
  StoreDelta decoded;
  decoded.prefix_ = DecodePrefix(delta.at("prefix"));
  decoded.delta_.previousChange_ = delta.at("previous").get<std::uint64_t>();
  decoded.delta_.view_ = DecodeView(delta.at("view"));
  for (const json& item : delta.at("items")) {
    decoded.delta_.items_.push_back(DecodeItem(item));
  }
  return decoded;
}

} // namespace pumiceturn::gateway
