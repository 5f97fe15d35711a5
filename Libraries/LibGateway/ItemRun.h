#pragma once

#include "LibFleet/EventSplitter.h"
#include "LibGateway/EndpointRun.h"
#include "LibLots/ItemSchedule.h"

#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// One run of a lot's item at an endpoint. Belongs to the event thread.
class ItemRun : public httpstream::CallObserver
{
public:
  /// Called once, unless the run is cancelled.
  using EndHandler = std::function<void(ItemRun&, lots::ItemRunEnd)>;

  ItemRun(Shared& aShared,
          EndHandler aOnEnd,
          std::string aLot,
          std::size_t aItem,
          lots::PartialRun aProgress);

  /// Whose item it is, as endpoints are told.
  struct Sender
  {
    std::string hostName_; ///< Of the request that submitted the lot.
    CallerName caller_;
  };

  void Start(const fleet::EndpointRecord& aEndpoint,
             const lots::LotItem& aItem,
             const Sender& aSender,
             base::Duration aPatience);
  void Cancel();

  /// Lets the next bytes be read. Batch output is read in bulk: nobody waits
  /// for single events, and each reading costs processor time.
  void ReadOn();

  [[nodiscard]] const std::string& EndpointId() const { return endpoint_; }
  [[nodiscard]] const std::string& LotId() const { return lot_; }
  [[nodiscard]] std::size_t Item() const { return item_; }
  [[nodiscard]] const lots::PartialRun& Progress() const { return progress_; }

  /// @return how many events this run has made so far.
  [[nodiscard]] std::uint64_t NewEvents() const
  {
    return progress_.lastEvent_ - firstEvent_;
  }
  [[nodiscard]] base::Instant StartedAt() const { return startedAt_; }
  [[nodiscard]] lots::PartialRun TakeProgress() { return std::move(progress_); }

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(httpstream::CallEnd aEnd) override;

private:
  [[nodiscard]] lots::ItemRunEnd Judge(httpstream::CallEnd aEnd) const;

  Shared& shared_;
  EndHandler onEnd_;
  std::string lot_;
  std::size_t item_;
  std::string endpoint_;
  lots::PartialRun progress_;
  std::uint64_t firstEvent_; ///< After which the run goes on.
  base::Instant startedAt_{};
  fleet::EventSplitter splitter_;
  std::shared_ptr<EndpointRun> run_;
  AnswerNotes notes_;
  unsigned status_ = 0;
};

} // namespace pumiceturn::gateway
