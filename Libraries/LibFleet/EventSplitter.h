#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::fleet {

/// May stand at the beginning of a response, and nowhere else in a stream.
inline constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// One complete event of an event stream.
struct StreamEvent
{
  std::uint64_t id_ = 0;    ///< 0: none, or no valid one.
  std::string_view data_{}; ///< All data fields, separated by line feeds.
  bool hasData_ = false;    ///< Comments have none.
  /// All bytes, including the empty line at the end. The second byte of that
  /// line's end may follow as an event of its own, without data.
  std::string_view raw_{};
};

/// Splits a stream into complete events, in the format of server-sent events
/// (WHATWG HTML): lines end with LF, CR LF or CR. An endpoint may break off
/// within an event; forwarding only complete events lets the stream resume at
/// another endpoint without missing or duplicated bytes.
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
  /// @return the next complete line without its end; empty if more bytes are
  ///         needed.
  [[nodiscard]] std::optional<std::string_view> NextLine();

  /// @return the event whose last line has been read.
  [[nodiscard]] StreamEvent TakeEvent();

  /// Drops the bytes that were returned.
  void Compact();

  std::string buffer_;
  /// Offset of the first byte that wasn't returned.
  std::size_t readOffset_ = 0;
  std::size_t lineOffset_ = 0; ///< Offset of the first line not yet read.
  /// Offset of the first byte in which a line's end hasn't been looked for.
  std::size_t searchOffset_ = 0;
  /// The last line ended with the last byte so far, a CR: an LF that follows is
  /// part of its end.
  bool mayEndWithLineFeed_ = false;
  bool isAtStart_ = true; ///< No event has been returned.
  std::string data_; ///< Of the event returned last, if it has several fields.
};

} // namespace pumiceturn::fleet
