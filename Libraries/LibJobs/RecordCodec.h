#pragma once

#include "LibBase/Result.h"
#include "LibJobs/Records.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::jobs {

/// Whether item names, payloads, result texts and details are copied out of a
/// record. A replay needs only the number of items.
enum class PayloadMode : std::uint8_t
{
  Read,
  Skip,
};

/// @return the record as it is stored in the log.
std::string
EncodeRecord(const Record& aRecord);

/// Decodes a record.
/// @param aPayloadMode With Skip, item names, payloads, result texts and
/// details stay empty.
/// @return the record, or CorruptRecord when the bytes are not a valid record.
base::Result<Record>
DecodeRecord(std::string_view aBytes,
             PayloadMode aPayloadMode = PayloadMode::Read);

/// Reads one item of an ItemsAccepted record without copying the others.
/// @param aIndex Index in the record, from 0.
/// @return the item, or CorruptRecord for another kind of record or an index
/// out of range.
base::Result<wire::JobItem>
ReadItem(std::string_view aBytes, std::uint32_t aIndex);

/// Reads one result of an ItemsEnded record, as ReadItem() does.
base::Result<ItemEnded>
ReadItemEnded(std::string_view aBytes, std::uint32_t aIndex);

} // namespace pumiceturn::jobs
