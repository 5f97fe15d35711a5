#include "LibFleet/CrashAttribution.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Rounds after which the same request is refused.
constexpr std::size_t kRoundsForContent = 3;

/// A part of prompts is refused after two rounds and two cases at least, and
/// six of both together: the crashes of endpoints that fail for other reasons
/// hit the requests with one part neither in turn nor all of them.
constexpr std::size_t kMinRounds = 2;
constexpr std::size_t kMinCases = 2;
constexpr std::size_t kMinRoundsAndCases = 6;

/// Endpoints that crash within this time of each other may have one cause.
constexpr base::Duration kCoincidence{ std::chrono::milliseconds{ 30 } };

/// A part that was answered before, and that other requests in flight may be
/// about to clear, is refused only if for this long none with it was answered
/// while this many others were.
constexpr std::size_t kMinOfAnswered = 3;
constexpr base::Duration kMinTimeOfAnswered{ std::chrono::seconds{ 1 } };
constexpr std::size_t kMinOtherAnswers = 8;

/// Time after its start within which a host that has hardly seen an answer
/// doesn't know yet which parts are sound. It takes over what others decide.
constexpr base::Duration kLearningTime{ std::chrono::seconds{ 2 } };

/// Attempts older than this aren't sent to peers any more. Until then each is
/// in several messages, as some get lost.
constexpr base::Duration kMaxReportAge{ std::chrono::seconds{ 3 } };

/// Peers take an answer as this much older than it is: a time that is passed on
/// must not become later with each host that it passes.
constexpr base::Duration kAnswerMargin{ std::chrono::milliseconds{ 50 } };

/// Time for which one host may begin a trial before it is the next one's turn.
constexpr base::Duration kTrialTurn{ std::chrono::seconds{ 10 } };

/// A refused feature is forgotten if its trial is overdue for this long, as
/// requests with it have ceased.
constexpr base::Duration kMaxTrialDelay{ std::chrono::hours{ 1 } };

/// @return an endpoint's process, as a key.
std::string
KeyOf(const EndpointIncarnation& aEndpoint)
{
  return aEndpoint.id_ + "/" + std::to_string(aEndpoint.startedAtMs_);
}

/// @return whether a feature of an attempt's request may be why it broke.
bool
MayBeCause(std::uint64_t aFeature, const BrokenAttempt& aAttempt)
{
  const RequestFeatures& features = aAttempt.features_;
  const bool isContent =
    features.content_ == aFeature && !aAttempt.isBatchItem_;
  return isContent ||
         std::find(features.parts_.begin(), features.parts_.end(), aFeature) !=
           features.parts_.end();
}

base::Duration
TrialPause(std::uint32_t aTrials, base::Duration aFirst, base::Duration aMax)
{
  constexpr std::uint32_t kMaxDoublings = 16;
  return std::min(aFirst * (1U << std::min(aTrials, kMaxDoublings)), aMax);
}

template<typename Visit>
void
ForEachFeature(const RequestFeatures& aFeatures, Visit&& aVisit)
{
  for (const std::uint64_t part : aFeatures.parts_) {
    aVisit(part);
  }
  aVisit(aFeatures.content_);
}

} // namespace

CrashAttribution::CrashAttribution(std::string aOwnHost)
  : ownHost_(std::move(aOwnHost))
{
}

void
CrashAttribution::RecordBroken(const BrokenAttempt& aAttempt)
{
  Add(aAttempt);
  hasNews_ = true;
}

void
CrashAttribution::Add(const BrokenAttempt& aAttempt)
{
  const auto known =
    std::find_if(broken_.begin(), broken_.end(), [&](const auto& aOther) {
      return aOther.endpoint_ == aAttempt.endpoint_ &&
             aOther.features_ == aAttempt.features_;
    });
  if (known != broken_.end()) {
    // What comes back from a peer took some time on its way.
    known->sentAt_ = std::min(known->sentAt_, aAttempt.sentAt_);
    known->brokeAt_ = std::min(known->brokeAt_, aAttempt.brokeAt_);
    return;
  }
  if (broken_.size() >= kMaxBroken) {
    broken_.erase(broken_.begin());
  }
  broken_.push_back(aAttempt);
}

