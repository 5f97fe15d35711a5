#include "LibSettings/LineDiff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace pumiceturn::settings {

namespace {

using Lines = std::span<const std::string_view>;

constexpr std::size_t kContextLines = 2;

/// Beyond this many cells the table of common lines costs too much memory, and
/// the differing middle is shown as removed and added whole.
constexpr std::size_t kMaxCells = 4'000'000;

struct DiffLine
{
  char sign_;
  std::string_view text_;
};

std::vector<std::string_view>
Split(std::string_view aText)
{
  std::vector<std::string_view> lines;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

void
Append(Lines aLines, char aSign, std::vector<DiffLine>& aDiff)
{
  for (const std::string_view line : aLines) {
    aDiff.push_back({ aSign, line });
  }
}

/// Appends the difference by the longest common subsequence.
void
AppendMiddle(Lines aBefore, Lines aAfter, std::vector<DiffLine>& aDiff)
{
  const std::size_t width = aAfter.size() + 1;
  if (aBefore.empty() || aAfter.empty() ||
      (aBefore.size() + 1) * width > kMaxCells) {
    Append(aBefore, '-', aDiff);
    Append(aAfter, '+', aDiff);
    return;
  }
  // common[i * width + j]: common lines of before[i..] and after[j..].
  std::vector<std::uint32_t> common((aBefore.size() + 1) * width, 0);
  for (std::size_t i = aBefore.size(); i-- > 0;) {
    for (std::size_t j = aAfter.size(); j-- > 0;) {
      common[i * width + j] =
        aBefore[i] == aAfter[j]
          ? common[(i + 1) * width + j + 1] + 1
          : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < aBefore.size() && j < aAfter.size()) {
    if (aBefore[i] == aAfter[j]) {
      aDiff.push_back({ ' ', aBefore[i] });
      ++i;
      ++j;
    } else if (common[(i + 1) * width + j] >= common[i * width + j + 1]) {
      aDiff.push_back({ '-', aBefore[i++] });
    } else {
      aDiff.push_back({ '+', aAfter[j++] });
    }
  }
  Append(aBefore.subspan(i), '-', aDiff);
  Append(aAfter.subspan(j), '+', aDiff);
}

bool
IsNearChange(const std::vector<DiffLine>& aDiff, std::size_t aIndex)
{
  const std::size_t first = aIndex - std::min(aIndex, kContextLines);
  const std::size_t last = std::min(aIndex + kContextLines, aDiff.size() - 1);
  for (std::size_t index = first; index <= last; ++index) {
    if (aDiff[index].sign_ != ' ') {
      return true;
    }
  }
  return false;
}

std::string
Write(const std::vector<DiffLine>& aDiff)
{
  std::string text;
  bool hasGap = false;
  for (std::size_t index = 0; index < aDiff.size(); ++index) {
    if (!IsNearChange(aDiff, index)) {
      hasGap = true;
      continue;
    }
    if (hasGap) {
      text += "  ...\n";
      hasGap = false;
    }
    text += aDiff[index].sign_;
    text += ' ';
    text += aDiff[index].text_;
    text += '\n';
  }
  return text;
}

} // namespace

std::string
DiffLines(std::string_view aBefore, std::string_view aAfter)
{
  if (aBefore == aAfter) {
    return {};
  }
  const std::vector<std::string_view> beforeLines = Split(aBefore);
  const std::vector<std::string_view> afterLines = Split(aAfter);
  Lines before = beforeLines;
  Lines after = afterLines;
  const auto [beforeStop, afterStop] =
    std::mismatch(before.begin(), before.end(), after.begin(), after.end());
  const auto prefix = static_cast<std::size_t>(beforeStop - before.begin());
  before = before.subspan(prefix);
  after = after.subspan(prefix);
  std::size_t suffix = 0;
  while (suffix < std::min(before.size(), after.size()) &&
         before[before.size() - 1 - suffix] ==
           after[after.size() - 1 - suffix]) {
    ++suffix;
  }
  std::vector<DiffLine> diff;
  Append(Lines(beforeLines).first(prefix), ' ', diff);
  AppendMiddle(before.first(before.size() - suffix),
               after.first(after.size() - suffix),
               diff);
  Append(before.last(suffix), ' ', diff);
  return Write(diff);
}

} // namespace pumiceturn::settings
