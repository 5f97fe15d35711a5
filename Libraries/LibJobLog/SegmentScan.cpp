#include "LibJobLog/SegmentScan.h"

#include <optional>

namespace pumiceturn::joblog {

namespace {

/// @return the payload, or nothing if it is cut off or fails its checksum.
std::optional<std::string_view>
WholePayload(std::string_view aBytes,
             std::uint64_t aOffset,
             const RecordHeader& aHeader)
{
  if (aBytes.size() - aOffset < RecordBytes(aHeader.length_)) {
    return std::nullopt;
  }
  const std::string_view payload =
    aBytes.substr(aOffset + kRecordHeaderBytes, aHeader.length_);
  if (PayloadChecksum(payload) != aHeader.payloadChecksum_) {
    return std::nullopt;
  }
  return payload;
}

/// @return the offset of the next bytes that are a record's header.
std::optional<std::uint64_t>
FindHeader(std::string_view aBytes, std::uint64_t aFrom, std::uint64_t aSalt)
{
  for (std::uint64_t offset = aFrom;
       offset + kRecordHeaderBytes <= aBytes.size();
       offset += kRecordAlignment) {
    if (DecodeRecordHeader(aBytes.substr(offset), aSalt)) {
      return offset;
    }
  }
  return std::nullopt;
}

bool
HasLaterGroup(std::string_view aBytes, std::uint64_t aFrom, std::uint64_t aSalt)
{
  std::optional<std::uint64_t> offset = FindHeader(aBytes, aFrom, aSalt);
  while (offset) {
    const auto header = DecodeRecordHeader(aBytes.substr(*offset), aSalt);
    if (header->kind_ == RecordKind::Group) {
      return true;
    }
    offset = FindHeader(aBytes, *offset + kRecordAlignment, aSalt);
  }
  return false;
}

} // namespace

std::uint64_t
ScanSegment(std::string_view aBytes,
            std::uint64_t aSalt,
            SegmentPlace aPlace,
            const SegmentVisitor& aVisitor)
{
  std::uint64_t offset = kSegmentHeaderBytes;
  while (offset < aBytes.size()) {
    const auto header = DecodeRecordHeader(aBytes.substr(offset), aSalt);
    const auto payload =
      header ? WholePayload(aBytes, offset, *header) : std::nullopt;
    if (payload) {
      aVisitor.record_(*header, offset, *payload);
      offset += RecordBytes(header->length_);
      continue;
    }
    if (aPlace == SegmentPlace::Newest &&
        !HasLaterGroup(aBytes, offset + kRecordAlignment, aSalt)) {
      return offset;
    }
    const bool headerWhole =
      header && aBytes.size() - offset >= RecordBytes(header->length_);
    aVisitor.damage_(headerWhole
                       ? Damage{ DamageKind::Payload, offset, *header }
                       : Damage{ DamageKind::Header, offset, RecordHeader{} });
    const std::uint64_t next =
      offset + (headerWhole ? RecordBytes(header->length_) : kRecordAlignment);
    offset = FindHeader(aBytes, next, aSalt).value_or(aBytes.size());
  }
  return aBytes.size();
}

} // namespace pumiceturn::joblog
