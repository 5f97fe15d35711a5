#include "LibFleet/SilencePolicy.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

// Guards against ending an answer that its endpoint would go on with.
TEST_CASE("SilencePolicy_NoReplacement_KeepsWaitingHoweverLong")
{
  for (const milliseconds silence :
       { milliseconds(900), milliseconds(2000), milliseconds(60000) }) {
    CHECK(DecideOnSilence({ silence, Replacement::None, false }) ==
          SilenceAction::KeepWaiting);
  }
}

// Guards against callers that wait for a lost endpoint while another has a
// free slot.
TEST_CASE("SilencePolicy_FreeSlotElsewhere_Moves")
{
  CHECK(DecideOnSilence({ milliseconds(300), Replacement::FreeSlot, false }) ==
        SilenceAction::Move);
}

// Guards against giving up an attempt for one that a full endpoint rejects.
TEST_CASE("SilencePolicy_UncertainReplacement_MovesAfterLongSilence")
{
  CHECK(DecideOnSilence({ milliseconds(900), Replacement::Uncertain, false }) ==
        SilenceAction::KeepWaiting);
  CHECK(
    DecideOnSilence({ milliseconds(1500), Replacement::Uncertain, false }) ==
    SilenceAction::Move);
  CHECK(DecideOnSilence({ milliseconds(900), Replacement::Uncertain, true }) ==
        SilenceAction::Move);
}

// Guards against callers that wait for an endpoint that is known to be gone.
TEST_CASE("SilencePolicy_EndpointIsReplaced_GivesUp")
{
  CHECK(DecideOnSilence({ milliseconds(200), Replacement::None, true }) ==
        SilenceAction::GiveUp);
}

} // namespace pumiceturn::fleet
