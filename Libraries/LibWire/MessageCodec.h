#pragma once

#include "LibBase/Result.h"
#include "LibWire/Messages.h"

#include <Wire.capnp.h>

#include <cstddef>

namespace pumiceturn::wire {

/// Writes a message into an envelope of a Cap'n Proto message under
/// construction.
/// @param aTo      Envelope to fill.
/// @param aMessage Message of any type.
void
Encode(schema::Envelope::Builder aTo, const Message& aMessage);

/// Writes a heartbeat, which travels outside of envelopes.
void
Encode(schema::Heartbeat::Builder aTo, const Heartbeat& aHeartbeat);

/// Reads a message that came from another process. Nothing of the envelope is
/// trusted.
/// @return MalformedMessage for an unknown type, a number outside of its
/// enumeration, or pointers that lead out of the message.
base::Result<Message>
Decode(schema::Envelope::Reader aFrom);

/// Reads a heartbeat in the same way.
base::Result<Heartbeat>
Decode(schema::Heartbeat::Reader aFrom);

/// @return how many bytes the message takes on the wire, within a few hundred,
/// for queue limits and buffer sizes.
std::size_t
ApproximateSize(const Message& aMessage);

} // namespace pumiceturn::wire
