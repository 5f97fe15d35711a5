#pragma once

#include "LibWire/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pumiceturn::routing {

/// Puts the chunks of one run in order. Guards against chunks that come late,
/// twice or out of order after a link was replaced: the caller would see
/// scrambled or doubled text. Every chunk has a sequence from 1 without gaps,
/// so order and completeness are known from the numbers alone.
class RunAssembler
{
public:
  /// Chunks held beyond a gap; more are dropped and asked for again.
  static constexpr std::size_t kMaxHeld = 4096;

  /// @return whether the text in order grew.
  bool Add(const wire::Chunk& aChunk);

  /// Takes the run's last sequence number.
  void SetEnd(std::uint64_t aLastSequence);

  /// @return the text in order so far.
  [[nodiscard]] const std::string& Text() const { return text_; }
  [[nodiscard]] std::uint32_t Tokens() const { return tokens_; }

  /// @return the last sequence below which nothing is missing.
  [[nodiscard]] std::uint64_t ReceivedSequence() const { return received_; }

  /// @return whether a later chunk or the end is known while an earlier chunk
  /// is missing.
  [[nodiscard]] bool HasGap() const;

  /// @return whether the end is known and everything before it is here.
  [[nodiscard]] bool IsWhole() const;

private:
  void Append(const wire::Chunk& aChunk);

  std::string text_;
  std::uint32_t tokens_ = 0;
  std::uint64_t received_ = 0;
  std::optional<std::uint64_t> last_;
  std::map<std::uint64_t, wire::Chunk> held_;
};

} // namespace pumiceturn::routing
