#pragma once

#include "Command.h"

#include "LibSettings/Address.h"

namespace pumiceturn::pumicectl {

/// Adds --listen.
/// @param aDefault IP:port.
void
DeclareListen(cxxopts::Options& aOptions, const char* aDefault);

/// @return the address of --listen, or OutOfRange.
base::Result<settings::Address>
ListenAddress(const cxxopts::ParseResult& aArguments);

/// Blocks the signals that end a stand-in, so that the threads it starts leave
/// them to WaitForEnd(), and starts the log.
void
PrepareStandin(const std::string& aName);

/// Prints the address and waits for SIGINT or SIGTERM.
void
WaitForEnd(const settings::Address& aAddress, int aPort);

} // namespace pumiceturn::pumicectl
