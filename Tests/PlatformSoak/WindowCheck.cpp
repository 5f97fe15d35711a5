#include "Tests/PlatformSoak/WindowCheck.h"

namespace pumiceturn::adapter {

BusiestWindow
FindBusiestWindow(std::span<const RunRequest> aRequests,
                  std::chrono::steady_clock::duration aLength)
{
  BusiestWindow busiest;
  for (std::size_t first = 0; first < aRequests.size(); ++first) {
    const auto begin = aRequests[first].sentAt_;
    std::size_t requests = 0;
    for (std::size_t index = first; index < aRequests.size() &&
                                    aRequests[index].sentAt_ <= begin + aLength;
         ++index) {
      requests += aRequests[index].arrivedAt_ <= begin + aLength ? 1 : 0;
    }
    if (requests > busiest.requests_) {
      busiest = { requests, begin };
    }
  }
  return busiest;
}

} // namespace pumiceturn::adapter
