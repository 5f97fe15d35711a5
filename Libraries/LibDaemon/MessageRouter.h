#pragma once

#include "LibWire/Messages.h"

#include <cstdint>

namespace pumiceturn::daemon {

/// The function of a process that a message is for.
enum class Receiver : std::uint8_t
{
  Everyone, ///< Heartbeats.
  Agent,
  Entry,
  Keeper,
  RunStarter,    ///< The entry if it knows the run, otherwise the keeper.
  Configuration, ///< The spread of configurations, in every process.
};

/// @return the receiver of a message by its type; docs/ARCHITECTURE.md has the
/// table.
Receiver
ReceiverOf(const wire::Message& aMessage);

} // namespace pumiceturn::daemon
