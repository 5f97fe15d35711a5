#pragma once

namespace pumiceturn::wire {

struct IdlePlan
{
  int links_ = 0;   ///< Most links at once.
  int port_ = 0;    ///< First port of the peers.
  int seconds_ = 0; ///< How long the peers stay.
};

/// Listens as many peers, then ends.
void
ServePeers(const IdlePlan& aPlan);

/// Dials more and more of the peers and prints what the idle links cost.
void
MeasureIdle(const IdlePlan& aPlan);

} // namespace pumiceturn::wire
