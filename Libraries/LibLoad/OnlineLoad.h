#pragma once

#include "LibLoad/OnlineCall.h"
#include "LibLoad/Recorder.h"
#include "LibLoad/Schedule.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::load {

/// A request kind's limits, as the configuration in force has them.
struct KindLimits
{
  std::uint32_t maxTokens_ = 0;
  std::uint32_t deadlineMs_ = 0;
};

/// Sends the online calls of a schedule, each at its intended moment whether or
/// not earlier ones were answered, and compares each answer with what the
/// engine generates. Holds no thread for a call.
class OnlineLoad
{
public:
  struct Options
  {
    const LoadPlan& plan_;
    std::vector<KindLimits> limits_; ///< For each stream of the plan.
    std::string runId_;
    std::chrono::milliseconds timeout_{}; ///< For reading back one result.
  };

  OnlineLoad(Options aOptions,
             const client::EntryChannels& aChannels,
             std::span<const Arrival> aArrivals,
             Recorder& aRecorder);

  /// Starts one call, and later its resend.
  void Send(std::size_t aArrival);

  /// @return calls that have not ended.
  [[nodiscard]] std::size_t InFlight() const;

  /// Waits until all calls have ended.
  /// @return false if some had not by then.
  bool WaitForEnd(base::Instant aLatest);

  /// Reads the recorded result of each call that was accepted or may have run,
  /// and counts what is completed, lost, doubled or mixed up. Call once, after
  /// WaitForEnd().
  void ReadBack();

  /// @return prompts of calls that were refused as not run and never accepted.
  [[nodiscard]] std::vector<std::string_view> NotRunPrompts() const;

private:
  /// What is known of one arrival: its call, and the resend where it has one.
  struct State
  {
    bool accepted_ = false;
    bool refusedNotRun_ = false;
    bool unknown_ = false;
    bool answered_ = false;
    std::uint32_t newlyAccepted_ = 0; ///< Times that it was no duplicate.
    bool hasFirstToken_ = false;
    base::Instant lastToken_;
  };

  void SendOnce(std::size_t aArrival, bool aIsResend);
  caller::CallRequest MakeRequest(std::size_t aArrival) const;
  std::chrono::milliseconds CallTimeout(std::size_t aArrival) const;
  std::string Expected(std::size_t aArrival) const;
  void OnChunk(std::size_t aArrival, std::uint32_t aTokens);
  void OnEnd(std::size_t aArrival, bool aIsResend, const OnlineEnd& aEnd);
  void ReadBackOne(std::size_t aArrival);
  void OnReadBack(std::size_t aArrival,
                  const grpc::Status& aStatus,
                  const caller::ItemResult& aResult);
  bool MustReadBack(const State& aState) const;

  Options options_;
  const client::EntryChannels& channels_;
  Stubs stubs_;
  std::span<const Arrival> arrivals_;
  Recorder& recorder_;
  mutable std::mutex mutex_; ///< Guards all below.
  std::condition_variable ended_;
  std::vector<State> states_;
  std::vector<std::unique_ptr<grpc::Alarm>> resends_;
  std::size_t inFlight_ = 0;
};

} // namespace pumiceturn::load
