#pragma once

#include "LibFleet/StreamOriginTable.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Records of this host's streams that no host with a disk has confirmed yet.
/// Not thread-safe.
class UnconfirmedOrigins
{
public:
  /// Time within which a holder confirms: several round trips between regions.
  static constexpr std::chrono::milliseconds kConfirmTime{ 150 };

  /// Beyond it, records aren't followed any further.
  static constexpr std::size_t kMaxRows = 8192;

  void Add(const StreamOriginTable::Row& aRow, base::Instant aNow);

  /// Forgets a record that a holder has.
  void Confirm(const std::string& aId);

  /// @return whether a record wasn't confirmed in time, and none was since.
  [[nodiscard]] bool AreHoldersSilent() const { return areHoldersSilent_; }

  /// @return the records that no holder confirmed in time, or all while the
  ///         holders are silent. They are forgotten here.
  std::vector<StreamOriginTable::Row> TakeOverdue(base::Instant aNow);

private:
  struct Waiting
  {
    StreamOriginTable::Row row_;
    base::Instant addedAt_;
  };
  std::unordered_map<std::string, Waiting> waiting_; ///< By id.
  bool areHoldersSilent_ = false;
};

} // namespace pumiceturn::fleet
