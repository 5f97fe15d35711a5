#include "LibPartition/PartitionCodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace pumiceturn::partition {

namespace {

using base::ResultCode;
using nlohmann::json;

/// Far above any useful count; bounds what a damaged key can make us allocate.
constexpr std::uint32_t kMaxPartitions = 1U << 20U;

base::Result<std::uint32_t>
ParsePartitionNumber(std::string_view aText)
{
  std::uint32_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{} || end != aText.data() + aText.size() ||
      number >= kMaxPartitions) {
    return base::Fail(ResultCode::MalformedMessage,
                      fmt::format("partition key {}", aText));
  }
  return number;
}

} // namespace

std::string
LayoutKey(std::string_view aKeyPrefix)
{
  return fmt::format("{}layout", aKeyPrefix);
}

std::string
PartitionPrefix(std::string_view aKeyPrefix)
{
  return fmt::format("{}partition/", aKeyPrefix);
}

std::string
PartitionKey(std::string_view aKeyPrefix, std::uint32_t aPartition)
{
  return fmt::format("{}{}", PartitionPrefix(aKeyPrefix), aPartition);
}

std::string
EncodeLayout(const Layout& aLayout)
{
  return json{
    { "partitions", aLayout.partitions_ }, { "write_id", aLayout.writeId_ }
  }.dump();
}

base::Result<Layout>
ParseLayout(std::string_view aValue)
{
  const json value = json::parse(aValue, nullptr, false);
  const bool valid = value.is_object() && value.contains("partitions") &&
                     value["partitions"].is_number_unsigned() &&
                     value.contains("write_id") &&
                     value["write_id"].is_string();
  if (!valid) {
    return base::Fail(ResultCode::MalformedMessage, "layout");
  }
  const auto partitions = value["partitions"].get<std::uint64_t>();
  if (partitions == 0 || partitions > kMaxPartitions) {
    return base::Fail(ResultCode::MalformedMessage, "partitions of the layout");
  }
  return Layout{ static_cast<std::uint32_t>(partitions),
                 value["write_id"].get<std::string>() };
}

std::string
EncodePartitionRecord(const PartitionRecord& aRecord)
{
  return json{
    { "owner", aRecord.owner_ },
    { "epoch", aRecord.epoch_ },
    { "copies", aRecord.copies_ },
    { "write_id", aRecord.writeId_ }
  }.dump();
}

base::Result<PartitionRecord>
ParsePartitionRecord(std::string_view aKeyPrefix,
                     const platform::KeyValue& aEntry)
{
  const std::string prefix = PartitionPrefix(aKeyPrefix);
  if (!aEntry.key_.starts_with(prefix)) {
    return base::Fail(ResultCode::MalformedMessage, "key of another kind");
  }
  PartitionRecord record;
  BOOST_LEAF_ASSIGN(
    record.partition_,
    ParsePartitionNumber(std::string_view(aEntry.key_).substr(prefix.size())));
  const json value = json::parse(aEntry.value_, nullptr, false);
  const bool valid = value.is_object() && value.contains("owner") &&
                     value["owner"].is_string() && value.contains("epoch") &&
                     value["epoch"].is_number_unsigned() &&
                     value.contains("copies") && value["copies"].is_array() &&
                     value.contains("write_id") &&
                     value["write_id"].is_string();
  if (!valid) {
    return base::Fail(ResultCode::MalformedMessage,
                      fmt::format("value of {}", aEntry.key_));
  }
  for (const json& copy : value["copies"]) {
    if (!copy.is_string()) {
      return base::Fail(ResultCode::MalformedMessage, "copies");
    }
    record.copies_.push_back(copy.get<std::string>());
  }
  record.owner_ = value["owner"].get<std::string>();
  record.epoch_ = value["epoch"].get<std::uint64_t>();
  record.writeId_ = value["write_id"].get<std::string>();
  record.modRevision_ = aEntry.modRevision_;
  return record;
}

} // namespace pumiceturn::partition