void
CrashAttribution::RecordAnswered(const RequestFeatures& aFeatures,
                                 base::Instant aNow)
{
  if (recentAnswers_.size() >= kMinOtherAnswers) {
    recentAnswers_.erase(recentAnswers_.begin());
  }
  recentAnswers_.push_back(aNow);
  // Most requests are never repeated.
  const bool isWatched = candidates_.contains(aFeatures.content_) ||
                         verdicts_.contains(aFeatures.content_);
  if (isWatched) {
    AddAnswered(aFeatures.content_, aNow);
  }
  for (const std::uint64_t part : aFeatures.parts_) {
    AddAnswered(part, aNow);
  }
}

void
CrashAttribution::AddAnswered(std::uint64_t aFeature, base::Instant aAnsweredAt)
{
  const base::Instant latest = std::max(AnsweredAt(aFeature), aAnsweredAt);
  if (answered_.size() >= kMaxAnswered && !answered_.contains(aFeature)) {
    formerlyAnswered_ = std::exchange(answered_, {});
  }
  answered_[aFeature] = latest;
  const auto candidate = candidates_.find(aFeature);
  if (candidate != candidates_.end() &&
      candidate->second.firstAt_ < aAnsweredAt) {
    candidates_.erase(candidate);
  }
  const auto verdict = verdicts_.find(aFeature);
  if (verdict != verdicts_.end() && !verdict->second.isLifted_ &&
      verdict->second.decidedAt_ < aAnsweredAt) {
    Lift(aFeature, aAnsweredAt);
  }
}

base::Instant
CrashAttribution::AnsweredAt(std::uint64_t aFeature) const
{
  for (const auto* answered : { &answered_, &formerlyAnswered_ }) {
    if (const auto found = answered->find(aFeature); found != answered->end()) {
      return found->second;
    }
  }
  return base::Instant::min();
}

void
CrashAttribution::Merge(const CrashEvidence& aEvidence)
{
  for (const AnsweredFeature& answered : aEvidence.answered_) {
    AddAnswered(answered.feature_, answered.answeredAt_);
  }
  for (const BrokenAttempt& attempt : aEvidence.broken_) {
    Add(attempt);
  }
  for (const CrashVerdict& verdict : aEvidence.verdicts_) {
    MergeVerdict(verdict);
  }
}

void
CrashAttribution::MergeVerdict(const CrashVerdict& aVerdict)
{
  const auto found = verdicts_.find(aVerdict.feature_);
  if (found == verdicts_.end()) {
    // A feature that was answered after the decision isn't refused any more.
    const bool isRefuted =
      AnsweredAt(aVerdict.feature_) > aVerdict.decidedAt_ + kAnswerMargin;
    if (!isRefuted && verdicts_.size() < kMaxVerdicts) {
      verdicts_.emplace(aVerdict.feature_, aVerdict);
      hasNews_ = true;
    }
    return;
  }
  CrashVerdict& own = found->second;
  if (aVerdict.isLifted_) {
    if (!own.isLifted_ && aVerdict.liftedAt_ > own.decidedAt_) {
      Lift(aVerdict.feature_, aVerdict.liftedAt_);
    }
    return;
  }
  const bool isNewer = own.isLifted_
                         ? aVerdict.decidedAt_ > own.liftedAt_ + kAnswerMargin
                         : aVerdict.trials_ > own.trials_;
  if (isNewer) {
    own = aVerdict;
    hasNews_ = true;
  }
}

const CrashVerdict*
CrashAttribution::FindRefused(std::uint64_t aFeature) const
{
  const auto found = verdicts_.find(aFeature);
  const bool isRefused = found != verdicts_.end() && !found->second.isLifted_;
  return isRefused ? &found->second : nullptr;
}

bool
CrashAttribution::HasRefusedFeature(const BrokenAttempt& aAttempt) const
{
  bool isRefused = false;
  ForEachFeature(aAttempt.features_, [&](std::uint64_t aFeature) {
    isRefused = isRefused || FindRefused(aFeature) != nullptr;
  });
  return isRefused;
}

std::set<std::string>
CrashAttribution::ExplainedEndpoints() const
{
  std::set<std::string> explained;
  for (const BrokenAttempt& attempt : broken_) {
    if (HasRefusedFeature(attempt)) {
      explained.insert(KeyOf(attempt.endpoint_));
    }
  }
  return explained;
}

