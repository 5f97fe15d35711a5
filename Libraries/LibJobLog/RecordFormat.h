#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// Bytes of a segment file: a file header, then records of one fixed header and
/// a payload, each padded to eight bytes. Numbers are little-endian.
namespace pumiceturn::joblog {

enum class RecordKind : std::uint8_t
{
  Entry = 1, ///< A partition's log entry.
  State = 2, ///< A copy's sealed epoch and first sequence.
  Reset = 3, ///< As State, and everything held before is void.
  Group = 4, ///< Begins a group: all bytes before it had been synced.
};

struct RecordHeader
{
  RecordKind kind_ = RecordKind::Entry;
  std::uint32_t partition_ = 0; ///< Below 2^24.
  std::uint32_t length_ = 0;    ///< Of the payload, without padding.
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t payloadChecksum_ = 0;

  bool operator==(const RecordHeader&) const = default;
};

struct SegmentHeader
{
  std::uint32_t number_ = 0;
  /// Random; seeds the checksums, so that bytes chosen by a caller never pass
  /// for a record when a damaged segment is searched.
  std::uint64_t salt_ = 0;

  bool operator==(const SegmentHeader&) const = default;
};

inline constexpr std::size_t kRecordHeaderBytes = 40;
inline constexpr std::size_t kSegmentHeaderBytes = 32;
inline constexpr std::size_t kRecordAlignment = 8;
inline constexpr std::uint32_t kMaxPayloadBytes = 64U << 20U;

/// @return the bytes a record takes in its segment.
constexpr std::size_t
RecordBytes(std::size_t aPayloadBytes)
{
  const std::size_t padded = (aPayloadBytes + kRecordAlignment - 1) /
                             kRecordAlignment * kRecordAlignment;
  return kRecordHeaderBytes + padded;
}

std::uint64_t
PayloadChecksum(std::string_view aPayload);

/// Appends a whole record to a buffer.
void
AppendRecord(std::string& aBuffer,
             const RecordHeader& aHeader,
             std::string_view aPayload,
             std::uint64_t aSalt);

/// @return nothing if the bytes are too few or fail their checksum.
std::optional<RecordHeader>
DecodeRecordHeader(std::string_view aBytes, std::uint64_t aSalt);

std::string
EncodeSegmentHeader(const SegmentHeader& aHeader);

/// @return nothing if the bytes are too few or fail their checksum.
std::optional<SegmentHeader>
DecodeSegmentHeader(std::string_view aBytes);

/// What a State or Reset record holds.
struct CopyState
{
  std::uint64_t sealedEpoch_ = 0;   ///< Older epochs are refused.
  std::uint64_t firstSequence_ = 1; ///< Entries before it were trimmed.
  std::uint64_t previousEpoch_ = 0; ///< Of the last entry trimmed.
  /// Began empty and does not yet hold every acknowledged record.
  bool incomplete_ = false;

  bool operator==(const CopyState&) const = default;
};

std::string
EncodeCopyState(const CopyState& aState);

/// @return nothing if the payload is malformed.
std::optional<CopyState>
DecodeCopyState(const RecordHeader& aHeader, std::string_view aPayload);

} // namespace pumiceturn::joblog
