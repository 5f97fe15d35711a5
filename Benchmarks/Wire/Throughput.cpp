#include "Throughput.h"

#include "LibBase/Result.h"
#include "LibWire/LinkTable.h"
#include "LibWire/MessageCodec.h"

#include <Wire.capnp.h>
#include <capnp/ez-rpc.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::wire {

namespace {

constexpr std::uint64_t kMessages = 1000000;
constexpr std::uint64_t kUnbatchedMessages = 200000;
constexpr std::size_t kUnbatchedInFlight = 256;
constexpr int kRoundTrips = 20000;
constexpr double kMicroseconds = 1e6;

std::unique_ptr<LinkTable>
StartTable(const std::string& aHost, LinkTable::Handlers aHandlers)
{
  LinkTable::Options options;
  options.host_ = aHost;
  options.listenAddress_ = "127.0.0.1:0";
  return std::get<0>(base::Capture(
    [&] { return LinkTable::Start(options, std::move(aHandlers)); }));
}

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// @return processor time of the calling thread, in seconds.
double
ThreadSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto toSeconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicroseconds;
  };
  return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

Message
MakeToken(std::uint64_t aSequence)
{
  Chunk chunk;
  chunk.run_ = { { 1, 2 }, 0, 1 };
  chunk.sequence_ = aSequence;
  chunk.text_ = " token";
  chunk.tokens_ = 1;
  return chunk;
}

/// The process that receives, and what its link thread spent.
class Receiver
{
public:
  explicit Receiver(std::uint64_t aExpected)
    : expected_(aExpected)
  {
    LinkTable::Handlers handlers;
    handlers.message_ = [this](const std::string&, const Message& aMessage) {
      OnMessage(aMessage);
    };
    table_ = StartTable("receiver", std::move(handlers));
  }

  LinkTable& Table() { return *table_; }
  void Wait() { done_.get_future().wait(); }
  [[nodiscard]] double ThreadTime() const { return end_ - begin_; }

private:
  void OnMessage(const Message& aMessage)
  {
    if (!std::holds_alternative<Chunk>(aMessage)) {
      return;
    }
    if (received_ == 0) {
      begin_ = ThreadSeconds();
    }
    if (++received_ == expected_) {
      end_ = ThreadSeconds();
      done_.set_value();
    }
  }

  const std::uint64_t expected_;
  std::uint64_t received_ = 0;
  double begin_ = 0;
  double end_ = 0;
  std::promise<void> done_;
  std::unique_ptr<LinkTable> table_;
};

void
SendTokens(LinkTable& aTable, std::uint64_t aCount)
{
  for (std::uint64_t sequence = 0; sequence < aCount; ++sequence) {
    while (aTable.Send("receiver", MakeToken(sequence)) != ResultCode::Ok) {
      std::this_thread::yield();
    }
  }
}

void
MeasureLinks(std::size_t aLinks)
{
  const std::uint64_t each = kMessages / aLinks;
  Receiver receiver(each * aLinks);
  std::vector<std::unique_ptr<LinkTable>> senders;
  for (std::size_t i = 0; i < aLinks; ++i) {
    senders.push_back(StartTable("sender-" + std::to_string(i), {}));
    senders.back()->Connect("receiver", receiver.Table().ListenAddress());
  }
  while (receiver.Table().UpPeers().size() < aLinks) {
    std::this_thread::yield();
  }
  const base::Instant begin = base::MonotonicNow();
  // Two threads feed all links, so that the link threads are what is measured.
  std::thread other([&] {
    for (std::size_t i = 1; i < aLinks; i += 2) {
      SendTokens(*senders[i], each);
    }
  });
  for (std::size_t i = 0; i < aLinks; i += 2) {
    SendTokens(*senders[i], each);
  }
  other.join();
  receiver.Wait();
  const double elapsed = Seconds(base::MonotonicNow() - begin);
  const auto count = static_cast<double>(each * aLinks);
  fmt::print("| {} | {:.0f} | {:.2f} |\n",
             aLinks,
             count / elapsed,
             receiver.ThreadTime() / count * kMicroseconds);
}

