#pragma once

#include "LibEntry/EntryCore.h"
#include "LibEntry/JobSpool.h"

#include <Caller.pb.h>
#include <grpcpp/support/server_callback.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace pumiceturn::entry {

/// Handles one SubmitJob RPC: reads the items into a spool, then sends them to
/// the owner, one frame at a time. The RPC finishes when the owner has made all
/// of them durable. Owns itself until gRPC calls OnDone().
class JobReceiver final
  : public grpc::ServerReadReactor<caller::SubmitJobRequest>
  , public std::enable_shared_from_this<JobReceiver>
{
public:
  /// Timeout of one frame; longer than a takeover of the partition.
  static constexpr base::Duration kFrameTimeout{ std::chrono::seconds{ 20 } };
  /// How often the job may be sent again from its first item after a takeover.
  static constexpr std::uint32_t kMaxRestarts = 3;
  /// How long to wait for OnCancel() after a failed read, which means either
  /// the end of the items or a broken connection.
  static constexpr base::Duration kCancelGracePeriod{ std::chrono::milliseconds{
    20 } };

  /// @param aPartner The authenticated submitter.
  /// @param aReply Filled before the RPC finishes.
  static std::shared_ptr<JobReceiver> Make(std::shared_ptr<EntryCore> aCore,
                                           declarations::Partner aPartner,
                                           caller::SubmitJobReply* aReply);

  /// Finishes the RPC before reading any message.
  void RefuseImmediately(const grpc::Status& aStatus);
  void Begin();

  void OnReadDone(bool aIsOk) override;
  void OnCancel() override;
  void OnDone() override;

private:
  JobReceiver(std::shared_ptr<EntryCore> aCore,
              declarations::Partner aPartner,
              caller::SubmitJobReply* aReply);

  base::Result<void> ProcessMessage();
  void OnEndOfItems();
  void ScheduleEndOfItems();
  void SendFrame();
  void OnFrameReply(std::uint32_t aNext,
                    bool aIsLast,
                    OwnerCalls::ReplyOrFailure aReply);
  void Refuse(const base::Failure& aFailure, base::Ran aRan);
  void Accept(const wire::SubmitReply& aReply);
  bool IsFinished();
  void FinishOnce(const grpc::Status& aStatus);

  std::shared_ptr<EntryCore> core_;
  OpenCall open_;
  declarations::Partner partner_;
  caller::SubmitJobReply* reply_;
  caller::SubmitJobRequest message_;
  std::optional<JobSpool> spool_;
  std::uint32_t nextItem_ = 0;
  std::uint32_t restarts_ = 0;
  std::mutex mutex_;
  bool finished_ = false;
  std::shared_ptr<JobReceiver> self_;
};

} // namespace pumiceturn::entry
