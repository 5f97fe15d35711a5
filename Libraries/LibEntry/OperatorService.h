#pragma once

#include "LibBase/Strand.h"
#include "LibConfiguration/ConfigurationStore.h"
#include "LibEntry/EntryCore.h"

#include <Operator.grpc.pb.h>

#include <atomic>
#include <functional>
#include <memory>

namespace pumiceturn::entry {

/// The operators' RPCs. Those that wait for the platform run one after the
/// other on the worker pool: while the platform is slow they hold one of its
/// threads, not all.
class OperatorService final : public operations::Operator::CallbackService
{
public:
  /// Orders that may wait for their turn; more are refused.
  static constexpr int kMaxWaiting = 32;

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
  /// Runs a blocking step in turn and ends the RPC with its status.
  grpc::ServerUnaryReactor* RunInTurn(grpc::CallbackServerContext* aContext,
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
  std::atomic<int> waiting_{ 0 };
};

} // namespace pumiceturn::entry
