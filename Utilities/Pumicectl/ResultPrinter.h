#pragma once

#include <Caller.pb.h>

#include <cstdint>

namespace pumiceturn::pumicectl {

enum class ResultFormat : std::uint8_t
{
  Text,      ///< Name, then answer or result code.
  JsonLines, ///< Everything.
};

/// Prints a result to the standard output.
void
PrintResult(const caller::ItemResult& aResult, ResultFormat aFormat);

} // namespace pumiceturn::pumicectl
