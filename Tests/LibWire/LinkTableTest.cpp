#include "Recorder.h"

#include <catch2/catch.hpp>

#include <numeric>

namespace pumiceturn::wire {

namespace {

constexpr std::uint32_t kMany = 2000;

std::vector<std::uint64_t>
NumbersBelow(std::uint32_t aCount)
{
  std::vector<std::uint64_t> numbers(aCount);
  std::iota(numbers.begin(), numbers.end(), 0U);
  return numbers;
}

class LinkTableFixture
{
protected:
  void Join()
  {
    a_.Table().Connect("b", b_.Table().ListenAddress());
    REQUIRE(a_.WaitForState("b", LinkState::Up));
    REQUIRE(b_.WaitForState("a", LinkState::Up));
  }

  Recorder a_{ MakeOptions("a") };
  Recorder b_{ MakeOptions("b") };
};

} // namespace

TEST_CASE_METHOD(LinkTableFixture,
                 "LinkTable_OneSideConnects_MessagesFlowBothWaysInOrder")
{
  Join();
  for (std::uint32_t number = 0; number < kMany; ++number) {
    REQUIRE(a_.Table().Send("b", MakeNumbered(number)) == ResultCode::Ok);
    REQUIRE(b_.Table().Send("a", MakeNumbered(number)) == ResultCode::Ok);
  }
  REQUIRE(a_.WaitForMessages("b", kMany));
  REQUIRE(b_.WaitForMessages("a", kMany));
  CHECK(NumbersOf(a_.Messages("b")) == NumbersBelow(kMany));
  CHECK(NumbersOf(b_.Messages("a")) == NumbersBelow(kMany));
}

TEST_CASE_METHOD(LinkTableFixture, "LinkTable_Idle_HeartbeatsComeFromBothEnds")
{
  CHECK(a_.Table().SinceHeard("b") == base::Duration::max());
  Join();
  CHECK(a_.WaitForHeartbeat("b"));
  CHECK(b_.WaitForHeartbeat("a"));
  CHECK(a_.Table().SinceHeard("b") < base::Duration::max());
  CHECK(b_.Table().UpPeers() == std::vector<std::string>{ "a" });
}

TEST_CASE("LinkTable_HeartbeatNow_DoesNotWaitForTheInterval")
{
  LinkTable::Options options = MakeOptions("a");
  options.heartbeatInterval_ = std::chrono::hours{ 1 };
  Recorder a{ options };
  Recorder b{ MakeOptions("b") };
  a.Table().Connect("b", b.Table().ListenAddress());
  REQUIRE(a.WaitForState("b", LinkState::Up));
  a.Table().HeartbeatNow();
  CHECK(b.WaitForHeartbeat("a"));
}

TEST_CASE_METHOD(LinkTableFixture, "LinkTable_BothConnect_EachIsUpAndOrdered")
{
  a_.Table().Connect("b", b_.Table().ListenAddress());
  b_.Table().Connect("a", a_.Table().ListenAddress());
  REQUIRE(a_.WaitForState("b", LinkState::Up));
  REQUIRE(b_.WaitForState("a", LinkState::Up));
  for (std::uint32_t number = 0; number < kMany; ++number) {
    REQUIRE(a_.Table().Send("b", MakeNumbered(number)) == ResultCode::Ok);
  }
  REQUIRE(b_.WaitForMessages("a", kMany));
  CHECK(NumbersOf(b_.Messages("a")) == NumbersBelow(kMany));
  CHECK(a_.States("b") == std::vector{ LinkState::Up });
  CHECK(b_.States("a") == std::vector{ LinkState::Up });
}

TEST_CASE_METHOD(LinkTableFixture, "LinkTable_SendToSelf_ArrivesFromOwnName")
{
  CHECK(a_.Table().IsUp("a"));
  CHECK(a_.Table().Send("a", MakeNumbered(1)) == ResultCode::Ok);
  REQUIRE(a_.WaitForMessages("a", 1));
  CHECK(NumbersOf(a_.Messages("a")) == std::vector<std::uint64_t>{ 1 });
  CHECK(a_.Table().UpPeers().empty());
}

TEST_CASE_METHOD(LinkTableFixture, "LinkTable_NoLink_SendIsRefused")
{
  CHECK(a_.Table().Send("b", MakeNumbered(1)) == ResultCode::Disconnected);
  CHECK_FALSE(a_.Table().IsUp("b"));
}

TEST_CASE_METHOD(LinkTableFixture,
                 "LinkTable_PeerStartsAfterConnect_LinkComesUp")
{
  const std::string address = b_.Table().ListenAddress();
  b_.Destroy();
  a_.Table().Connect("c", address);
  Recorder c{ MakeOptions("c", address) };
  CHECK(a_.WaitForState("c", LinkState::Up));
}

TEST_CASE_METHOD(LinkTableFixture,
                 "LinkTable_Disconnect_EndsTheLinkWithoutAReport")
{
  Join();
  a_.Table().Disconnect("b");
  REQUIRE(b_.WaitForState("a", LinkState::Lost));
  CHECK(a_.Table().Send("b", MakeNumbered(1)) == ResultCode::Disconnected);
  CHECK(a_.States("b") == std::vector{ LinkState::Up });
}

TEST_CASE_METHOD(LinkTableFixture, "LinkTable_AddressInUse_StartFails")
{
  const auto outcome = base::Capture([&] {
    return LinkTable::Start(MakeOptions("c", a_.Table().ListenAddress()), {});
  });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == ResultCode::InputOutput);
}

} // namespace pumiceturn::wire
