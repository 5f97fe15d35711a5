#pragma once

#include <cstdint>
#include <string>

namespace pumiceturn::joblog {

/// @return the record that an owner writes first under its epoch, in the form
/// of Schema/JobLog.capnp.
std::string
EncodeEpochStarted(std::uint64_t aEpoch, const std::string& aOwner);

} // namespace pumiceturn::joblog
