#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::fleet {

/// One complete event of an event stream.
struct StreamEvent
{
  std::uint64_t id_ = 0;    ///< 0: none, or no valid one.
  std::string_view data_{}; ///< The first data field.
  bool hasData_ = false;    ///< Comments have none.
  std::string_view raw_{};  ///< All bytes, including the empty line at the end.
};

/// Splits a stream into complete events. An endpoint may break off within an
/// event; forwarding only complete events lets the stream resume at another
/// endpoint without missing or duplicated bytes.
class EventSplitter
{
public:
  /// Largest event that endpoints may send: far above the largest piece of
  /// text, and above events that carry 64 KB.
  static constexpr std::size_t kMaxEventBytes = 262144;

  void Append(std::string_view aBytes) { buffer_.append(aBytes); }

  /// @return the next complete event, valid until the next call of Append(),
  ///         Next() or Clear(); empty if more bytes are needed.
  [[nodiscard]] std::optional<StreamEvent> Next();

  /// @return the number of buffered bytes that Next() has not returned; once it
  ///         returns empty, the size of the partial event.
  [[nodiscard]] std::size_t Remainder() const
  {
    return buffer_.size() - readOffset_;
  }

  /// @return whether the partial event is larger than any may be. Next() must
  ///         have returned empty.
  [[nodiscard]] bool IsEventTooLarge() const
  {
    return Remainder() > kMaxEventBytes;
  }

  /// Drops a partial event, after the stream broke.
  void Clear();

private:
  std::string buffer_;
  /// Offset of the first byte that wasn't returned.
  std::size_t readOffset_ = 0;
  /// Offset of the first byte in which an event's end hasn't been looked for.
  std::size_t searchOffset_ = 0;
};

} // namespace pumiceturn::fleet
