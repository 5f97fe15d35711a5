#pragma once

#include "LibJobLog/RecordFormat.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace pumiceturn::joblog {

/// Where a segment stands among the files of a store.
enum class SegmentPlace : std::uint8_t
{
  Earlier, ///< Synced whole before the next one was begun.
  Newest,  ///< Its last group may be half-written.
};

enum class DamageKind : std::uint8_t
{
  Payload, ///< The header is whole, so the lost record is known.
  Header,  ///< Any partition may have lost records here.
};

struct Damage
{
  DamageKind kind_ = DamageKind::Header;
  std::uint64_t offset_ = 0;
  RecordHeader header_; ///< Of a record with a damaged payload.
};

struct SegmentVisitor
{
  std::function<void(const RecordHeader& aHeader,
                     std::uint64_t aOffset,
                     std::string_view aPayload)>
    record_;
  std::function<void(const Damage& aDamage)> damage_;
};

/// Reads all records of a segment's bytes in order.
///
/// A host that stops in the middle of a group write leaves a torn tail: bytes
/// that fail their checksum, with no later group behind them, because a group
/// is begun only after the one before it was synced. Only such a tail is cut;
/// nothing in it was acknowledged. Bad bytes with a later group behind them, or
/// in an earlier segment, were durable once: they are reported as damage.
///
/// @param aBytes The file's content, its header included.
/// @return the offset behind the last record; bytes from there are a torn tail.
std::uint64_t
ScanSegment(std::string_view aBytes,
            std::uint64_t aSalt,
            SegmentPlace aPlace,
            const SegmentVisitor& aVisitor);

} // namespace pumiceturn::joblog
