#include "LibFleet/UnmarkedEnd.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class UnmarkedEndFixture
{
protected:
  /// @return an end that a check follows after a time.
  static UnmarkedEnd CheckedAfter(milliseconds aTime, EndpointCheck aCheck)
  {
    const base::Instant endedAt{ std::chrono::hours(1) };
    return { endedAt, aCheck, endedAt + aTime };
  }
};

TEST_CASE_METHOD(UnmarkedEndFixture, "UnmarkedEnd_EndpointAnswers_HasLivedOn")
{
  CHECK(HasLivedOn(CheckedAfter(milliseconds(2), EndpointCheck::Answered)));
  CHECK(HasLivedOn(CheckedAfter(milliseconds(900), EndpointCheck::Answered)));
}

// Guards against breaking off whole responses of an endpoint that is full and
// answers late.
TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_ConnectionStaysOpen_HasLivedOn")
{
  CHECK(HasLivedOn(CheckedAfter(milliseconds(1200), EndpointCheck::Open)));
}

TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_EndpointIsUnreachable_HasNotLivedOn")
{
  CHECK_FALSE(
    HasLivedOn(CheckedAfter(milliseconds(2), EndpointCheck::Unreachable)));
}

// Guards against a response cut off by a crash that counts as whole, as the
// endpoint's next process answers.
TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_OtherConnectionsWereLost_HasNotLivedOn")
{
  UnmarkedEnd end = CheckedAfter(milliseconds(300), EndpointCheck::Answered);
  end.lostConnectionAt_ = end.endedAt_ - milliseconds(1);
  CHECK_FALSE(HasLivedOn(end));
  end.lostConnectionAt_ = end.endedAt_ + milliseconds(20);
  CHECK_FALSE(HasLivedOn(end));
  end.isReplaced_ = true;
  end.lostConnectionAt_.reset();
  CHECK_FALSE(HasLivedOn(end));
}

// Guards against breaking off a whole response as the endpoint reset another
// connection.
TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_AnsweredBesideLostConnection_HasLivedOn")
{
  UnmarkedEnd end = CheckedAfter(milliseconds(5), EndpointCheck::Answered);
  end.lostConnectionAt_ = end.endedAt_ - milliseconds(1);
  CHECK(HasLivedOn(end));
}

TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_ConnectionWasLostLongBefore_HasLivedOn")
{
  UnmarkedEnd end = CheckedAfter(milliseconds(300), EndpointCheck::Answered);
  end.lostConnectionAt_ = end.endedAt_ - milliseconds(1500);
  CHECK(HasLivedOn(end));
}

// Guards against a response cut off while this host was suspended, after which
// the endpoint's next process answers at once.
TEST_CASE_METHOD(UnmarkedEndFixture,
                 "UnmarkedEnd_HostWasSuspended_HasNotLivedOn")
{
  UnmarkedEnd end = CheckedAfter(milliseconds(2), EndpointCheck::Answered);
  end.resumedAt_ = end.endedAt_ + milliseconds(1);
  CHECK_FALSE(HasLivedOn(end));
}

// Guards against breaking off whole responses of an endpoint that answers late
// beside signs of a restart, though it says that it is the same process.
TEST_CASE_METHOD(UnmarkedEndFixture, "UnmarkedEnd_SameProcess_HasLivedOn")
{
  UnmarkedEnd end = CheckedAfter(milliseconds(900), EndpointCheck::SameProcess);
  end.lostConnectionAt_ = end.endedAt_;
  end.resumedAt_ = end.endedAt_;
  CHECK(HasLivedOn(end));
}

// Guards against a response cut off by a crash that counts as whole, as the
// endpoint's next process answers at once.
TEST_CASE_METHOD(UnmarkedEndFixture, "UnmarkedEnd_OtherProcess_HasNotLivedOn")
{
  CHECK_FALSE(
    HasLivedOn(CheckedAfter(milliseconds(2), EndpointCheck::OtherProcess)));
}

} // namespace pumiceturn::fleet
