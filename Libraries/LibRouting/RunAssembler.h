#pragma once

#include "LibWire/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pumiceturn::routing {

/// Assembles the chunks of one run in order. Chunks may be delayed, repeated or
/// reordered after a link was lost and came up again; without reassembly the
/// caller would see scrambled or repeated text. Sequence numbers start at 1 and
/// have no gaps.
class RunAssembler
{
public:
  /// Maximum number of chunks kept beyond a gap. Further ones are dropped and
  /// requested again.
  static constexpr std::size_t kMaxPending = 4096;

  /// @return whether the contiguous text was extended.
  bool Add(const wire::Chunk& aChunk);

  /// Sets the sequence number of the run's last chunk.
  void SetEnd(std::uint64_t aLastSequence);

  /// @return the contiguous text received so far.
  [[nodiscard]] const std::string& Text() const { return text_; }
  [[nodiscard]] std::uint32_t Tokens() const { return tokens_; }

  /// @return the last sequence number up to which all chunks were received.
  [[nodiscard]] std::uint64_t ReceivedSequence() const { return received_; }

  /// @return whether a chunk is missing before a later chunk or the known end.
  [[nodiscard]] bool HasGap() const;

  /// @return whether all chunks up to the known end were received.
  [[nodiscard]] bool IsComplete() const;

private:
  void Append(const wire::Chunk& aChunk);

  std::string text_;
  std::uint32_t tokens_ = 0;
  std::uint64_t received_ = 0;
  std::optional<std::uint64_t> endSequence_;
  std::map<std::uint64_t, wire::Chunk> pending_;
};

} // namespace pumiceturn::routing
