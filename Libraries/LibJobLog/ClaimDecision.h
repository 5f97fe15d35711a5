#pragma once

#include "LibBase/Time.h"
#include "LibJobLog/FleetView.h"
#include "LibPartition/PartitionTable.h"

#include <string>

namespace pumiceturn::joblog {

enum class ClaimChoice : std::uint8_t
{
  Wait,
  Claim, ///< Become the owner.
  Yield, ///< Name another owner, since this one cannot serve.
};

struct ClaimDecision
{
  ClaimChoice choice_ = ClaimChoice::Wait;
  std::string successor_; ///< Of Yield.

  bool operator==(const ClaimDecision&) const = default;
};

/// What this host knows of its own copy.
enum class OwnCopy : std::uint8_t
{
  Whole,
  Unfit, ///< Missing, incomplete or damaged, or its disk is.
};

struct ClaimLimits
{
  std::uint32_t minCopies_ = 1;
  base::Duration takeoverAfter_{};
};

/// Decides whether this host should claim a partition that it does not serve.
///
/// Only hosts with a whole copy take over one that ever held records: the
/// recorded copies each hold all that was acknowledged, and nobody else does.
/// They follow one another in rendezvous order, one interval apart, so that
/// one of them claims and a host that cannot does not block the rest.
ClaimDecision
DecideClaim(const partition::PartitionRecord& aRecord,
            OwnCopy aOwnCopy,
            const FleetView& aFleet,
            const ClaimLimits& aLimits,
            base::Instant aNow);

/// @return the copy that should own a partition when its owner leaves: the
/// first in rendezvous order that is up; empty if there is none.
std::string
ChooseSuccessor(const partition::PartitionRecord& aRecord,
                const FleetView& aFleet);

} // namespace pumiceturn::joblog
