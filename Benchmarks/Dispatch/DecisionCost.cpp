#include "DecisionCost.h"

#include "LibDispatch/EndpointScheduler.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace pumiceturn::bench {

namespace {

constexpr std::uint32_t kPlaces = 64;
constexpr std::uint32_t kDecisions = 200000;
constexpr std::int64_t kDueMs = 3600000;

dispatch::Moment
MomentAt(std::uint64_t aMicroseconds)
{
  const base::Instant now{ std::chrono::hours{ 1 } +
                           base::Duration{ aMicroseconds } };
  return { now, base::FromUnixMs(base::ToMs(now.time_since_epoch())) };
}

wire::RunId
IdOf(std::uint64_t aJob)
{
  return { base::MakeJobId("slaegtsspor", std::to_string(aJob)), 0, 1 };
}

wire::StartRun
MakeOrder(std::uint64_t aJob, bool aIsOnline)
{
  wire::StartRun order;
  order.run_ = IdOf(aJob);
  order.service_ = "origin-llm";
  order.online_ = aIsOnline;
  order.maxTokens_ = 64;
  order.dueUnixMs_ = aIsOnline ? 0 : base::ToUnixMs(MomentAt(0).wall_) + kDueMs;
  order.payload_ = "a prompt of forty bytes, more or less...";
  return order;
}

/// One decision: a stream ends, so the next waiting run is chosen and started,
/// and a new one comes in at the end of the queue.
double
MicrosecondsOfOneDecision(std::uint32_t aWaiting, bool aIsOnline)
{
  dispatch::EndpointScheduler::Options options;
  options.service_ = "origin-llm";
  options.limit_.max_ = kPlaces;
  options.maxQueuedOnline_ = aWaiting * 2;
  options.maxQueuedBatch_ = aWaiting * 2;
  dispatch::EndpointScheduler gate(
    options, [](std::uint64_t /*aFingerprint*/, dispatch::Moment /*aMoment*/) {
      return dispatch::ContentStatus::Clear;
    });
  std::uint64_t job = 1;
  for (std::uint32_t index = 0; index < aWaiting + kPlaces; ++index) {
    gate.OnStartRun("keeper", MakeOrder(job++, aIsOnline), MomentAt(0));
  }
  dispatch::StreamEnd end;
  std::uint64_t running = 1;
  const auto begin = std::chrono::steady_clock::now();
  for (std::uint32_t index = 0; index < kDecisions; ++index) {
    const wire::RunId run = IdOf(running);
    ++running;
    const dispatch::Moment now = MomentAt(index);
    gate.OnStreamEnded({ run, 1 }, end, now);
    gate.OnStartRun("keeper", MakeOrder(job++, aIsOnline), now);
    gate.OnRunRecorded({ run }, now);
  }
  const std::chrono::duration<double, std::micro> time =
    std::chrono::steady_clock::now() - begin;
  return time.count() / kDecisions;
}

} // namespace

void
PrintDecisionCosts()
{
  fmt::print("\none dispatch decision (a stream ends, the next is chosen, a "
             "run comes in, a result is recorded)\n");
  for (const std::uint32_t waiting : { 10U, 1000U, 100000U }) {
    fmt::print("{:7} waiting: batch {:.2f} us, online {:.2f} us\n",
               waiting,
               MicrosecondsOfOneDecision(waiting, false),
               MicrosecondsOfOneDecision(waiting, true));
  }
}

} // namespace pumiceturn::bench
