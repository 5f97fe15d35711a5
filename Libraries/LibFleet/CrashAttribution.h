#pragma once

#include "LibFleet/CrashEvidence.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Finds the feature that requests at crashed endpoints have in common, such as
/// a part of their prompts, and decides when requests with it are refused.
/// Hosts share what they observe, since such requests arrive at any of them,
/// and each costs an endpoint and all its other attempts.
///
/// An attempt that broke makes each feature of its request a candidate. An
/// answered request clears its features. The others are counted by
///  - rounds: attempts that began before the first of them broke count as one,
///    as endpoints also crash for other reasons, several at once;
///  - cases: endpoints that crashed, but no more than there are different
///    requests, as one that is repeated doesn't tell which of its features is
///    the cause.
/// Crashes that a refused feature explains don't count against others, nor do
/// those of several endpoints at once, unless the feature was at each.
///
/// The outcome doesn't depend on the order in which observations arrive. Times
/// are of this host; peers send ages. Performs no I/O. Not thread-safe.
class CrashAttribution
{
public:
  /// How long a broken attempt counts.
  static constexpr base::Duration kRetention{ std::chrono::seconds{ 60 } };

  /// Maximum number of broken attempts kept, and sent at once.
  static constexpr std::size_t kMaxBroken = 512;
  static constexpr std::size_t kMaxReported = 32;

  /// Maximum number of features refused at the same time.
  static constexpr std::size_t kMaxVerdicts = 64;

  /// Maximum number of answered features kept for each of two generations.
  static constexpr std::size_t kMaxAnswered = 4096;

  /// Maximum number of parts of a prompt that are considered.
  static constexpr std::size_t kMaxParts = 32;

  /// Pause before the first request with a refused feature is let through. It
  /// doubles with each one that crashes its endpoint.
  static constexpr base::Duration kFirstTrialPause{ std::chrono::seconds{
    30 } };
  static constexpr base::Duration kMaxTrialPause{ std::chrono::hours{ 1 } };

  /// The same for batch items, whose due times are seconds away. Short enough
  /// for several trials until an item is due.
  static constexpr base::Duration kFirstBatchTrialPause{ std::chrono::seconds{
    3 } };
  static constexpr base::Duration kMaxBatchTrialPause{ std::chrono::seconds{
    12 } };

  /// Returns whether an endpoint's process was still running after the time
  /// aMoment.
  using HasSurvived =
    std::function<bool(const std::string& aEndpoint, base::Instant aMoment)>;

  enum class Decision : std::uint8_t
  {
    Refused,
    Lifted,
  };
  struct VerdictChange
  {
    Decision decision_ = Decision::Refused;
    std::uint64_t feature_ = 0;
    std::size_t cases_ = 0;
    std::size_t rounds_ = 0;
  };

  explicit CrashAttribution(std::string aOwnHost);

  /// Sets which hosts share the trials, by name, without this one.
  void SetPeers(std::vector<std::string> aPeers) { peers_ = std::move(aPeers); }

  /// Records a broken attempt of this host.
  void RecordBroken(const BrokenAttempt& aAttempt);

  /// Records that an endpoint completed the answer to a request of this host.
  void RecordAnswered(const RequestFeatures& aFeatures, base::Instant aNow);

  /// Adds what a peer observed, and the peer's peers.
  void Merge(const CrashEvidence& aEvidence);

  /// Drops what is outdated or refuted, and decides anew.
  /// @return the changes, for the log.
  std::vector<VerdictChange> Update(base::Instant aNow,
                                    const HasSurvived& aHasSurvived);

  [[nodiscard]] CrashAssessment Assess(const RequestFeatures& aFeatures,
                                       base::Instant aNow) const;

  /// Records that this host lets a request or a batch item with a refused
  /// feature through.
  void BeginTrial(std::uint64_t aFeature, base::Instant aNow);

  /// Stops to refuse a feature, by order of an operator.
  /// @return whether it was refused.
  bool Lift(std::uint64_t aFeature, base::Instant aNow);

  /// @return what to send to the peers.
  [[nodiscard]] CrashEvidence Report(base::Instant aNow) const;

