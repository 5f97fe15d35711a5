#pragma once

#include "LibLots/Lot.h"
#include "LibLots/LotKeys.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// What the runs of a lot have so far.
struct LotProgress
{
  std::string lot_;
  std::uint64_t stateRevision_ = 0;
  std::unordered_map<std::string, lots::PartialRun> runs_; ///< By item.
};

/// Stores now and then what the runs of this host's lots have so far, so that
/// the next owner goes on there when this host loses its power: an item takes
/// up to 8 s, and a host that fails would cost all its items their time.
/// Belongs to the event thread.
class ProgressKeeper
{
public:
  ProgressKeeper(metadata::StoreClient& aStore, const lots::LotKeySpace& aKeys);

  /// @param aHosts All hosts together make a bounded number of calls.
  [[nodiscard]] bool IsDue(std::size_t aHosts, base::Instant aNow) const;

  /// Stores the lots whose runs went on since they were last stored, as many as
  /// one call takes; the others come first next time.
  void Store(std::vector<LotProgress> aLots, base::Instant aNow);

  /// A lot is no longer run here.
  void Forget(const std::string& aLot) { stored_.erase(aLot); }

private:
  struct Stored
  {
    base::Instant at_;
    std::unordered_map<std::string, std::uint64_t> events_; ///< By item.
  };

  [[nodiscard]] bool HasAdvanced(const LotProgress& aLot) const;
  [[nodiscard]] base::Instant StoredAt(const LotProgress& aLot) const;
  void NoteStored(const LotProgress& aLot, base::Instant aNow);

  metadata::StoreClient& store_;
  const lots::LotKeySpace& keys_;
  std::unordered_map<std::string, Stored> stored_;
  base::Instant last_{};
  bool isUnderWay_ = false;
};

} // namespace pumiceturn::gateway
