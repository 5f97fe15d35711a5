#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// A run that broke off before its first event.
struct SuspectAttempt
{
  std::uint64_t content_ = 0; ///< Hash of what was asked.
  std::string endpoint_;
  bool isRetry_ = false; ///< It began when another such run was known.
  base::Instant brokeAt_;
};

/// Requests whose content seems to crash each endpoint that runs it. Hosts
/// share what they saw, as such a request comes again at any of them, and each
/// try costs an endpoint and all its other runs. Decides only; not thread-safe.
///
/// Endpoints also crash by themselves, several at once, and with them runs of a
/// content that is asked for often. Such crashes don't follow from each other:
/// runs that began without knowledge of another crash count as one. A run
/// counts only where its endpoint did not live on, and nothing counts once the
/// content was answered.
class SuspectTable
{
public:
  /// Crashes one after the other, from which a content is refused.
  static constexpr std::size_t kCrashesToRefuse = 3;

  /// How long a crash is remembered.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 60 } };

  /// Contents that are remembered; far more than crash at a time.
  static constexpr std::size_t kMaxContents = 512;

  /// Tells whether an endpoint lived on after a moment.
  using HasSurvived =
    std::function<bool(const std::string& aEndpoint, base::Instant aMoment)>;

  /// Records a run of this host or of a peer, once.
  void RecordBroken(const SuspectAttempt& aRun);

  /// Records that an endpoint answered a content.
  void RecordAnswered(std::uint64_t aContent, base::Instant aNow);

  /// @return whether a run that begins now is a retry after a crash.
  [[nodiscard]] bool IsKnown(std::uint64_t aContent) const;

  [[nodiscard]] bool IsEmpty() const { return contents_.empty(); }

  /// @return whether the content is to be refused.
  [[nodiscard]] bool IsRefused(std::uint64_t aContent,
                               base::Instant aNow,
                               const HasSurvived& aHasLivedOn);

  /// @return all runs that are remembered, for peers.
  [[nodiscard]] std::vector<SuspectAttempt> Runs(base::Instant aNow) const;

  /// Forgets what is too old.
  void Expire(base::Instant aNow);

private:
  struct Content
  {
    std::vector<SuspectAttempt> runs_;
    base::Instant answeredAt_{};
  };

  std::unordered_map<std::uint64_t, Content> contents_;
};

} // namespace pumiceturn::fleet
