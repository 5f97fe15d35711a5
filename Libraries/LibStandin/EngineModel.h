#pragma once

#include "LibBase/Time.h"
#include "LibStandin/PrefixCache.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::standin {

/// How long a step takes, and how much fits. Times in milliseconds.
struct EngineModelOptions
{
  std::size_t maxRunning_ = 8; ///< Streams in one batch.
  std::size_t maxWaiting_ = 4096;
  double stepMs_ = 8.0;             ///< A step with nothing running.
  double stepPerRunningMs_ = 0.5;   ///< More for each running stream.
  double prefillPerTokenMs_ = 0.05; ///< More for each uncached prompt token.
  std::size_t cacheBlocks_ = 4096;  ///< Memory of the prefix cache.
  std::string crashMarker_ = "CRASH-ENGINE"; ///< A prompt that holds it crashes
                                             ///< the engine; empty: none does.
};

/// One token, or the end of a stream.
struct Emission
{
  std::string id_;
  std::string text_;         ///< Empty at the end of an answer that is complete
                             ///< already when resumed.
  std::string finishReason_; ///< Empty: goes on.
  std::uint32_t cachedTokens_ = 0; ///< Prompt tokens found in the cache.
};

/// Continuous batching as the engines do it: a bounded running set, admission
/// strictly in order of arrival with no priorities, one token a step for each
/// running stream, and a step that takes longer with more running streams and
/// with the prefill of those just admitted. Takes no time itself and is not
/// thread-safe.
class EngineModel
{
public:
  static constexpr std::size_t kBytesPerToken = 4;

  explicit EngineModel(EngineModelOptions aOptions)
    : options_(std::move(aOptions))
    , cache_(options_.cacheBlocks_)
  {
  }

  struct Submission
  {
    std::string id_;
    std::string prompt_;
    std::uint32_t maxTokens_ = 0;
    std::uint32_t resumeFrom_ = 0; ///< Tokens that the client has already.
  };

  /// @return false if too many wait.
  bool Submit(Submission aSubmission);

  /// @return false if no such stream waits or runs.
  bool Cancel(std::string_view aId);

  /// Admits waiting streams and begins a step.
  /// @return how long the step takes; zero if there is nothing to do.
  base::Duration BeginStep();

  /// Ends the step. Finished streams leave.
  std::vector<Emission> EndStep();

  /// @return whether a stream that is running crashes the engine.
  [[nodiscard]] bool MustCrash() const;

  /// Loses all streams and the cache.
  void Restart();

  [[nodiscard]] std::size_t Running() const { return running_.size(); }
  [[nodiscard]] std::size_t Waiting() const { return waiting_.size(); }

  std::vector<PrefixChange> TakeCacheChanges() { return cache_.TakeChanges(); }

private:
  struct Stream
  {
    Submission submission_;
    std::vector<std::string> answer_;
    std::size_t position_ = 0; ///< Tokens that the client has.
    std::uint32_t cachedTokens_ = 0;
    bool stepped_ = false; ///< Was part of the step that is under way.
  };

  /// @return prompt and the answer so far: what the cache can hold of it.
  static std::string TextOf(const Stream& aStream);

  /// @return tokens to prefill.
  std::size_t Admit();

  EngineModelOptions options_;
  PrefixCache cache_;
  std::deque<Submission> waiting_;
  std::vector<Stream> running_;
};

} // namespace pumiceturn::standin
