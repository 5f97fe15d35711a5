#pragma once

#include <chrono>
#include <cstddef>
#include <span>

namespace pumiceturn::adapter {

/// A request that ran: when its caller sent it and when it reached a server.
struct RunRequest
{
  std::chrono::steady_clock::time_point sentAt_;
  std::chrono::steady_clock::time_point arrivedAt_;
};

/// The window with the most requests.
struct BusiestWindow
{
  std::size_t requests_ = 0;
  std::chrono::steady_clock::time_point beginsAt_;
};

/// @param aRequests In the order of sending.
/// @return the window of a length in which most requests were both sent and
///         reached a server.
[[nodiscard]] BusiestWindow
FindBusiestWindow(std::span<const RunRequest> aRequests,
                  std::chrono::steady_clock::duration aLength);

} // namespace pumiceturn::adapter
