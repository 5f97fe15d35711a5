#pragma once

#include <Caller.pb.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::client {

/// A line of a lot that is no valid item.
struct BrokenLine
{
  std::size_t number_ = 0; ///< From 1.
  std::string detail_;
};

/// A lot as read from JSON Lines.
struct Lot
{
  std::vector<caller::JobItem> items_;
  std::vector<BrokenLine> brokenLines_;
};

/// Reads JSON Lines, an object `{"name": TEXT, "prompt": TEXT}` each. `name`
/// may be left out; the line's number takes its place. Blank lines are skipped.
Lot
ReadLot(std::string_view aText);

} // namespace pumiceturn::client
