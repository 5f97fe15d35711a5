#pragma once

#include "LibBatch/ItemSchedule.h"
#include "LibFleet/CrashEvidence.h"
#include "LibFleet/EventNumbering.h"
#include "LibFleet/EventSplitter.h"
#include "LibFleet/SilencePolicy.h"
#include "LibFleet/StreamProgress.h"
#include "LibGateway/EndpointAttempt.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// One attempt to run a job's item at an endpoint. Must be used on the event
/// thread.
class ItemAttempt : public httpstream::CallObserver
{
public:
  /// How long an endpoint may send bytes without completing a new event.
  static constexpr std::chrono::seconds kMaxTimeWithoutEvent{ 10 };

  /// Called once when the attempt ends, unless it is cancelled.
  using EndHandler =
    std::function<void(ItemAttempt&, batch::ItemAttemptOutcome)>;

  ItemAttempt(SharedState& aShared,
              EndHandler aOnEnd,
              std::string aJob,
              std::size_t aItem,
              batch::PartialOutput aProgress);

  /// Host name and organisation that are sent to the endpoint.
  struct RequestOrigin
  {
    std::string hostName_; ///< Host header of the submitting request.
    OrganisationName caller_;
  };

  void Start(const fleet::EndpointRecord& aEndpoint,
             const batch::BatchItem& aItem,
             const RequestOrigin& aOrigin,
             base::Duration aTimeLimit);
  void Cancel();

  /// Resumes reading the response. Reading pauses after each chunk until the
  /// next tick, so that larger chunks accumulate. This saves CPU time.
  void ResumeReading();

  [[nodiscard]] const std::string& EndpointId() const { return endpoint_; }
  /// @return the service of the endpoint. Start() must have been called.
  [[nodiscard]] const std::string& Service() const
  {
    return endpointAttempt_->Endpoint().service_;
  }
  [[nodiscard]] const std::string& JobId() const { return job_; }
  [[nodiscard]] std::size_t Item() const { return item_; }
  [[nodiscard]] const fleet::RequestFeatures& Features() const
  {
    return features_;
  }
  [[nodiscard]] const batch::PartialOutput& Progress() const
  {
    return progress_;
  }

  /// @return the number of events that this attempt has produced.
  [[nodiscard]] std::uint64_t NewEvents() const
  {
    return progress_.lastEvent_ - resumedAfter_;
  }
  [[nodiscard]] base::Instant StartedAt() const { return startedAt_; }
  /// @return the status of the response; 0 if its head hasn't arrived.
  [[nodiscard]] unsigned Status() const { return status_; }
  /// @return how the attempt ends if it is cancelled now in favour of other
  ///         work.
  [[nodiscard]] batch::ItemAttemptOutcome OutcomeIfCancelled() const;

  [[nodiscard]] batch::PartialOutput ReleaseProgress()
  {
    return std::move(progress_);
  }

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  httpstream::SilenceDecision OnSilence(
    const httpstream::Silence& aSilence) override;
  void OnEnd(httpstream::CallOutcome aOutcome) override;

private:
  /// @return what could take over from this attempt.
  [[nodiscard]] fleet::Replacement FindReplacement(
    const fleet::EndpointRecord& aEndpoint);
  /// @return whether an event was new.
  bool TakeEvents();
  void AppendEvent(const fleet::StreamEvent& aEvent);
  /// Adds the events without a number to the output. They belong to it once the
  /// response has gone on after them: its rest can be asked for only after an
  /// event with a number.
  void AppendUnnumbered();
  /// Drops what this attempt has brought. A text that is far too long can't be
  /// gone on with at another endpoint.
  void DropNewOutput();
  /// Ends an attempt whose response isn't the item's output, is too large, or
  /// brings bytes but no new event for too long.
  /// @param aHasAdvanced Whether the last bytes completed a new event.
  /// @return whether the attempt was ended.
  bool RejectFaultyResponse(bool aHasAdvanced);
  /// Records whether the endpoint crashed or lived on.
  void RecordForCrashes(httpstream::CallOutcome aOutcome,
                        batch::ItemAttemptOutcome aItemOutcome);
  [[nodiscard]] batch::ItemAttemptOutcome Classify(
    httpstream::CallOutcome aOutcome) const;
  /// @return the outcome that the status says, however the response ends; empty
  ///         if it says none.
  [[nodiscard]] std::optional<batch::ItemAttemptOutcome> OutcomeByStatus()
    const;

  SharedState& shared_;
  EndHandler onEnd_;
  std::string job_;
  std::size_t item_;
  std::string endpoint_;
  batch::PartialOutput progress_;
  std::uint64_t resumedAfter_;    ///< Last event before this attempt.
  std::size_t resumedAfterBytes_; ///< Size of the output before this attempt.
  std::size_t receivedBytes_ = 0; ///< Of the body.
  fleet::StreamProgress streamProgress_{ kMaxTimeWithoutEvent };
  base::Instant startedAt_{};
  fleet::RequestFeatures features_;
  fleet::EventSplitter splitter_;
  fleet::EventNumbering numbering_;
  bool hasEventElsewhere_ = false; ///< Of another number than the next one.
  bool hasOutput_;                 ///< Of this attempt or an earlier one.
  std::vector<std::string> unnumbered_; ///< Data of the last events.
  std::string itemId_;
  std::shared_ptr<EndpointAttempt> endpointAttempt_;
  ResponseInfo responseInfo_;
  /// Its version isn't known, so its events aren't joined.
  bool isFromOtherEndpoint_ = false;
  unsigned status_ = 0;
  bool namesItem_ = false; ///< The response does, so it belongs to this item.
  bool isSilenceLogged_ = false;
};

} // namespace pumiceturn::gateway
