#include "LibFleet/UnmarkedEnd.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

TEST_CASE("UnmarkedEnd_ProcessNamesItself_IsWhole")
{
  CHECK(Judge(EndpointCheck::SameProcess, Sender::Known) == UnmarkedEnd::Whole);
}

// Guards against a response cut off by a crash that counts as whole, as the
// endpoint's next process answers, soon or late, beside lost connections or
// after a suspension of this host.
TEST_CASE("UnmarkedEnd_AnswerNamesNobody_IsUnconfirmed")
{
  CHECK(Judge(EndpointCheck::Unnamed, Sender::Known) ==
        UnmarkedEnd::Unconfirmed);
}

// Guards against the same, as the kernel or the next process accepts
// connections.
TEST_CASE("UnmarkedEnd_ConnectionStaysOpen_IsUnconfirmed")
{
  CHECK(Judge(EndpointCheck::Open, Sender::Known) == UnmarkedEnd::Unconfirmed);
  CHECK(Judge(EndpointCheck::Silent, Sender::Known) ==
        UnmarkedEnd::Unconfirmed);
}

TEST_CASE("UnmarkedEnd_EndpointIsUnreachable_IsBrokenOff")
{
  for (const EndpointCheck check : { EndpointCheck::Refused,
                                     EndpointCheck::Unreachable,
                                     EndpointCheck::Closed }) {
    CHECK(Judge(check, Sender::Known) == UnmarkedEnd::BrokenOff);
  }
}

// Guards against a response cut off by a crash that counts as whole, as the
// endpoint's next process answers at once.
TEST_CASE("UnmarkedEnd_OtherProcessNamesItself_IsBrokenOff")
{
  CHECK(Judge(EndpointCheck::OtherProcess, Sender::Known) ==
        UnmarkedEnd::BrokenOff);
}

// Guards against taking the end of a response for a crash of its endpoint, as a
// process answers that may have sent the response itself.
TEST_CASE("UnmarkedEnd_OtherProcessMayBeTheSender_IsUnconfirmed")
{
  CHECK(Judge(EndpointCheck::OtherProcess, Sender::Unknown) ==
        UnmarkedEnd::Unconfirmed);
}

} // namespace pumiceturn::fleet
