#pragma once

#include "LibClient/Client.h"

#include <cxxopts.hpp>

#include <initializer_list>
#include <string>

namespace pumiceturn::pumicectl {

/// A positional argument; it may also be given as an option of that name.
struct PositionalArgument
{
  std::string name_;
  std::string help_;
};

/// Adds --entry, --token and --timeout-ms.
void
DeclareConnection(cxxopts::Options& aOptions);

/// @return the entries and the token that the options or the environment
/// (PUMICETURN_ENTRIES, PUMICETURN_TOKEN) name, or OutOfRange for an address
/// that is no IP:port.
base::Result<client::Client::Options>
ClientOptions(const cxxopts::ParseResult& aArguments);

/// @return a client with ClientOptions().
base::Result<client::Client>
MakeClient(const cxxopts::ParseResult& aArguments);

/// Adds positional arguments, which Positional() reads.
void
DeclarePositional(cxxopts::Options& aOptions,
                  std::initializer_list<PositionalArgument> aArguments);

/// @return the positional argument.
/// @throws cxxopts::exceptions::exception when it is missing, or when there are
/// more than were declared.
std::string
Positional(const cxxopts::ParseResult& aArguments, const std::string& aName);

/// @return a file's text, or that of the standard input for `-`.
base::Result<std::string>
ReadInput(const std::string& aPath);

/// @return a wall-clock time as `2026-12-31T23:59:59Z`, `-` for 0.
std::string
FormatTime(std::int64_t aUnixMs);

} // namespace pumiceturn::pumicectl
