#pragma once

#include "LibBase/Result.h"
#include "LibPartition/PartitionTable.h"
#include "LibPlatform/KeyValueClient.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Keys and values of the partition table in the key-value service.
namespace pumiceturn::partition {

/// How many partitions the fleet has; agreed once, at its first start.
struct Layout
{
  std::uint32_t partitions_ = 0;
  std::string writeId_;

  bool operator==(const Layout&) const = default;
};

std::string
LayoutKey(std::string_view aKeyPrefix);

/// @return the prefix of all partitions' keys.
std::string
PartitionPrefix(std::string_view aKeyPrefix);

std::string
PartitionKey(std::string_view aKeyPrefix, std::uint32_t aPartition);

std::string
EncodeLayout(const Layout& aLayout);

/// @return MalformedMessage if the value is not a layout.
base::Result<Layout>
ParseLayout(std::string_view aValue);

std::string
EncodePartitionRecord(const PartitionRecord& aRecord);

/// @return MalformedMessage if key or value are not a partition's.
base::Result<PartitionRecord>
ParsePartitionRecord(std::string_view aKeyPrefix,
                     const platform::KeyValue& aEntry);

} // namespace pumiceturn::partition
