#pragma once

#include "LibBase/Strand.h"
#include "LibConfiguration/ConfigurationStore.h"
#include "LibEntry/EntryCore.h"

#include <Operator.grpc.pb.h>

#include <atomic>
#include <functional>
#include <memory>

namespace pumiceturn::entry {

/// Implements the operators' RPCs. Calls that block on the platform run one
/// after the other on the worker pool, so that a slow platform occupies at most
/// one pool thread.
class OperatorService final : public operations::Operator::CallbackService
{
public:
  /// Maximum number of queued platform calls; further ones are refused.
  static constexpr int kMaxQueued = 32;

  explicit OperatorService(std::shared_ptr<EntryCore> aCore);

  grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* aContext,
                                  const operations::ApplyRequest* aRequest,
                                  operations::ApplyReply* aReply) override;
  grpc::ServerUnaryReactor* GetConfiguration(
    grpc::CallbackServerContext* aContext,
    const operations::GetConfigurationRequest* aRequest,
    declarations::Configuration* aReply) override;
  grpc::ServerUnaryReactor* History(grpc::CallbackServerContext* aContext,
                                    const operations::HistoryRequest* aRequest,
                                    operations::HistoryReply* aReply) override;
  grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* aContext,
                                  const operations::DrainRequest* aRequest,
                                  operations::DrainReply* aReply) override;
  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* aContext,
                                   const operations::StatusRequest* aRequest,
                                   operations::StatusReply* aReply) override;
  grpc::ServerUnaryReactor* Quarantine(
    grpc::CallbackServerContext* aContext,
    const operations::QuarantineRequest* aRequest,
    operations::QuarantineReply* aReply) override;
  grpc::ServerUnaryReactor* LiftQuarantine(
    grpc::CallbackServerContext* aContext,
    const operations::LiftQuarantineRequest* aRequest,
    operations::LiftQuarantineReply* aReply) override;

private:
  /// Runs a blocking function after those queued before it and finishes the RPC
  /// with the returned status.
  grpc::ServerUnaryReactor* RunSerially(grpc::CallbackServerContext* aContext,
                                        std::function<grpc::Status()> aStep);
  grpc::Status DoApply(const operations::ApplyRequest& aRequest,
                       operations::ApplyReply& aReply);
  grpc::Status DoGet(std::uint64_t aVersion,
                     declarations::Configuration& aReply);
  grpc::Status DoHistory(std::uint32_t aLimit,
                         operations::HistoryReply& aReply);
  grpc::Status DoDrain(const operations::DrainRequest& aRequest,
                       operations::DrainReply& aReply);

  std::shared_ptr<EntryCore> core_;
  configuration::ConfigurationStore store_;
  base::Strand strand_;
  std::atomic<int> queued_{ 0 };
};

} // namespace pumiceturn::entry
