#include "LibWire/PendingCalls.h"

#include <catch2/catch.hpp>

#include <optional>

namespace pumiceturn::wire {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kFirstId = 100;
constexpr base::Instant kStart{};

class PendingCallsFixture
{
protected:
  std::uint64_t Add(std::string_view aPeer, base::Duration aTimeout)
  {
    return calls_.Add(
      aPeer, kStart + aTimeout, [this](PendingCalls::Answer aAnswer) {
        answers_.push_back(std::move(aAnswer));
      });
  }

  PendingCalls calls_{ kFirstId };
  std::vector<PendingCalls::Answer> answers_;
};

} // namespace

TEST_CASE_METHOD(PendingCallsFixture, "PendingCalls_Reply_EndsItsCallOnce")
{
  const std::uint64_t first = Add("a", 10ms);
  const std::uint64_t second = Add("a", 10ms);
  CHECK(first == kFirstId);
  CHECK(calls_.Complete(second, SealReply{ second }));
  CHECK_FALSE(calls_.Complete(second, SealReply{ second }));
  CHECK_FALSE(calls_.Fail(second, ResultCode::BudgetExhausted));
  REQUIRE(answers_.size() == 1);
  CHECK(std::get<Message>(answers_[0]) == Message{ SealReply{ second } });
  CHECK(calls_.Count() == 1);
}

TEST_CASE_METHOD(PendingCallsFixture,
                 "PendingCalls_PeerLost_FailsItsCallsAlone")
{
  Add("a", 10ms);
  const std::uint64_t other = Add("ab", 10ms);
  Add("a", 20ms);
  CHECK(calls_.FailPeer("a") == 2);
  REQUIRE(answers_.size() == 2);
  CHECK(std::get<ResultCode>(answers_[0]) == ResultCode::Disconnected);
  CHECK(calls_.Complete(other, GetJob{}));
  CHECK(calls_.FailPeer("a") == 0);
}

TEST_CASE_METHOD(PendingCallsFixture, "PendingCalls_DeadlineReached_TimesOut")
{
  Add("a", 20ms);
  Add("b", 10ms);
  CHECK(calls_.NextDeadline() == kStart + 10ms);
  CHECK(calls_.Expire(kStart + 9ms) == 0);
  CHECK(calls_.Expire(kStart + 10ms) == 1);
  REQUIRE(answers_.size() == 1);
  CHECK(std::get<ResultCode>(answers_[0]) == ResultCode::TimedOut);
  CHECK(calls_.NextDeadline() == kStart + 20ms);
}

// A caller that hears of a failure tries the next host at once, from within the
// callback. With the lock held there it would wait for itself for ever.
TEST_CASE_METHOD(PendingCallsFixture, "PendingCalls_CallFromCallback_IsAdded")
{
  calls_.Add("a", kStart + 10ms, [this](const PendingCalls::Answer&) {
    Add("b", 20ms);
  });
  CHECK(calls_.FailPeer("a") == 1);
  CHECK(calls_.Count() == 1);
  CHECK(calls_.FailPeer("b") == 1);
}

} // namespace pumiceturn::wire
