#pragma once

#include <algorithm>
#include <cstddef>

namespace pumiceturn::gateway {

/// Limits the memory for response bytes that callers haven't read yet, so that
/// slow readers can't exhaust it. Not thread-safe.
class OutputBudget
{
public:
  static constexpr std::size_t kDefaultBytes = 33554432;

  /// Bounds of a stream's share. The minimum exceeds a usual event, so that
  /// streams go on while there are many.
  static constexpr std::size_t kMinPerStream = 8192;
  static constexpr std::size_t kMaxPerStream = 262144;

  explicit OutputBudget(std::size_t aBytes = kDefaultBytes)
    : bytes_(aBytes)
  {
  }

  void AddStream() { ++streams_; }
  void RemoveStream() { --streams_; }

  /// @return the number of unsent bytes above which a stream isn't read from
  ///         its endpoint any further.
  [[nodiscard]] std::size_t MaxUnsentPerStream() const
  {
    return std::clamp(bytes_ / std::max<std::size_t>(streams_, 1),
                      kMinPerStream,
                      kMaxPerStream);
  }

  /// @param aUnsent Unsent bytes of all responses.
  /// @return whether further large responses must wait.
  [[nodiscard]] bool IsExhausted(std::size_t aUnsent) const
  {
    return aUnsent >= bytes_;
  }

private:
  std::size_t bytes_;
  std::size_t streams_ = 0;
};

} // namespace pumiceturn::gateway