std::size_t
CrashAttribution::CountRounds(Attempts aAttempts)
{
  std::size_t rounds = 0;
  while (!aAttempts.empty()) {
    ++rounds;
    const base::Instant first =
      (*std::min_element(aAttempts.begin(),
                         aAttempts.end(),
                         [](const auto* aLeft, const auto* aRight) {
                           return aLeft->brokeAt_ < aRight->brokeAt_;
                         }))
        ->brokeAt_;
    std::erase_if(aAttempts, [first](const auto* aAttempt) {
      return aAttempt->sentAt_ <= first;
    });
  }
  return rounds;
}

CrashAttribution::Candidate
CrashAttribution::Summarise(std::uint64_t aFeature,
                            const Attempts& aAll,
                            const Attempts& aCounted)
{
  Candidate candidate;
  candidate.firstAt_ = aAll.front()->brokeAt_;
  std::set<std::string> known;
  for (const BrokenAttempt* attempt : aAll) {
    if (known.insert(KeyOf(attempt->endpoint_)).second) {
      candidate.endpoints_.push_back(attempt->endpoint_.id_);
    }
    candidate.isContent_ =
      candidate.isContent_ || attempt->features_.content_ == aFeature;
    candidate.firstAt_ = std::min(candidate.firstAt_, attempt->brokeAt_);
  }
  std::set<std::string> endpoints;
  std::set<std::uint64_t> contents;
  for (const BrokenAttempt* attempt : aCounted) {
    endpoints.insert(KeyOf(attempt->endpoint_));
    contents.insert(attempt->features_.content_);
  }
  candidate.cases_ = std::min(endpoints.size(), contents.size());
  candidate.rounds_ = CountRounds(aCounted);
  return candidate;
}

std::vector<CrashAttribution::Crash>
CrashAttribution::UnexplainedCrashes() const
{
  const std::set<std::string> explained = ExplainedEndpoints();
  std::map<std::string, Crash> byEndpoint;
  for (const BrokenAttempt& attempt : broken_) {
    std::string key = KeyOf(attempt.endpoint_);
    if (explained.contains(key)) {
      continue;
    }
    Crash& crash =
      byEndpoint.try_emplace(std::move(key), Crash{ attempt.brokeAt_, {}, {} })
        .first->second;
    crash.at_ = std::min(crash.at_, attempt.brokeAt_);
    crash.attempts_.push_back(&attempt);
    ForEachFeature(attempt.features_, [&](std::uint64_t aFeature) {
      crash.features_.insert(aFeature);
    });
  }
  std::vector<Crash> crashes;
  crashes.reserve(byEndpoint.size());
  for (auto& [key, crash] : byEndpoint) {
    crashes.push_back(std::move(crash));
  }
  return crashes;
}

bool
CrashAttribution::HasOtherCause(std::uint64_t aFeature,
                                const Crash& aCrash,
                                const std::vector<Crash>& aCrashes)
{
  return std::any_of(
    aCrashes.begin(), aCrashes.end(), [&](const Crash& aOther) {
      const base::Duration apart = aOther.at_ > aCrash.at_
                                     ? aOther.at_ - aCrash.at_
                                     : aCrash.at_ - aOther.at_;
      return apart <= kCoincidence && !aOther.features_.contains(aFeature);
    });
}

void
CrashAttribution::CountCandidates()
{
  const std::vector<Crash> crashes = UnexplainedCrashes();
  std::unordered_map<std::uint64_t, Attempts> all;
  std::unordered_map<std::uint64_t, Attempts> counted;
  for (const Crash& crash : crashes) {
    for (const std::uint64_t feature : crash.features_) {
      const bool isCounted = !HasOtherCause(feature, crash, crashes);
      for (const BrokenAttempt* attempt : crash.attempts_) {
        if (!MayBeCause(feature, *attempt) ||
            attempt->brokeAt_ < AnsweredAt(feature)) {
          continue;
        }
        all[feature].push_back(attempt);
        if (isCounted) {
          counted[feature].push_back(attempt);
        }
      }
    }
  }
  candidates_.clear();
  for (const auto& [feature, attempts] : all) {
    candidates_.emplace(feature,
                        Summarise(feature, attempts, counted[feature]));
  }
}

