#include "LibJobLog/CopyIndex.h"
#include "LibJobLog/SegmentScan.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace {

using namespace pumiceturn::joblog;

constexpr std::uint64_t kSalt = 7;
constexpr std::size_t kEditBytes = 4;

void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

/// Scans a segment as SegmentStore does at start, and checks the invariants
/// that hold for any input.
void
Scan(const std::string& aBytes, SegmentPlace aPlace)
{
  std::map<std::uint32_t, CopyIndex> copies;
  std::int64_t liveEntries = 0;
  const CopyIndex::Dropped dropped = [&liveEntries](std::uint32_t) {
    --liveEntries;
  };
  std::uint64_t previousEnd = kSegmentHeaderBytes;
  const SegmentVisitor visitor{
    [&](const RecordHeader& aHeader,
        std::uint64_t aOffset,
        std::string_view aPayload) {
      Require(aOffset >= previousEnd);
      Require(aOffset + RecordBytes(aPayload.size()) <= aBytes.size());
      previousEnd = aOffset + RecordBytes(aPayload.size());
      CopyIndex& copy = copies[aHeader.partition_];
      if (aHeader.kind_ == RecordKind::Entry) {
        ++liveEntries;
        copy.AddEntry(aHeader, CopyIndex::Place{ 1, 0 }, dropped);
      } else if (const auto state = DecodeCopyState(aHeader, aPayload)) {
        if (aHeader.kind_ == RecordKind::Reset) {
          copy.Reset(*state, dropped);
        } else {
          copy.ApplyState(*state, dropped);
        }
      }
    },
    [&](const Damage& aDamage) { Require(aDamage.offset_ >= previousEnd); }
  };
  const std::uint64_t end = ScanSegment(aBytes, kSalt, aPlace, visitor);
  Require(end <= std::max<std::uint64_t>(aBytes.size(), kSegmentHeaderBytes));
  Require(aPlace == SegmentPlace::Newest || end == aBytes.size());
  Require(liveEntries >= 0);
}

/// Builds a valid segment from the input and applies the rest of the input as
/// edits, so that most records still have valid checksums.
std::string
BuildSegment(const std::uint8_t* aData, std::size_t aSize)
{
  std::string bytes = EncodeSegmentHeader(SegmentHeader{ 1, kSalt });
  const std::size_t records = aSize > 0 ? aData[0] % 16U : 0;
  std::size_t used = 1;
  for (std::size_t index = 0; index < records && used + 3 < aSize; ++index) {
    const std::uint8_t* input = aData + used;
    RecordHeader header;
    header.kind_ = static_cast<RecordKind>(1U + input[0] % 4U);
    header.partition_ = input[1] % 2U;
    header.sequence_ = input[2];
    header.epoch_ = input[3] % 4U;
    std::string payload(input[0] / 4U, 'x');
    if (header.kind_ == RecordKind::State ||
        header.kind_ == RecordKind::Reset) {
      payload = EncodeCopyState(CopyState{ 0, 0, header.epoch_, false });
    }
    header.length_ = static_cast<std::uint32_t>(payload.size());
    header.payloadChecksum_ = PayloadChecksum(payload);
    AppendRecord(bytes, header, payload, kSalt);
    used += 4;
  }
  for (; used + kEditBytes <= aSize; used += kEditBytes) {
    const std::size_t offset =
      (std::size_t{ aData[used] } << 8U) | aData[used + 1];
    if (offset < bytes.size()) {
      bytes[offset] = static_cast<char>(aData[used + 2]);
    }
    if (aData[used + 3] == 0xFF) {
      bytes.resize(std::min(bytes.size(), offset));
    }
  }
  return bytes;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string raw(aSize, '\0');
  if (aSize > 0) {
    std::memcpy(raw.data(), aData, aSize);
  }
  static_cast<void>(DecodeSegmentHeader(raw));
  static_cast<void>(DecodeRecordHeader(raw, kSalt));
  for (const SegmentPlace place :
       { SegmentPlace::Earlier, SegmentPlace::Newest }) {
    Scan(raw, place);
    Scan(BuildSegment(aData, aSize), place);
  }
  return 0;
}
