#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::fleet {

/// One whole event of a stream of events.
struct StreamEvent
{
  std::uint64_t id_ = 0;
  std::string_view data_; ///< The first data field.
  std::string_view raw_;  ///< All bytes, with the empty line at the end.
};

/// Cuts a stream into whole events. An endpoint may break off within an event;
/// passing on whole events alone lets the stream go on at another endpoint with
/// no byte missing or doubled.
class EventSplitter
{
public:
  void Append(std::string_view aBytes) { buffer_.append(aBytes); }

  /// @return the next whole event, valid until the next call.
  [[nodiscard]] std::optional<StreamEvent> Next();

  /// @return bytes of an event that isn't whole.
  [[nodiscard]] std::size_t Remainder() const { return buffer_.size() - read_; }

  /// Drops a part of an event, after a break.
  void Clear();

private:
  std::string buffer_;
  std::size_t read_ = 0; ///< Begin of what has not been returned.
};

} // namespace pumiceturn::fleet