  /// @return whether there is something that hasn't been sent yet; once.
  [[nodiscard]] bool TakeHasNews();

  /// @return whether a request may be refused or suspected.
  [[nodiscard]] bool HasSuspects() const
  {
    return !candidates_.empty() || !verdicts_.empty();
  }

  /// @return the number of features that are refused.
  [[nodiscard]] std::size_t RefusedCount() const;

  /// @return the features that are or were refused, with the latest first.
  [[nodiscard]] std::vector<CrashVerdict> Verdicts() const;

private:
  struct Candidate
  {
    bool isContent_ = false; ///< Of a whole request rather than a part.
    std::vector<std::string> endpoints_; ///< Ids of those that crashed.
    std::size_t cases_ = 0;
    std::size_t rounds_ = 0;
    base::Instant firstAt_{}; ///< When the first of its attempts broke.
  };
  using Candidates = std::unordered_map<std::uint64_t, Candidate>;

  using Attempts = std::vector<const BrokenAttempt*>;

  /// The end of one endpoint's process.
  struct Crash
  {
    base::Instant at_;
    Attempts attempts_; ///< Of its requests.
    std::set<std::uint64_t> features_;
  };

  [[nodiscard]] static std::size_t CountRounds(Attempts aAttempts);
  [[nodiscard]] static Candidate Summarise(std::uint64_t aFeature,
                                           const Attempts& aAll,
                                           const Attempts& aCounted);
  void Add(const BrokenAttempt& aAttempt);
  void AddAnswered(std::uint64_t aFeature, base::Instant aAnsweredAt);
  void MergeVerdict(const CrashVerdict& aVerdict);
  [[nodiscard]] base::Instant AnsweredAt(std::uint64_t aFeature) const;
  [[nodiscard]] const CrashVerdict* FindRefused(std::uint64_t aFeature) const;
  [[nodiscard]] bool HasRefusedFeature(const BrokenAttempt& aAttempt) const;
  /// @return the endpoints whose crash a refused feature explains.
  [[nodiscard]] std::set<std::string> ExplainedEndpoints() const;
  [[nodiscard]] std::vector<Crash> UnexplainedCrashes() const;
  /// @return whether another endpoint without the feature crashed at the same
  ///         time.
  [[nodiscard]] static bool HasOtherCause(std::uint64_t aFeature,
                                          const Crash& aCrash,
                                          const std::vector<Crash>& aCrashes);
  void CountCandidates();
  [[nodiscard]] bool HasLearned(base::Instant aNow) const;
  [[nodiscard]] bool MustRefuse(std::uint64_t aFeature,
                                const Candidate& aCandidate,
                                base::Instant aNow) const;
  [[nodiscard]] Candidates::const_iterator FindToRefuse(
    base::Instant aNow) const;
  void Refuse(Candidates::const_iterator aCandidate, base::Instant aNow);
  void DropOutdated(base::Instant aNow, const HasSurvived& aHasSurvived);
  /// @return when the next request with a refused feature is let through.
  [[nodiscard]] static base::Instant TrialAt(const CrashVerdict& aVerdict);
  /// @return when the next batch item with a refused feature is let through.
  [[nodiscard]] static base::Instant BatchTrialAt(const CrashVerdict& aVerdict);
  [[nodiscard]] bool OwnsTrial(const CrashVerdict& aVerdict,
                               base::Instant aNow) const;

  std::string ownHost_;
  std::vector<std::string> peers_;
  std::vector<BrokenAttempt> broken_; ///< In the order of their arrival.
  Candidates candidates_;
  std::unordered_map<std::uint64_t, CrashVerdict> verdicts_;
  /// The current and the previous generation, so that features that are in use
  /// stay.
  std::unordered_map<std::uint64_t, base::Instant> answered_;
  std::unordered_map<std::uint64_t, base::Instant> formerlyAnswered_;
  /// Latest answers of this host to any request, in their order.
  std::vector<base::Instant> recentAnswers_;
  std::optional<base::Instant> startedAt_; ///< First call of Update().
  std::vector<VerdictChange> changes_;     ///< Not returned by Update() yet.
  bool hasNews_ = false;
};

} // namespace pumiceturn::fleet
