#include "LibEntry/StreamedText.h"

#include <algorithm>

namespace pumiceturn::entry {

void
StreamedText::BeginAttempt()
{
  compared_ = 0;
  diverged_ = false;
}

std::string
StreamedText::Advance(std::string_view aAttemptText)
{
  if (diverged_) {
    return {};
  }
  const std::size_t common = std::min(aAttemptText.size(), sent_.size());
  if (common > compared_) {
    const std::size_t length = common - compared_;
    diverged_ = sent_.compare(compared_,
                              length,
                              aAttemptText.substr(compared_, length)) != 0;
    compared_ = common;
  }
  if (diverged_ || aAttemptText.size() <= sent_.size()) {
    return {};
  }
  std::string added(aAttemptText.substr(sent_.size()));
  sent_ += added;
  compared_ = sent_.size();
  return added;
}

} // namespace pumiceturn::entry
