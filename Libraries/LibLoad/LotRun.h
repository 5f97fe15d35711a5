#pragma once

#include "LibClient/Client.h"
#include "LibLoad/Recorder.h"

#include <LoadPlan.pb.h>

#include <condition_variable>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::load {

/// Lets the threads of a run wait for a moment, and be woken early.
class StopSignal
{
public:
  /// @return false when the run is being stopped.
  bool WaitUntil(base::Instant aMoment);
  void Stop();

private:
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isStopped_ = false;
};

/// One lot of a plan: submitted, sent again, its results followed to the end
/// and each compared with what the engine generates.
class LotRun
{
public:
  struct Options
  {
    client::Client::Options client_;
    std::string service_;
    LotPlan plan_;
    std::string jobKey_;
    std::uint32_t maxTokens_ = 0; ///< In force for this lot.
    base::Instant end_; ///< No later than this are results waited for.
  };

  LotRun(Options aOptions,
         std::span<const caller::JobItem> aItems,
         Recorder& aRecorder);

  /// Blocks until all results are there, or the time is over.
  void Run(StopSignal& aStop);

private:
  /// @return whether the lot was accepted.
  bool Submit();
  void SubmitAgain();
  void Follow();
  void Take(const caller::ItemResult& aResult);
  void Conclude();
  void CountRefused(const base::Failure& aFailure);

  Options options_;
  std::span<const caller::JobItem> items_;
  Recorder& recorder_;
  client::Client client_;
  std::vector<bool> hasResult_;
  std::int64_t dueUnixMs_ = 0;
};

} // namespace pumiceturn::load
