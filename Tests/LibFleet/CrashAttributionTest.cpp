#include "LibFleet/CrashAttribution.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace pumiceturn::fleet {

class CrashAttributionFixture
{
protected:
  /// Starts with a host that has been running for a while, and that has seen
  /// the shared part answered.
  CrashAttributionFixture()
  {
    Update(kStartMs);
    crashes_.RecordAnswered(MakeRequest({ kShared }), At(kStartMs));
  }

  static constexpr int kStartMs = -10'000;
  static constexpr std::uint64_t kShared = 1; ///< Of nearly all requests.
  static constexpr std::uint64_t kBad = 2;
  static constexpr std::uint64_t kRare = 3;

  static base::Instant At(int aMilliseconds)
  {
    return base::Instant{ std::chrono::hours{ 1 } } +
           std::chrono::milliseconds(aMilliseconds);
  }

  /// @return a request's features; its content is like no other's.
  RequestFeatures MakeRequest(std::vector<std::uint64_t> aParts)
  {
    return { ++lastContent_, std::move(aParts) };
  }

  static BrokenAttempt MakeBroken(const std::string& aEndpoint,
                                  const RequestFeatures& aRequest,
                                  int aSentAtMs,
                                  int aBrokeAtMs)
  {
    return { { aEndpoint, 1 }, aRequest, At(aSentAtMs), At(aBrokeAtMs) };
  }

  void Break(const std::string& aEndpoint,
             const RequestFeatures& aRequest,
             int aSentAtMs,
             int aBrokeAtMs)
  {
    crashes_.RecordBroken(
      MakeBroken(aEndpoint, aRequest, aSentAtMs, aBrokeAtMs));
    Update(aBrokeAtMs);
  }

  std::vector<CrashAttribution::VerdictChange> Update(int aNowMs)
  {
    return crashes_.Update(At(aNowMs),
                           [this](const std::string& aEndpoint, base::Instant) {
                             return alive_.contains(aEndpoint);
                           });
  }

  /// Lets three endpoints crash in turn under different requests with a part.
  void CrashInTurn(std::uint64_t aPart, int aFromMs)
  {
    for (int turn = 0; turn < 3; ++turn) {
      Break("crashed-" + std::to_string(turn),
            MakeRequest({ kShared, aPart }),
            aFromMs + turn * 200,
            aFromMs + turn * 200 + 100);
    }
  }

  [[nodiscard]] bool IsRefused(const RequestFeatures& aRequest,
                               int aNowMs) const
  {
    return std::holds_alternative<CrashesEndpoints>(
      crashes_.Assess(aRequest, At(aNowMs)));
  }
  [[nodiscard]] bool IsSuspected(const RequestFeatures& aRequest,
                                 int aNowMs) const
  {
    return std::holds_alternative<Suspected>(
      crashes_.Assess(aRequest, At(aNowMs)));
  }
  [[nodiscard]] bool IsPartRefused(std::uint64_t aPart, int aNowMs) const
  {
    return IsRefused({ kOtherContent, { aPart } }, aNowMs);
  }

  static constexpr std::uint64_t kOtherContent = 1'000'000;
  static constexpr int kLongAfterMs = 29'000;

  CrashAttribution crashes_{ "host" };
  std::set<std::string> alive_;
  std::uint64_t lastContent_ = 1000;
};

// Guards against a request that crashes each endpoint of a service in
// succession.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_SameRequestCrashesInTurn_IsRefused")
{
  const RequestFeatures request = MakeRequest({});
  Break("a", request, 0, 10);
  Break("b", request, 20, 30);
  CHECK_FALSE(IsRefused(request, 40));
  CHECK(IsSuspected(request, 40));
  Break("c", request, 40, 50);
  CHECK(IsRefused(request, 60));
  CHECK_FALSE(IsRefused(MakeRequest({}), 60));
}

// Guards against refusing frequent requests with the same content because
// several endpoints crashed at once for other reasons.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_SimultaneousCrashes_CountOnce")
{
  const RequestFeatures request = MakeRequest({});
  for (const char* endpoint : { "a", "b", "c" }) {
    Break(endpoint, request, 0, 50);
  }
  CHECK_FALSE(IsRefused(request, 60));
  Break("d", request, 60, 70);
  CHECK_FALSE(IsRefused(request, 80));
  Break("e", request, 80, 90);
  CHECK(IsRefused(request, 100));
}

TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_EndpointSurvived_IsNoCrash")
{
  alive_.insert("crashed-1");
  CrashInTurn(kBad, 0);
  CHECK_FALSE(IsPartRefused(kBad, 700));
}

TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_SameEndpointRepeated_CountsOnce")
{
  const RequestFeatures request = MakeRequest({});
  Break("a", request, 0, 10);
  Break("a", request, 20, 30);
  Break("a", request, 40, 50);
  CHECK_FALSE(IsRefused(request, 60));
  CHECK(crashes_.Report(At(60)).broken_.size() == 1);
}

TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_AfterRetention_AttemptsAreDropped")
{
  Break("a", MakeRequest({ kBad }), 0, 10);
  Update(61'000);
  CHECK_FALSE(crashes_.HasSuspects());
  Break("b", MakeRequest({ kBad }), 61'000, 61'100);
  CHECK_FALSE(IsPartRefused(kBad, 61'200));
}

// Guards against memory that grows with each request that a caller makes up.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_ManyRequests_StaysBounded")
{
  CrashInTurn(kBad, 0);
  for (std::uint64_t part = 10; part < 10 + 3 * CrashAttribution::kMaxBroken;
       ++part) {
    crashes_.RecordBroken(MakeBroken("a", MakeRequest({ part }), 600, 700));
  }
  Update(700);
  const CrashEvidence report = crashes_.Report(At(701));
  CHECK(report.broken_.size() <= CrashAttribution::kMaxReported);
  CHECK(IsPartRefused(kBad, 701));
}

// Guards against requests that have one part in common, and nothing else, and
// crash endpoints one after the other.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_PartCrashesInTurn_OnlyThePartIsRefused")
{
  CrashInTurn(kBad, 10);
  CHECK(IsPartRefused(kBad, 600));
  CHECK_FALSE(IsPartRefused(kShared, 600));
  CHECK(std::holds_alternative<NotSuspected>(
    crashes_.Assess(MakeRequest({ kShared }), At(600))));
}

// Guards against endpoints lost until a third one has crashed, when requests
// arrive faster than they crash.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_SecondRoundWithFourCases_IsRefused")
{
  Break("a", MakeRequest({ kBad }), 0, 100);
  Break("b", MakeRequest({ kBad }), 50, 150);
  Break("c", MakeRequest({ kBad }), 90, 190);
  CHECK_FALSE(IsPartRefused(kBad, 190));
  CHECK(IsSuspected({ kOtherContent, { kBad } }, 190));
  Break("d", MakeRequest({ kBad }), 110, 230);
  CHECK(IsPartRefused(kBad, 230));
}

// Guards against a part that is refused as several endpoints crash at once for
// another reason.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_OthersCrashAtTheSameTime_DoesNotCount")
{
  for (int turn = 0; turn < 4; ++turn) {
    const int sentAt = turn * 200;
    Break("with-" + std::to_string(turn),
          MakeRequest({ kRare }),
          sentAt,
          sentAt + 100);
    Break("without-" + std::to_string(turn),
          MakeRequest({ kShared }),
          sentAt,
          sentAt + 110);
  }
  CHECK_FALSE(IsPartRefused(kRare, 1000));
}

// Guards against a part that is refused as one request with it is repeated.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_RequestRepeated_PartIsNotRefused")
{
  const RequestFeatures request = MakeRequest({ kRare });
  Break("a", request, 0, 100);
  Break("b", request, 110, 200);
  Break("c", request, 210, 300);
  CHECK(IsRefused(request, 310));
  CHECK_FALSE(IsPartRefused(kRare, 310));
}

// Guards against refusing sound requests that were at endpoints beside the
// cause of their crashes.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_BesideTheCause_IsNotRefused")
{
  for (int turn = 0; turn < 4; ++turn) {
    const std::string endpoint = "crashed-" + std::to_string(turn);
    const int sentAt = turn * 200;
    Break(endpoint, MakeRequest({ kShared, kBad }), sentAt, sentAt + 100);
    Break(endpoint, MakeRequest({ kShared, kRare }), sentAt, sentAt + 100);
    if (turn == 0) {
      crashes_.RecordAnswered(MakeRequest({ kShared }), At(sentAt + 110));
      crashes_.RecordAnswered(MakeRequest({ kRare }), At(sentAt + 120));
    }
  }
  CHECK(IsPartRefused(kBad, 1000));
  CHECK_FALSE(IsPartRefused(kShared, 1000));
  CHECK_FALSE(IsPartRefused(kRare, 1000));
}

// Guards against the crashes of one part that also count against another.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_CrashIsExplained_OthersAreNotSuspected")
{
  CrashInTurn(kBad, 0);
  Break("d", MakeRequest({ kBad }), 700, 800);
  Break("d", MakeRequest({ kRare }), 700, 800);
  CHECK_FALSE(IsSuspected({ kOtherContent, { kRare } }, 810));
}

TEST_CASE_METHOD(CrashAttributionFixture, "CrashAttribution_Answered_IsCleared")
{
  Break("a", MakeRequest({ kRare }), 0, 100);
  Break("b", MakeRequest({ kRare }), 110, 200);
  crashes_.RecordAnswered(MakeRequest({ kRare }), At(210));
  CHECK_FALSE(IsSuspected({ kOtherContent, { kRare } }, 215));
  // A peer that doesn't know of the answer sends the old attempts again.
  Break("a", MakeRequest({ kRare }), 0, 100);
  Break("c", MakeRequest({ kRare }), 110, 200);
  CHECK_FALSE(IsPartRefused(kRare, 220));
}

// Guards against popular parts that are refused when many endpoints crash for
// other reasons, before the next answer clears them.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_AnsweredBefore_IsRefusedOnlyIfOthersGoOn")
{
  crashes_.RecordAnswered(MakeRequest({ kShared }), At(0));
  for (int turn = 0; turn < 4; ++turn) {
    Break("crashed-" + std::to_string(turn),
          MakeRequest({ kShared }),
          10 + turn * 300,
          100 + turn * 300);
  }
  Update(2000);
  CHECK_FALSE(IsPartRefused(kShared, 2000));
  for (int answer = 0; answer < 10; ++answer) {
    crashes_.RecordAnswered(MakeRequest({}), At(2010 + answer));
  }
  Update(2100);
  CHECK(IsPartRefused(kShared, 2100));
}

// Guards against popular parts that are refused just after all hosts have
// started, when none has been answered yet.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_HostHasJustStarted_DoesNotDecide")
{
  CrashAttribution started("started");
  const auto hasSurvived = [](const std::string&, base::Instant) {
    return false;
  };
  started.Update(At(0), hasSurvived);
  for (int turn = 0; turn < 3; ++turn) {
    started.RecordBroken(MakeBroken("e" + std::to_string(turn),
                                    MakeRequest({ kShared }),
                                    turn * 200,
                                    turn * 200 + 100));
  }
  started.Update(At(600), hasSurvived);
  CHECK(started.RefusedCount() == 0);
  started.Update(At(2100), hasSurvived);
  CHECK(started.RefusedCount() == 1);
}

// Guards against a verdict for ever, and against many trials.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_Trial_IsOneWithPausesThatDouble")
{
  CrashInTurn(kBad, 0);
  const auto assess = [&](int aNowMs) {
    return std::get<CrashesEndpoints>(
      crashes_.Assess({ kOtherContent, { kBad } }, At(aNowMs)));
  };
  CHECK_FALSE(assess(kLongAfterMs).isTrialDue_);
  CHECK(assess(kLongAfterMs).untilTrial_ > base::Duration::zero());
  CHECK(assess(31'000).isTrialDue_);
  crashes_.BeginTrial(kBad, At(31'000));
  CHECK_FALSE(assess(31'001).isTrialDue_);
  CHECK_FALSE(assess(90'000).isTrialDue_);
  CHECK(assess(91'100).isTrialDue_);
}

// Guards against a trial of one feature with a request that has another one,
// whose trial isn't due.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_TwoFeaturesRefused_TrialWaitsForBoth")
{
  CrashInTurn(kBad, 0);
  for (int turn = 0; turn < 3; ++turn) {
    Break("later-" + std::to_string(turn),
          MakeRequest({ kRare }),
          20'000 + turn * 200,
          20'100 + turn * 200);
  }
  REQUIRE(crashes_.RefusedCount() == 2);
  const auto isDue = [&](std::vector<std::uint64_t> aParts, int aNowMs) {
    return std::get<CrashesEndpoints>(
             crashes_.Assess({ kOtherContent, std::move(aParts) }, At(aNowMs)))
      .isTrialDue_;
  };
  CHECK(isDue({ kBad }, 40'000));
  CHECK_FALSE(isDue({ kBad, kRare }, 40'000));
  CHECK_FALSE(isDue({ kRare, kBad }, 40'000));
  CHECK(isDue({ kRare, kBad }, 51'000));
}

TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_TrialAnswered_IsNoLongerRefused")
{
  CrashInTurn(kBad, 0);
  crashes_.BeginTrial(kBad, At(31'000));
  crashes_.RecordAnswered(MakeRequest({ kBad }), At(31'500));
  const auto changes = Update(31'510);
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().decision_ == CrashAttribution::Decision::Lifted);
  CHECK_FALSE(IsPartRefused(kBad, 31'510));
}

// Guards against several trials at a time: of all hosts, one begins it.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_TrialDue_IsDueAtOneHost")
{
  CrashInTurn(kBad, 0);
  const std::vector<std::string> names{ "h1", "h2", "h3", "h4", "h5" };
  for (const int now : { 31'000, 42'000, 53'000 }) {
    int due = 0;
    for (const std::string& name : names) {
      CrashAttribution host(name);
      host.Merge(crashes_.Report(At(700)));
      std::vector<std::string> peers = names;
      std::erase(peers, name);
      host.SetPeers(peers);
      const auto refusal = std::get<CrashesEndpoints>(
        host.Assess({ kOtherContent, { kBad } }, At(now)));
      due += refusal.isTrialDue_ ? 1 : 0;
    }
    CHECK(due == 1);
  }
}

// Guards against a host that starts later, or lost the first messages, and
// sends such requests on.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_HostStartsLater_LearnsWhatIsRefused")
{
  CrashInTurn(kBad, 0);
  CrashAttribution other("other");
  other.Merge(crashes_.Report(At(kLongAfterMs)));
  CHECK(std::holds_alternative<CrashesEndpoints>(
    other.Assess({ kOtherContent, { kBad } }, At(kLongAfterMs))));
}

// Guards against a verdict that comes back from a host that hasn't heard that
// it was lifted.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_Lifted_StaysLiftedEverywhere")
{
  CrashInTurn(kBad, 0);
  CrashAttribution other("other");
  other.Merge(crashes_.Report(At(700)));
  const CrashEvidence before = other.Report(At(800));
  CHECK(crashes_.Lift(kBad, At(1000)));
  CHECK_FALSE(crashes_.Lift(kBad, At(1001)));
  crashes_.Merge(before);
  Update(1100);
  CHECK_FALSE(IsPartRefused(kBad, 1100));
  other.Merge(crashes_.Report(At(1200)));
  CHECK(other.RefusedCount() == 0);
}

// Guards against an answer that grows newer while hosts tell each other of it.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_AnswerIsPassedOn_DoesNotGrowNewer")
{
  CrashAttribution other("other");
  crashes_.RecordAnswered(MakeRequest({ kRare }), At(0));
  Break("a", MakeRequest({ kRare }), 10, 100);
  other.Merge(crashes_.Report(At(110)));
  for (int turn = 0; turn < 100; ++turn) {
    CrashEvidence evidence = other.Report(At(120));
    // Each message takes 20 ms.
    for (AnsweredFeature& answered : evidence.answered_) {
      answered.answeredAt_ += std::chrono::milliseconds(20);
    }
    crashes_.Merge(evidence);
    other.Merge(crashes_.Report(At(120)));
  }
  Break("b", MakeRequest({ kRare }), 110, 200);
  Break("c", MakeRequest({ kRare }), 210, 300);
  CHECK(crashes_.Report(At(310)).answered_.front().answeredAt_ < At(1));
}

/// Observations of several hosts, delivered in any order.
class CrashReportsOrderFixture : protected CrashAttributionFixture
{
protected:
  struct Observation
  {
    CrashEvidence evidence_;
  };

  /// Draws broken attempts under some parts, and answers to others.
  std::vector<CrashEvidence> Draw(std::mt19937_64& aRandom)
  {
    const auto draw = [&aRandom](int aFrom, int aTo) {
      return std::uniform_int_distribution<int>(aFrom, aTo)(aRandom);
    };
    std::vector<CrashEvidence> observations;
    for (int count = draw(3, 25); count > 0; --count) {
      const int brokeAt = draw(100, 2000);
      CrashEvidence evidence;
      RequestFeatures request =
        MakeRequest({ static_cast<std::uint64_t>(draw(1, 5)) });
      if (draw(0, 1) == 0) {
        request.parts_.push_back(static_cast<std::uint64_t>(draw(6, 9)));
      }
      evidence.broken_.push_back(MakeBroken("e" + std::to_string(draw(0, 12)),
                                            request,
                                            brokeAt - draw(50, 100),
                                            brokeAt));
      observations.push_back(std::move(evidence));
    }
    for (int count = draw(0, 4); count > 0; --count) {
      CrashEvidence evidence;
      evidence.answered_.push_back(
        { static_cast<std::uint64_t>(draw(1, 9)), At(draw(0, 2000)) });
      observations.push_back(std::move(evidence));
    }
    return observations;
  }

  static std::set<std::uint64_t> Decide(
    const std::vector<CrashEvidence>& aObservations)
  {
    CrashAttribution host("host");
    const auto hasSurvived = [](const std::string&, base::Instant) {
      return false;
    };
    host.Update(At(kStartMs), hasSurvived);
    for (const CrashEvidence& evidence : aObservations) {
      host.Merge(evidence);
    }
    host.Update(At(2100), hasSurvived);
    std::set<std::uint64_t> refused;
    for (const CrashVerdict& verdict : host.Verdicts()) {
      refused.insert(verdict.feature_);
    }
    return refused;
  }
};

// Guards against hosts that decide differently as reports reach them in another
// order or more than once.
TEST_CASE_METHOD(CrashReportsOrderFixture,
                 "CrashReports_AnyOrderAndRepetition_SameDecision")
{
  std::mt19937_64 random(5);
  std::size_t refusedCount = 0;
  for (int round = 0; round < 500; ++round) {
    const std::vector<CrashEvidence> observations = Draw(random);
    const auto expected = Decide(observations);
    refusedCount += expected.size();
    for (int order = 0; order < 5; ++order) {
      std::vector<CrashEvidence> shuffled = observations;
      for (const CrashEvidence& evidence : observations) {
        if (random() % 3 == 0) {
          shuffled.push_back(evidence);
        }
      }
      std::shuffle(shuffled.begin(), shuffled.end(), random);
      INFO("round " << round);
      REQUIRE(Decide(shuffled) == expected);
    }
  }
  CHECK(refusedCount > 0);
}

// Guards against a decision on a part that was answered after all crashes under
// it, whatever else is lost.
TEST_CASE_METHOD(CrashReportsOrderFixture,
                 "CrashReports_SomeLost_ClearedPartIsNeverRefused")
{
  std::mt19937_64 random(6);
  for (int round = 0; round < 500; ++round) {
    std::vector<CrashEvidence> observations = Draw(random);
    std::erase_if(observations, [&random](const CrashEvidence&) {
      return random() % 3 == 0;
    });
    const std::uint64_t cleared = 1 + random() % 9;
    CrashEvidence answer;
    answer.answered_.push_back({ cleared, At(2050) });
    observations.push_back(answer);
    std::shuffle(observations.begin(), observations.end(), random);
    INFO("round " << round);
    REQUIRE_FALSE(Decide(observations).contains(cleared));
  }
}

// Guards against a sound batch item that is held as if it crashed endpoints, as
// several crashed or reset it.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_BatchItemBreaksInTurn_IsNotHeld")
{
  const RequestFeatures item = MakeRequest({});
  for (int turn = 0; turn < 6; ++turn) {
    BrokenAttempt attempt = MakeBroken(
      "crashed-" + std::to_string(turn), item, turn * 100, turn * 100 + 50);
    attempt.isBatchItem_ = true;
    crashes_.RecordBroken(attempt);
    Update(turn * 100 + 50);
  }
  CHECK_FALSE(IsRefused(item, 700));
  CHECK_FALSE(IsSuspected(item, 700));
  CHECK(crashes_.RefusedCount() == 0);
}

// Guards against batch items that wait for a trial by an online request, which
// may never come.
TEST_CASE_METHOD(CrashAttributionFixture,
                 "CrashAttribution_RefusedPartOfItems_IsTriedByItemsSoon")
{
  CrashInTurn(kBad, 0);
  REQUIRE(IsPartRefused(kBad, 1000));
  const RequestFeatures item = MakeRequest({ kShared, kBad });
  const auto isTrialDue = [&](int aNowMs) {
    const auto assessment = crashes_.Assess(item, At(aNowMs));
    return std::get<CrashesEndpoints>(assessment).isBatchTrialDue_;
  };
  CHECK_FALSE(isTrialDue(2000));
  CHECK(isTrialDue(4000));
  crashes_.BeginTrial(kBad, At(4000));
  CHECK_FALSE(isTrialDue(9000));
  CHECK(isTrialDue(10'000));
  crashes_.BeginTrial(kBad, At(10'000));
  crashes_.BeginTrial(kBad, At(10'000));
  CHECK(isTrialDue(22'000));
  crashes_.RecordAnswered(item, At(23'000));
  CHECK_FALSE(IsPartRefused(kBad, 24'000));
}

} // namespace pumiceturn::fleet