bool
CrashAttribution::MustRefuse(std::uint64_t aFeature,
                             const Candidate& aCandidate,
                             base::Instant aNow) const
{
  if (aCandidate.isContent_) {
    return aCandidate.rounds_ >= kRoundsForContent;
  }
  if (AnsweredAt(aFeature) == base::Instant::min() && HasLearned(aNow)) {
    return aCandidate.rounds_ >= kMinRounds && aCandidate.cases_ >= kMinCases &&
           aCandidate.rounds_ + aCandidate.cases_ >= kMinRoundsAndCases;
  }
  const auto others = static_cast<std::size_t>(std::count_if(
    recentAnswers_.begin(), recentAnswers_.end(), [&](base::Instant aAnswer) {
      return aAnswer > aCandidate.firstAt_;
    }));
  return aCandidate.rounds_ >= kMinOfAnswered &&
         aCandidate.cases_ >= kMinOfAnswered &&
         aNow - aCandidate.firstAt_ >= kMinTimeOfAnswered &&
         others >= kMinOtherAnswers;
}

bool
CrashAttribution::HasLearned(base::Instant aNow) const
{
  return recentAnswers_.size() >= kMinOtherAnswers ||
         (startedAt_ && aNow - *startedAt_ >= kLearningTime);
}

CrashAttribution::Candidates::const_iterator
CrashAttribution::FindToRefuse(base::Instant aNow) const
{
  auto best = candidates_.end();
  for (auto entry = candidates_.begin(); entry != candidates_.end(); ++entry) {
    if (!MustRefuse(entry->first, entry->second, aNow)) {
      continue;
    }
    const auto strength = [](const auto& aEntry) {
      return std::pair(aEntry->second.rounds_ + aEntry->second.cases_,
                       aEntry->first);
    };
    if (best == candidates_.end() || strength(entry) > strength(best)) {
      best = entry;
    }
  }
  return best;
}

void
CrashAttribution::Refuse(Candidates::const_iterator aCandidate,
                         base::Instant aNow)
{
  const auto& [feature, candidate] = *aCandidate;
  CrashVerdict verdict{ feature, aNow };
  verdict.endpoints_ = static_cast<std::uint32_t>(candidate.endpoints_.size());
  verdicts_[feature] = verdict;
  changes_.push_back(
    { Decision::Refused, feature, candidate.cases_, candidate.rounds_ });
  hasNews_ = true;
}

void
CrashAttribution::DropOutdated(base::Instant aNow,
                               const HasSurvived& aHasSurvived)
{
  std::erase_if(broken_, [&](const BrokenAttempt& aAttempt) {
    return aNow - aAttempt.brokeAt_ > kRetention ||
           aHasSurvived(aAttempt.endpoint_.id_, aAttempt.brokeAt_);
  });
  std::erase_if(verdicts_, [aNow](const auto& aEntry) {
    const CrashVerdict& verdict = aEntry.second;
    return verdict.isLifted_ ? aNow - verdict.liftedAt_ > kRetention
                             : aNow - TrialAt(verdict) > kMaxTrialDelay;
  });
}

std::vector<CrashAttribution::VerdictChange>
CrashAttribution::Update(base::Instant aNow, const HasSurvived& aHasSurvived)
{
  startedAt_ = startedAt_.value_or(aNow);
  if (broken_.empty() && verdicts_.empty()) {
    return std::exchange(changes_, {});
  }
  DropOutdated(aNow, aHasSurvived);
  CountCandidates();
  for (auto found = FindToRefuse(aNow);
       found != candidates_.end() && verdicts_.size() < kMaxVerdicts;
       found = FindToRefuse(aNow)) {
    Refuse(found, aNow);
    CountCandidates();
  }
  return std::exchange(changes_, {});
}

base::Instant
CrashAttribution::TrialAt(const CrashVerdict& aVerdict)
{
  return aVerdict.decidedAt_ +
         TrialPause(aVerdict.trials_, kFirstTrialPause, kMaxTrialPause);
}

base::Instant
CrashAttribution::BatchTrialAt(const CrashVerdict& aVerdict)
{
  return aVerdict.decidedAt_ + TrialPause(aVerdict.trials_,
                                          kFirstBatchTrialPause,
                                          kMaxBatchTrialPause);
}

bool
CrashAttribution::OwnsTrial(const CrashVerdict& aVerdict,
                            base::Instant aNow) const
{
  const base::Duration overdue = aNow - TrialAt(aVerdict);
  const std::string turn = std::to_string(aVerdict.trials_) + "/" +
                           std::to_string(overdue / kTrialTurn);
  const std::uint64_t seed = base::HashBytes(turn, aVerdict.feature_);
  const std::uint64_t own = base::HashBytes(ownHost_, seed);
  return std::none_of(
    peers_.begin(), peers_.end(), [own, seed](const std::string& aPeer) {
      return base::HashBytes(aPeer, seed) > own;
    });
}

