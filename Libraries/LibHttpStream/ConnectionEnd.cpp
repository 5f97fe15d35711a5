#include "LibHttpStream/ConnectionEnd.h"

#include <array>

namespace pumiceturn::httpstream {

namespace {

constexpr std::array<std::string_view, kCloseCauses> kCauseNames = {
  "caller",          "write_failed",    "idle_timeout",
  "request_timeout", "response_unread", "request_rejected",
  "response_ended",  "draining",        "aborted",
};

constexpr std::array<std::string_view, 3> kProgressNames = { "none",
                                                             "incomplete",
                                                             "unanswered" };

} // namespace

std::string_view
ToString(CloseCause aCause)
{
  return kCauseNames.at(static_cast<std::size_t>(aCause));
}

std::string_view
ToString(RequestProgress aProgress)
{
  return kProgressNames.at(static_cast<std::size_t>(aProgress));
}

} // namespace pumiceturn::httpstream
