#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// An attempt that broke before its first event.
struct SuspectAttempt
{
  std::uint64_t content_ = 0; ///< Hash of the request's content.
  std::string endpoint_;
  /// The attempt's host knew of another broken attempt for this content when it
  /// began.
  bool isRetry_ = false;
  base::Instant brokeAt_;
};

/// Detects requests whose content appears to crash every endpoint that runs it.
/// Hosts share what they observe, since such a request may be retried at any of
/// them, and each retry costs an endpoint and all its other attempts.
///
/// Endpoints also crash for other reasons, several at once, and break attempts
/// of frequent requests with the same content. Therefore attempts that began
/// without knowledge of another crash count as one. An attempt counts only if
/// its endpoint did not survive, and not if a request with this content has
/// been answered since. Not thread-safe.
class SuspectTable
{
public:
  /// Number of successive crashes after which requests with the same content
  /// are refused.
  static constexpr std::size_t kCrashesToRefuse = 3;

  /// How long a broken attempt is kept.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 60 } };

  /// Maximum number of different request contents kept; far more than crash
  /// endpoints at the same time.
  static constexpr std::size_t kMaxContents = 512;

  /// Returns whether an endpoint's process was still running after the time
  /// aMoment.
  using HasSurvived =
    std::function<bool(const std::string& aEndpoint, base::Instant aMoment)>;

  /// Records a broken attempt of this host or of a peer. Only the first one for
  /// each endpoint and content is kept.
  void RecordBroken(const SuspectAttempt& aAttempt);

  /// Records that an endpoint answered a request with this content.
  void RecordAnswered(std::uint64_t aContent, base::Instant aNow);

  /// @return whether broken attempts for this content are known, so that an
  ///         attempt that begins now is a retry.
  [[nodiscard]] bool IsSuspect(std::uint64_t aContent) const;

  [[nodiscard]] bool IsEmpty() const { return contents_.empty(); }

  /// @return whether requests with this content must be refused.
  [[nodiscard]] bool IsRefused(std::uint64_t aContent,
                               base::Instant aNow,
                               const HasSurvived& aHasSurvived);

  /// @return all broken attempts within kRetention, to send to the peers.
  [[nodiscard]] std::vector<SuspectAttempt> BrokenAttempts(
    base::Instant aNow) const;

  /// Drops attempts and contents older than kRetention.
  void Expire(base::Instant aNow);

private:
  struct Content
  {
    std::vector<SuspectAttempt> attempts_;
    base::Instant answeredAt_{};
  };

  std::unordered_map<std::uint64_t, Content> contents_;
};

} // namespace pumiceturn::fleet