CrashAssessment
CrashAttribution::Assess(const RequestFeatures& aFeatures,
                         base::Instant aNow) const
{
  if (!HasSuspects()) {
    return NotSuspected{};
  }
  const CrashVerdict* refused = nullptr;
  const std::pair<const std::uint64_t, Candidate>* suspect = nullptr;
  ForEachFeature(aFeatures, [&](std::uint64_t aFeature) {
    const CrashVerdict* verdict = FindRefused(aFeature);
    if (verdict != nullptr &&
        (refused == nullptr || TrialAt(*verdict) > TrialAt(*refused))) {
      refused = verdict;
    }
    const auto found = candidates_.find(aFeature);
    // A part that was answered before is more likely to be beside the cause.
    if (found == candidates_.end() ||
        (!found->second.isContent_ &&
         AnsweredAt(aFeature) != base::Instant::min())) {
      return;
    }
    if (suspect == nullptr ||
        found->second.endpoints_.size() > suspect->second.endpoints_.size()) {
      suspect = &*found;
    }
  });
  if (refused != nullptr) {
    const base::Instant trialAt = TrialAt(*refused);
    const bool isDue = aNow >= trialAt;
    return CrashesEndpoints{ refused->feature_,
                             isDue ? kTrialTurn : trialAt - aNow,
                             isDue && OwnsTrial(*refused, aNow),
                             aNow >= BatchTrialAt(*refused) };
  }
  if (suspect != nullptr) {
    return Suspected{ suspect->first, suspect->second.endpoints_ };
  }
  return NotSuspected{};
}

void
CrashAttribution::BeginTrial(std::uint64_t aFeature, base::Instant aNow)
{
  const auto found = verdicts_.find(aFeature);
  if (found != verdicts_.end()) {
    ++found->second.trials_;
    found->second.decidedAt_ = aNow;
    hasNews_ = true;
  }
}

bool
CrashAttribution::Lift(std::uint64_t aFeature, base::Instant aNow)
{
  const auto found = verdicts_.find(aFeature);
  if (found == verdicts_.end() || found->second.isLifted_) {
    return false;
  }
  found->second.isLifted_ = true;
  found->second.liftedAt_ = aNow;
  changes_.push_back({ Decision::Lifted, aFeature });
  // The crashes before don't count any more.
  AddAnswered(aFeature, aNow);
  hasNews_ = true;
  return true;
}

CrashEvidence
CrashAttribution::Report(base::Instant aNow) const
{
  CrashEvidence evidence;
  const std::set<std::string> explained = ExplainedEndpoints();
  std::set<std::uint64_t> features;
  for (auto attempt = broken_.rbegin();
       attempt != broken_.rend() && evidence.broken_.size() < kMaxReported;
       ++attempt) {
    if (aNow - attempt->brokeAt_ <= kMaxReportAge &&
        !explained.contains(KeyOf(attempt->endpoint_))) {
      evidence.broken_.push_back(*attempt);
      ForEachFeature(attempt->features_, [&](std::uint64_t aFeature) {
        features.insert(aFeature);
      });
    }
  }
  for (const std::uint64_t feature : features) {
    const base::Instant answeredAt = AnsweredAt(feature);
    if (answeredAt != base::Instant::min()) {
      evidence.answered_.push_back({ feature, answeredAt - kAnswerMargin });
    }
  }
  evidence.verdicts_ = Verdicts();
  return evidence;
}

bool
CrashAttribution::TakeHasNews()
{
  return std::exchange(hasNews_, false);
}

std::size_t
CrashAttribution::RefusedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(verdicts_.begin(), verdicts_.end(), [](const auto& aEntry) {
      return !aEntry.second.isLifted_;
    }));
}

std::vector<CrashVerdict>
CrashAttribution::Verdicts() const
{
  std::vector<CrashVerdict> verdicts;
  for (const auto& [feature, verdict] : verdicts_) {
    verdicts.push_back(verdict);
  }
  std::sort(verdicts.begin(),
            verdicts.end(),
            [](const CrashVerdict& aLeft, const CrashVerdict& aRight) {
              return aLeft.decidedAt_ > aRight.decidedAt_;
            });
  return verdicts;
}

} // namespace pumiceturn::fleet
