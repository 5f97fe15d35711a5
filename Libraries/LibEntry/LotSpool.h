#pragma once

#include "LibBase/Result.h"
#include "LibEntry/RequestChecks.h"
#include "LibWire/Messages.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// Memory that all lots being submitted through this entry may take together.
class SpoolBudget
{
public:
  static constexpr std::size_t kMaxBytes = std::size_t{ 384 } << 20U;

  /// @return false if the lot must come back later.
  [[nodiscard]] bool TryTake(std::size_t aBytes);
  void GiveBack(std::size_t aBytes);

private:
  std::atomic<std::size_t> taken_{ 0 };
};

/// A lot on its way in: its items in compact form, counted and hashed, since
/// the owner wants count and digest with the first frame and the caller names
/// neither. Kept in memory, as entry hosts have no disk; bounded per lot and
/// per entry. Not thread-safe.
class LotSpool
{
public:
  static constexpr std::size_t kMaxLotBytes = std::size_t{ 256 } << 20U;
  static constexpr std::size_t kFrameBytes = std::size_t{ 256 } << 10U;
  static constexpr std::size_t kFrameItems = 2048;

  /// @param aBudget Outlives the spool.
  LotSpool(LotTerms aTerms, SpoolBudget& aBudget);
  ~LotSpool();
  LotSpool(const LotSpool&) = delete;
  LotSpool& operator=(const LotSpool&) = delete;

  /// Takes an item.
  /// @return ItemTooLarge, TooManyItems or Overloaded with the item's place;
  /// the lot is then refused whole.
  base::Result<void> Add(std::string_view aName, std::string_view aPayload);

  /// Ends the lot: its count, digest, key and id are known then.
  /// @return InvalidRequest for a lot without items or with another number of
  /// items than told, as after a broken connection.
  base::Result<void> Seal();

  [[nodiscard]] const wire::JobDescription& Job() const { return terms_.job_; }

  /// @param aFirstItem Item to begin at, as told by the end of the last frame.
  /// @return the frame's items, at least one, as many as fit; last_ is set on
  /// the one that reaches the end.
  wire::SubmitFrame FrameFrom(std::uint32_t aFirstItem);

private:
  struct Position
  {
    std::uint32_t item_ = 0;
    std::size_t offset_ = 0;
  };

  void Append(std::string_view aPart);
  std::string_view ReadPart(std::size_t& aOffset) const;

  LotTerms terms_;
  SpoolBudget& budget_;
  std::size_t taken_ = 0;
  std::string content_;
  std::uint64_t digest_;
  std::uint64_t secondDigest_;
  Position next_;
};

} // namespace pumiceturn::entry
