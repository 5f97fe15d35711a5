#include "Forwarder.h"
#include "Recorder.h"

#include "LibWire/FramedStream.h"

#include <Wire.capnp.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <limits>
#include <numeric>
#include <thread>

namespace pumiceturn::wire {

namespace {

using States = std::vector<LinkState>;

class LinkFailureFixture
{
protected:
  void Join(const std::string& aAddress)
  {
    a_.Table().Connect("b", aAddress);
    REQUIRE(a_.WaitForState("b", LinkState::Up));
    REQUIRE(b_.WaitForState("a", LinkState::Up));
  }

  /// Messages sent now arrive, in both directions.
  void CheckExchange()
  {
    const std::size_t beforeA = a_.Messages("b").size();
    const std::size_t beforeB = b_.Messages("a").size();
    REQUIRE(a_.Table().Send("b", MakeNumbered(1)) == ResultCode::Ok);
    REQUIRE(b_.Table().Send("a", MakeNumbered(2)) == ResultCode::Ok);
    CHECK(a_.WaitForMessages("b", beforeA + 1));
    CHECK(b_.WaitForMessages("a", beforeB + 1));
  }

  Recorder a_{ MakeOptions("a") };
  Recorder b_{ MakeOptions("b") };
};

/// Without heartbeats, which would end the link of a peer that is held.
LinkTable::Options
MakeBoundedOptions(std::string aHost, std::size_t aBytes)
{
  LinkTable::Options options = MakeOptions(std::move(aHost));
  options.maxQueuedBytes_ = aBytes;
  options.heartbeatInterval_ = std::chrono::hours{ 1 };
  return options;
}

/// Holds a link thread in its message handler until it is opened.
class Gate
{
public:
  void Pass()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return open_; });
  }

  void Open()
  {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

/// A client that speaks the protocol but keeps to no rule.
class RawClient
{
public:
  explicit RawClient(const std::string& aAddress)
    : io_(kj::setupAsyncIo())
    , stream_(Connect(aAddress))
    , framed_(*stream_)
    , network_(framed_, capnp::rpc::twoparty::Side::CLIENT)
    , rpc_(capnp::makeRpcClient(network_))
  {
  }

  schema::Peer::Client Peer()
  {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc_.bootstrap(vat).castAs<schema::Peer>();
  }

  /// @return why the call failed; empty if it did not.
  template<typename Request>
  std::string FailureOf(Request&& aRequest)
  {
    const kj::Maybe<kj::Exception> exception =
      kj::runCatchingExceptions([&] { aRequest.send().wait(io_.waitScope); });
    KJ_IF_MAYBE (failure, exception) {
      return failure->getDescription().cStr();
    }
    return {};
  }

private:
  kj::Own<kj::AsyncIoStream> Connect(const std::string& aAddress)
  {
    auto& network = io_.provider->getNetwork();
    auto address = network.parseAddress(aAddress.c_str()).wait(io_.waitScope);
    return address->connect().wait(io_.waitScope);
  }

  kj::AsyncIoContext io_;
  kj::Own<kj::AsyncIoStream> stream_;
  FramedStream framed_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

void
SendBytes(int aSocket, const std::vector<std::uint32_t>& aWords)
{
  REQUIRE(send(aSocket,
               aWords.data(),
               aWords.size() * sizeof(std::uint32_t),
               MSG_NOSIGNAL) > 0);
}

/// Waits until the other end closes.
bool
IsClosed(int aSocket)
{
  const timeval patience{ Recorder::kPatience.count(), 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  std::array<char, 512> buffer{};
  ssize_t got = 0;
  do {
    got = recv(aSocket, buffer.data(), buffer.size(), 0);
  } while (got > 0);
  return got == 0 || errno == ECONNRESET;
}

} // namespace

// Answers stop in mid-sentence for everyone whose endpoint is behind one
// firewall, though nothing is reported as broken. The firewall has forgotten
// the open connections: in the direction lost, what is sent disappears, and
// neither end is told. New connections pass.
TEST_CASE_METHOD(LinkFailureFixture,
                 "Link_SilentForGood_IsReplacedAndReportedOnce")
{
  const auto direction = GENERATE(Forwarder::Direction::ToTarget,
                                  Forwarder::Direction::FromTarget,
                                  Forwarder::Direction::Both);
  CAPTURE(static_cast<int>(direction));
  Forwarder forwarder(b_.Table().ListenAddress());
  Join(forwarder.Address());
  forwarder.Lose(direction);
  REQUIRE(a_.WaitForState("b", LinkState::Up, 2));
  REQUIRE(b_.WaitForState("a", LinkState::Up, 2));
  CheckExchange();
  const States expected{ LinkState::Up, LinkState::Lost, LinkState::Up };
  CHECK(a_.States("b") == expected);
  CHECK(b_.States("a") == expected);
}

// A streamed answer loses its middle: "the cat sat ... mat". The connection
// went silent while tokens were on their way, was replaced, and tokens of the
// old connection were counted as sent. Senders must see Lost before anything
// leaves on the new connection, so that they know where to begin again.
TEST_CASE_METHOD(LinkFailureFixture,
                 "Link_LostWhileSending_NothingOldArrivesOnTheNewConnection")
{
  constexpr std::uint32_t kLost = 100;
  Forwarder forwarder(b_.Table().ListenAddress());
  Join(forwarder.Address());
  forwarder.Lose(Forwarder::Direction::Both);
  for (std::uint32_t number = 0; number < kLost; ++number) {
    REQUIRE(a_.Table().Send("b", MakeNumbered(number)) == ResultCode::Ok);
  }
  REQUIRE(a_.WaitForState("b", LinkState::Up, 2));
  REQUIRE(b_.WaitForState("a", LinkState::Up, 2));
  REQUIRE(a_.Table().Send("b", MakeNumbered(kLost)) == ResultCode::Ok);
  REQUIRE(b_.WaitForMessages("a", 1));
  CHECK(NumbersOf(b_.Messages("a")) == std::vector<std::uint64_t>{ kLost });
}

// After an upgrade of a keeper, entries wait for replies that never come. Its
// process was restarted and knows nothing of calls made to the one before; the
// link came up again so fast that it looked like a lost connection.
TEST_CASE_METHOD(LinkFailureFixture, "Link_PeerRestarted_IsReportedAsReplaced")
{
  const std::string address = b_.Table().ListenAddress();
  Join(address);
  b_.Destroy();
  REQUIRE(a_.WaitForState("b", LinkState::Lost));
  Recorder restarted{ MakeOptions("b", address) };
  REQUIRE(a_.WaitForState("b", LinkState::Up, 2));
  CHECK(a_.States("b") ==
        States{
          LinkState::Up, LinkState::Lost, LinkState::Replaced, LinkState::Up });
  CHECK(restarted.WaitForState("a", LinkState::Up));
}

// Under full load, links to healthy peers are reported as lost, and answers on
// them stall. Work that follows on work keeps the event loop from ever running
// dry, so it never looks for input: heartbeats lie unread. Here a process sends
// itself a message for each that it gets, and still must hear its peer.
TEST_CASE_METHOD(LinkFailureFixture, "Link_LoopNeverIdle_OtherPeersAreHeard")
{
  std::atomic<bool> stopping{ false };
  a_.SetHook([&table = a_.Table(), &stopping] {
    if (!stopping) {
      table.Send("a", MakeNumbered(0));
    }
  });
  REQUIRE(a_.Table().Send("a", MakeNumbered(0)) == ResultCode::Ok);
  REQUIRE(a_.WaitForMessages("a", 100));
  Join(b_.Table().ListenAddress());
  REQUIRE(b_.Table().Send("a", MakeNumbered(1)) == ResultCode::Ok);
  CHECK(a_.WaitForMessages("b", 1));
  stopping = true;
  a_.Destroy();
}

// Answers from one endpoint stop, then come twice. A firewall forgot the
// connection, and before that was noticed the agent was replaced as well. The
// entry must hear of both: attaching to runs of the old process would wait for
// ever.
TEST_CASE_METHOD(LinkFailureFixture,
                 "Link_SilentWhilePeerRestarts_IsReportedAsReplaced")
{
  const std::string address = b_.Table().ListenAddress();
  Forwarder forwarder(address);
  Join(forwarder.Address());
  forwarder.Lose(Forwarder::Direction::Both);
  b_.Destroy();
  Recorder restarted{ MakeOptions("b", address) };
  REQUIRE(a_.WaitForState("b", LinkState::Up, 2));
  CHECK(a_.States("b") ==
        States{
          LinkState::Up, LinkState::Lost, LinkState::Replaced, LinkState::Up });
  REQUIRE(a_.Table().Send("b", MakeNumbered(1)) == ResultCode::Ok);
  CHECK(restarted.WaitForMessages("a", 1));
}

// Once a day an entry dies for want of memory. One keeper's disk stalls, its
// link thread takes nothing in, and the entry goes on queueing messages for it
// without bound. It must be refused instead, and lose nothing it was promised.
TEST_CASE("Link_PeerTakesNothingIn_QueueRefusesAtItsBound")
{
  constexpr std::size_t kQueueBytes = 1U << 20U;
  constexpr std::size_t kMessageBytes = 4096;
  Gate gate;
  Recorder a{ MakeBoundedOptions("a", kQueueBytes) };
  Recorder b{ MakeBoundedOptions("b", kQueueBytes) };
  b.SetHook([&gate] { gate.Pass(); });
  a.Table().Connect("b", b.Table().ListenAddress());
  REQUIRE(a.WaitForState("b", LinkState::Up));

  std::uint32_t accepted = 0;
  while (a.Table().Send("b", MakeNumbered(accepted, kMessageBytes)) ==
         ResultCode::Ok) {
    ++accepted;
    REQUIRE(accepted <= kQueueBytes / kMessageBytes);
  }
  CHECK(a.Table().Send("b", MakeNumbered(accepted, kMessageBytes)) ==
        ResultCode::BudgetExhausted);
  CHECK(accepted > kQueueBytes / kMessageBytes / 2);
  gate.Open();
  REQUIRE(b.WaitForMessages("a", accepted));
  std::vector<std::uint64_t> expected(accepted);
  std::iota(expected.begin(), expected.end(), 0U);
  CHECK(NumbersOf(b.Messages("a")) == expected);
  b.Destroy();
}

// A port scanner or a stray client talks to the link port of an entry, and all
// links of the process go down with it. What it sends is no message, ends
// before it is whole, or claims a length beyond all memory.
TEST_CASE_METHOD(LinkFailureFixture, "Link_GarbageOnThePort_HarmsNoOther")
{
  constexpr std::uint32_t kHuge = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint32_t kPacked = 1U << 31U;
  const std::vector<std::vector<std::uint32_t>> garbage{
    { 0x20544547, 0x5448202F, 0x312F5054, 0x0D0A312E, 0x0A0D0A0D }, // HTTP
    { kHuge, kHuge, kHuge, kHuge },          // Longer than allowed.
    { 0, 0, 0, 0 },                          // Nothing, again and again.
    { 16, kHuge - 1, 1, 0, 0 },              // Too many segments.
    { 16, 0, kHuge / 8, 0, 0 },              // A segment out of the message.
    { 24, 0, 2, 0x00010000, kHuge, 0, 0 },   // A pointer out of the message.
    { kPacked | 4, kHuge },                  // Packed, and cut off.
    { kPacked | 8, 0xFF010011, 0xFFFFFFFF }, // Packed zeros beyond the limit.
  };
  Join(b_.Table().ListenAddress());
  for (const auto& words : garbage) {
    const int socket = ConnectSocket(b_.Table().ListenAddress());
    SendBytes(socket, words);
    CHECK(IsClosed(socket));
    close(socket);
  }
  const int truncated = ConnectSocket(b_.Table().ListenAddress());
  SendBytes(truncated, { 1000, 0, 0 });
  close(truncated);
  const int quiet = ConnectSocket(b_.Table().ListenAddress());
  CHECK(IsClosed(quiet));
  close(quiet);
  CheckExchange();
  CHECK(b_.States("a") == States{ LinkState::Up });
}

// An agent runs what was meant for another. The host that had the address was
// replaced by one with another name, and the entry's link went on to it.
TEST_CASE_METHOD(LinkFailureFixture, "Link_AnotherProcessAtAddress_Refuses")
{
  RawClient client(b_.Table().ListenAddress());
  auto request = client.Peer().helloRequest();
  auto hello = request.initHello();
  hello.setHost("a");
  hello.setIncarnation(1);
  hello.setProtocolVersion(1);
  hello.setExpectedHost("c");
  CHECK_THAT(client.FailureOf(request),
             Catch::Contains("hello to another process"));
  CHECK(b_.States("a").empty());
}

// A message appears to come from nobody: it was delivered by a client that
// never said who it is.
TEST_CASE_METHOD(LinkFailureFixture, "Link_DeliverBeforeHello_IsRefused")
{
  RawClient client(b_.Table().ListenAddress());
  auto request = client.Peer().deliverRequest();
  request.initMessages(1)[0].initCancelRun();
  CHECK_THAT(client.FailureOf(request),
             Catch::Contains("messages before hello"));
  CHECK(b_.Messages("").empty());
}

// A shutdown crashes now and then and leaves a core file. The process ended
// while its own messages and its peer's were on the way, and a late one met a
// table that was gone.
TEST_CASE_METHOD(LinkFailureFixture,
                 "Link_DestroyedWhileSending_NothingCrashes")
{
  constexpr int kRounds = 4;
  const std::string address = b_.Table().ListenAddress();
  Join(address);
  std::atomic<bool> stopping{ false };
  std::thread sender([&] {
    while (!stopping) {
      a_.Table().Send("b", MakeNumbered(1, 1000));
      std::this_thread::yield();
    }
  });
  b_.Destroy();
  long ups = 1;
  for (int round = 0; round < kRounds; ++round) {
    Recorder next{ MakeOptions("b", address) };
    CHECK(a_.WaitForState("b", LinkState::Up, ++ups));
    CHECK(next.WaitForMessages("a", 1));
    next.Table().Send("a", MakeNumbered(2, 1000));
  }
  stopping = true;
  sender.join();
}

} // namespace pumiceturn::wire
