#include "LibFleet/PeerHearing.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class PeerHearingFixture
{
protected:
  PeerHearingFixture()
  {
    for (const char* peer : { "relay", "other", "worker" }) {
      hearing_.Add(peer);
      hearing_.NoteHeard(peer, now_);
    }
  }

  /// Time passes in which all but the named peer are heard.
  void PassWithout(const std::string& aSilent, milliseconds aTime)
  {
    now_ += aTime;
    for (const char* peer : { "relay", "other", "worker" }) {
      if (peer != aSilent) {
        hearing_.NoteHeard(peer, now_);
      }
    }
  }

  std::vector<RelayQuestion> Questions()
  {
    return hearing_.Questions(now_, random_);
  }

  PeerHearing hearing_;
  base::Instant now_{ std::chrono::hours{ 1 } };
  std::mt19937_64 random_{ 1 };
};

TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_AllHeard_AsksNobody")
{
  PassWithout("", milliseconds(1000));
  CHECK(Questions().empty());
  CHECK_FALSE(hearing_.RelayTo("worker", now_));
}

// Translators wait half a second at an entry host that is cut off from the
// hosts that run jobs: it takes their runs for none, and its requests to let
// batch give way are lost, though the other entry hosts reach both.
TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_PeerSilent_IsHeardThroughOne")
{
  PassWithout("worker", milliseconds(400));
  const auto questions = Questions();
  REQUIRE(questions.size() == 1);
  CHECK(questions[0].peers_ == std::vector<std::string>{ "worker" });
  CHECK(questions[0].relay_ != "worker");
  CHECK_FALSE(hearing_.RelayTo("worker", now_));

  hearing_.NotePassedOn("worker", "other", now_);
  CHECK(hearing_.RelayTo("worker", now_) == "other");
  for (int round = 0; round < 10; ++round) {
    CHECK(Questions()[0].relay_ == "other");
  }
}

// The relay is lost as well: the host would go on asking it alone.
TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_RelayFallsSilent_AsksAnother")
{
  PassWithout("worker", milliseconds(400));
  hearing_.NotePassedOn("worker", "other", now_);
  now_ += milliseconds(400);
  hearing_.NoteHeard("relay", now_);
  CHECK_FALSE(hearing_.RelayTo("worker", now_));
  const auto questions = Questions();
  REQUIRE(questions.size() == 1);
  CHECK(questions[0].relay_ == "relay");
  CHECK(questions[0].peers_ == std::vector<std::string>{ "other", "worker" });
}

TEST_CASE_METHOD(PeerHearingFixture,
                 "PeerHearing_PeerIsHeardAgain_NeedsNoRelay")
{
  PassWithout("worker", milliseconds(400));
  hearing_.NotePassedOn("worker", "other", now_);
  PassWithout("", milliseconds(10));
  CHECK(Questions().empty());
  CHECK_FALSE(hearing_.RelayTo("worker", now_));
}

TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_NewPeer_IsSilentUntilHeard")
{
  CHECK(hearing_.HeardCount(now_) == 3);
  hearing_.Add("new");
  CHECK_FALSE(hearing_.IsHeard("new", now_));
  CHECK(hearing_.HeardCount(now_) == 3);
  hearing_.NoteHeard("new", now_);
  CHECK(hearing_.HeardCount(now_) == 4);
  hearing_.Remove("new");
  CHECK(hearing_.HeardCount(now_) == 3);
}

TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_AskedFor_PassesOnForAWhile")
{
  hearing_.NoteAsked("cut-off", "worker", now_);
  CHECK(hearing_.Askers("worker", now_) ==
        std::vector<std::string>{ "cut-off" });
  CHECK(hearing_.Askers("relay", now_).empty());
  CHECK(hearing_.Askers("worker", now_ + milliseconds(400)).empty());
}

// A large fleet splits, and the few hosts that reach both halves spend all
// their time on passing messages on.
TEST_CASE_METHOD(PeerHearingFixture, "PeerHearing_AskedByMany_PassesOnBounded")
{
  for (int asker = 0; asker < 500; ++asker) {
    hearing_.NoteAsked("host-" + std::to_string(asker), "worker", now_);
  }
  CHECK(hearing_.Askers("worker", now_).size() == PeerHearing::kMostPassedOn);
}

} // namespace pumiceturn::fleet
