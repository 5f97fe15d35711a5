#pragma once

#include "LibBase/Result.h"
#include "LibJobs/Records.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::jobs {

/// Whether payloads and answers are copied out of a record. A replay needs
/// only how many there are.
enum class Payloads : std::uint8_t
{
  Read,
  Skip,
};

/// @return the record as stored in the log.
std::string
EncodeRecord(const Record& aRecord);

/// @param aPayloads With Skip, names, payloads and texts stay empty.
/// @return CorruptRecord when the bytes are no record.
base::Result<Record>
DecodeRecord(std::string_view aBytes, Payloads aPayloads = Payloads::Read);

/// Reads one item of an ItemsAccepted record and copies no other.
/// @param aIndex Index in the record, from 0.
/// @return CorruptRecord for another kind of record or an index outside it.
base::Result<wire::JobItem>
ReadItem(std::string_view aBytes, std::uint32_t aIndex);

/// Reads one result of an ItemsEnded record; as ReadItem().
base::Result<ItemEnded>
ReadEnded(std::string_view aBytes, std::uint32_t aIndex);

} // namespace pumiceturn::jobs
