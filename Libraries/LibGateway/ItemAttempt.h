#pragma once

#include "LibBatch/ItemSchedule.h"
#include "LibFleet/EventSplitter.h"
#include "LibGateway/EndpointAttempt.h"

#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// One run of a job's item at an endpoint. Belongs to the event thread.
class ItemAttempt : public httpstream::CallObserver
{
public:
  /// Called once, unless the run is cancelled.
  using EndHandler =
    std::function<void(ItemAttempt&, batch::ItemAttemptOutcome)>;

  ItemAttempt(SharedState& aShared,
              EndHandler aOnEnd,
              std::string aJob,
              std::size_t aItem,
              batch::PartialOutput aProgress);

  /// Whose item it is, as endpoints are told.
  struct Sender
  {
    std::string hostName_; ///< Of the request that submitted the job.
    CallerName caller_;
  };

  void Start(const fleet::EndpointRecord& aEndpoint,
             const batch::BatchItem& aItem,
             const Sender& aSender,
             base::Duration aClientTimeout);
  void Cancel();

  /// Lets the next bytes be read. Batch output is read in bulk: nobody waits
  /// for single events, and each reading costs processor time.
  void ReadOn();

  [[nodiscard]] const std::string& EndpointId() const { return endpoint_; }
  [[nodiscard]] const std::string& JobId() const { return job_; }
  [[nodiscard]] std::size_t Item() const { return item_; }
  [[nodiscard]] const batch::PartialOutput& Progress() const
  {
    return progress_;
  }

  /// @return how many events this run has made so far.
  [[nodiscard]] std::uint64_t NewEvents() const
  {
    return progress_.lastEvent_ - firstEvent_;
  }
  [[nodiscard]] base::Instant StartedAt() const { return startedAt_; }
  [[nodiscard]] batch::PartialOutput TakeProgress()
  {
    return std::move(progress_);
  }

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(httpstream::CallOutcome aEnd) override;

private:
  [[nodiscard]] batch::ItemAttemptOutcome Check(
    httpstream::CallOutcome aEnd) const;

  SharedState& shared_;
  EndHandler onEnd_;
  std::string job_;
  std::size_t item_;
  std::string endpoint_;
  batch::PartialOutput progress_;
  std::uint64_t firstEvent_; ///< After which the run goes on.
  base::Instant startedAt_{};
  fleet::EventSplitter splitter_;
  std::shared_ptr<EndpointAttempt> run_;
  ResponseInfo responseInfo_;
  unsigned status_ = 0;
};

} // namespace pumiceturn::gateway
