#pragma once

#include <Caller.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::client {

/// Puts the chunks of a streamed answer together, over several attempts at the
/// same request. An attempt through another entry streams from the start, so
/// what was shown before must not be shown again.
class AnswerAssembler
{
public:
  /// Begins a new attempt: chunks count from 1 again.
  void BeginAttempt();

  /// Takes the next chunk.
  /// @param aNew Receives the bytes that were not shown before; valid until the
  /// next call.
  /// @return false when the chunk is out of sequence, and the answer cannot be
  /// trusted.
  [[nodiscard]] bool AddChunk(const caller::CallChunk& aChunk,
                              std::string_view& aNew);

  /// Takes the last message.
  /// @param aNew As above.
  /// @return whether what was shown before is no prefix of the answer, so that
  /// only Text() is right.
  [[nodiscard]] bool Finish(const caller::CallFinished& aFinished,
                            std::string_view& aNew);

  /// @return the answer so far, of this attempt.
  [[nodiscard]] const std::string& Text() const { return text_; }

private:
  std::string_view TakeNew();

  std::string text_;
  std::string shown_;
  std::uint64_t lastSequence_ = 0;
};

} // namespace pumiceturn::client
