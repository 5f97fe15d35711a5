#pragma once

#include "LibEntry/EntryCore.h"
#include "LibEntry/LotSpool.h"

#include <Caller.pb.h>
#include <grpcpp/support/server_callback.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace pumiceturn::entry {

/// One SubmitJob RPC: reads the items into a spool, then sends them to the
/// owner in frames, one under way at a time. The RPC ends when the owner has
/// all of them durable. Kept alive by itself until gRPC is done with it.
class LotReceiver final
  : public grpc::ServerReadReactor<caller::SubmitJobRequest>
  , public std::enable_shared_from_this<LotReceiver>
{
public:
  /// For one frame; a takeover of the partition takes less.
  static constexpr base::Duration kFramePatience{ std::chrono::seconds{ 20 } };
  static constexpr std::uint32_t kMaxRestarts = 3;
  /// After the end of the items, how long a cancellation may still follow that
  /// was in truth the cause.
  static constexpr base::Duration kCancelWait{ std::chrono::milliseconds{
    20 } };

  /// @param aPartner Who submits.
  /// @param aReply Filled before the RPC ends.
  static std::shared_ptr<LotReceiver> Make(std::shared_ptr<EntryCore> aCore,
                                           declarations::Partner aPartner,
                                           caller::SubmitJobReply* aReply);

  /// Ends the RPC before anything is read.
  void RefuseAtOnce(const grpc::Status& aStatus);
  void Begin();

  void OnReadDone(bool aIsOk) override;
  void OnCancel() override;
  void OnDone() override;

private:
  LotReceiver(std::shared_ptr<EntryCore> aCore,
              declarations::Partner aPartner,
              caller::SubmitJobReply* aReply);

  base::Result<void> TakePart();
  void EndOfItems();
  void EndOfItemsLater();
  void SendFrame();
  void OnFrameReply(std::uint32_t aNext,
                    bool aIsLast,
                    OwnerCalls::Reply aReply);
  void Refuse(const base::Failure& aFailure, base::Ran aRan);
  void Accept(const wire::SubmitReply& aReply);
  bool IsFinished();
  void FinishOnce(const grpc::Status& aStatus);

  std::shared_ptr<EntryCore> core_;
  OpenCall open_;
  declarations::Partner partner_;
  caller::SubmitJobReply* reply_;
  caller::SubmitJobRequest part_;
  std::optional<LotSpool> spool_;
  std::uint32_t nextItem_ = 0;
  std::uint32_t restarts_ = 0;
  std::mutex mutex_;
  bool finished_ = false;
  std::shared_ptr<LotReceiver> self_;
};

} // namespace pumiceturn::entry