/// Receives messages of one call each.
class CountingPeer final : public schema::Peer::Server
{
protected:
  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    for (auto envelope : aContext.getParams().getMessages()) {
      base::Capture([&] { return Decode(envelope); });
    }
    return kj::READY_NOW;
  }
};

kj::Promise<void>
CallOnce(schema::Peer::Client& aPeer, std::uint64_t& aLeft)
{
  if (aLeft == 0) {
    return kj::READY_NOW;
  }
  auto request = aPeer.deliverRequest();
  Encode(request.initMessages(1)[0], MakeToken(aLeft--));
  return request.send().ignoreResult().then(
    [&aPeer, &aLeft] { return CallOnce(aPeer, aLeft); });
}

/// @return messages a second when each is a call of its own, as with a
/// capability for each run.
double
MeasureUnbatched()
{
  std::promise<unsigned int> port;
  std::promise<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> stop;
  std::thread server([&] {
    capnp::EzRpcServer rpc(kj::heap<CountingPeer>(), "127.0.0.1", 0);
    auto stopped = kj::newPromiseAndCrossThreadFulfiller<void>();
    port.set_value(rpc.getPort().wait(rpc.getWaitScope()));
    stop.set_value(kj::mv(stopped.fulfiller));
    stopped.promise.wait(rpc.getWaitScope());
  });
  double rate = 0;
  {
    capnp::EzRpcClient client("127.0.0.1", port.get_future().get());
    auto peer = client.getMain<schema::Peer>();
    std::uint64_t left = kUnbatchedMessages;
    const base::Instant begin = base::MonotonicNow();
    auto calls = kj::heapArrayBuilder<kj::Promise<void>>(kUnbatchedInFlight);
    for (std::size_t i = 0; i < kUnbatchedInFlight; ++i) {
      calls.add(CallOnce(peer, left));
    }
    kj::joinPromises(calls.finish()).wait(client.getWaitScope());
    rate = static_cast<double>(kUnbatchedMessages) /
           Seconds(base::MonotonicNow() - begin);
  }
  stop.get_future().get()->fulfill();
  server.join();
  return rate;
}

void
MeasureRoundTrip()
{
  std::atomic<std::uint64_t> answered{ 0 };
  std::unique_ptr<LinkTable> far;
  LinkTable::Handlers echo;
  std::atomic<bool> ready{ false };
  echo.message_ = [&](const std::string& aPeer, Message aMessage) {
    if (ready && std::holds_alternative<Chunk>(aMessage)) {
      far->Send(aPeer, std::move(aMessage));
    }
  };
  LinkTable::Handlers count;
  count.message_ = [&](const std::string&, const Message& aMessage) {
    if (std::holds_alternative<Chunk>(aMessage)) {
      ++answered;
    }
  };
  far = StartTable("far", std::move(echo));
  ready = true;
  const auto near = StartTable("near", std::move(count));
  near->Connect("far", far->ListenAddress());
  while (!near->IsUp("far") || !far->IsUp("near")) {
    std::this_thread::yield();
  }
  std::vector<std::int64_t> times;
  times.reserve(kRoundTrips);
  for (int trip = 0; trip < kRoundTrips; ++trip) {
    const std::uint64_t before = answered;
    const base::Instant begin = base::MonotonicNow();
    near->Send("far", MakeToken(0));
    while (answered == before) {
      std::this_thread::yield();
    }
    times.push_back((base::MonotonicNow() - begin).count());
  }
  std::sort(times.begin(), times.end());
  fmt::print("\nround trip between two tables: p50 {} us, p99 {} us\n",
             times[times.size() / 2],
             times[times.size() * 99 / 100]);
}

} // namespace

void
MeasureThroughput()
{
  fmt::print("| links | chunks/s | receiver's link thread, us a chunk |\n"
             "|---|---|---|\n");
  for (const std::size_t links : { 1U, 8U, 64U }) {
    MeasureLinks(links);
  }
  fmt::print("\none call a chunk, {} in flight: {:.0f} chunks/s\n",
             kUnbatchedInFlight,
             MeasureUnbatched());
  MeasureRoundTrip();
}

} // namespace pumiceturn::wire
