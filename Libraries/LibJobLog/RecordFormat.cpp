#include "LibJobLog/RecordFormat.h"

#include "LibBase/Ids.h"

#include <cassert>
#include <cstring>

namespace pumiceturn::joblog {

namespace {

constexpr std::uint64_t kSegmentMagic = 0x31474F4C50545550ULL;
constexpr std::uint32_t kFormatVersion = 1;
constexpr std::uint32_t kPartitionBits = 24;
constexpr std::uint32_t kPartitionMask = (1U << kPartitionBits) - 1U;
constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
constexpr std::uint64_t kIncompleteFlag = 1;

template<typename Number>
void
PutNumber(std::string& aBuffer, Number aValue)
{
  // Checked where it matters: the build targets little-endian machines alone.
  static_assert(std::is_unsigned_v<Number>);
  char bytes[sizeof(Number)];
  std::memcpy(bytes, &aValue, sizeof(Number));
  aBuffer.append(bytes, sizeof(Number));
}

/// Reads numbers from bytes whose size was checked.
class NumberReader
{
public:
  explicit NumberReader(std::string_view aBytes)
    : bytes_(aBytes)
  {
  }

  template<typename Number>
  Number Take()
  {
    assert(bytes_.size() >= sizeof(Number));
    Number value = 0;
    std::memcpy(&value, bytes_.data(), sizeof(Number));
    bytes_.remove_prefix(sizeof(Number));
    return value;
  }

private:
  std::string_view bytes_;
};

bool
IsKnownKind(std::uint32_t aKind)
{
  return aKind >= static_cast<std::uint32_t>(RecordKind::Entry) &&
         aKind <= static_cast<std::uint32_t>(RecordKind::Group);
}

} // namespace

std::uint64_t
PayloadChecksum(std::string_view aPayload)
{
  return base::HashBytes(aPayload);
}

void
AppendRecord(std::string& aBuffer,
             const RecordHeader& aHeader,
             std::string_view aPayload,
             std::uint64_t aSalt)
{
  assert(aHeader.partition_ <= kPartitionMask);
  assert(aHeader.length_ == aPayload.size());
  const std::size_t begin = aBuffer.size();
  PutNumber(aBuffer, aHeader.length_);
  PutNumber(aBuffer,
            (static_cast<std::uint32_t>(aHeader.kind_) << kPartitionBits) |
              aHeader.partition_);
  PutNumber(aBuffer, aHeader.epoch_);
  PutNumber(aBuffer, aHeader.sequence_);
  PutNumber(aBuffer, aHeader.payloadChecksum_);
  const std::string_view fields(aBuffer.data() + begin, aBuffer.size() - begin);
  PutNumber(aBuffer, base::HashBytes(fields, aSalt));
  aBuffer.append(aPayload);
  aBuffer.resize(begin + RecordBytes(aPayload.size()), '\0');
}

std::optional<RecordHeader>
DecodeRecordHeader(std::string_view aBytes, std::uint64_t aSalt)
{
  if (aBytes.size() < kRecordHeaderBytes) {
    return std::nullopt;
  }
  constexpr std::size_t kFieldBytes = kRecordHeaderBytes - kChecksumBytes;
  NumberReader reader(aBytes);
  RecordHeader header;
  header.length_ = reader.Take<std::uint32_t>();
  const auto kindAndPartition = reader.Take<std::uint32_t>();
  header.epoch_ = reader.Take<std::uint64_t>();
  header.sequence_ = reader.Take<std::uint64_t>();
  header.payloadChecksum_ = reader.Take<std::uint64_t>();
  const auto checksum = reader.Take<std::uint64_t>();
  if (checksum != base::HashBytes(aBytes.substr(0, kFieldBytes), aSalt)) {
    return std::nullopt;
  }
  const std::uint32_t kind = kindAndPartition >> kPartitionBits;
  if (!IsKnownKind(kind) || header.length_ > kMaxPayloadBytes) {
    return std::nullopt;
  }
  header.kind_ = static_cast<RecordKind>(kind);
  header.partition_ = kindAndPartition & kPartitionMask;
  return header;
}

std::string
EncodeSegmentHeader(const SegmentHeader& aHeader)
{
  std::string bytes;
  PutNumber(bytes, kSegmentMagic);
  PutNumber(bytes, kFormatVersion);
  PutNumber(bytes, aHeader.number_);
  PutNumber(bytes, aHeader.salt_);
  PutNumber(bytes, base::HashBytes(bytes));
  return bytes;
}

std::optional<SegmentHeader>
DecodeSegmentHeader(std::string_view aBytes)
{
  if (aBytes.size() < kSegmentHeaderBytes) {
    return std::nullopt;
  }
  NumberReader reader(aBytes);
  const auto magic = reader.Take<std::uint64_t>();
  const auto version = reader.Take<std::uint32_t>();
  SegmentHeader header;
  header.number_ = reader.Take<std::uint32_t>();
  header.salt_ = reader.Take<std::uint64_t>();
  const auto checksum = reader.Take<std::uint64_t>();
  const std::string_view fields =
    aBytes.substr(0, kSegmentHeaderBytes - kChecksumBytes);
  if (magic != kSegmentMagic || version != kFormatVersion ||
      checksum != base::HashBytes(fields)) {
    return std::nullopt;
  }
  return header;
}

std::string
EncodeCopyState(const CopyState& aState)
{
  std::string payload;
  PutNumber(payload, aState.previousEpoch_);
  PutNumber(payload, aState.incomplete_ ? kIncompleteFlag : std::uint64_t{ 0 });
  return payload;
}

std::optional<CopyState>
DecodeCopyState(const RecordHeader& aHeader, std::string_view aPayload)
{
  constexpr std::size_t kStateBytes = 2 * sizeof(std::uint64_t);
  if (aPayload.size() != kStateBytes || aHeader.sequence_ == 0) {
    return std::nullopt;
  }
  NumberReader reader(aPayload);
  CopyState state;
  state.sealedEpoch_ = aHeader.epoch_;
  state.firstSequence_ = aHeader.sequence_;
  state.previousEpoch_ = reader.Take<std::uint64_t>();
  state.incomplete_ = reader.Take<std::uint64_t>() == kIncompleteFlag;
  return state;
}

} // namespace pumiceturn::joblog
