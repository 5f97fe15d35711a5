#pragma once

#include "LibEntry/EntryCore.h"

#include <Operator.grpc.pb.h>

#include <memory>

namespace pumiceturn::entry {

/// The operators' RPCs. What waits for the platform runs on the worker pool.
class OperatorService final : public operations::Operator::CallbackService
{
public:
  explicit OperatorService(std::shared_ptr<EntryCore> aCore);

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
  std::shared_ptr<EntryCore> core_;
};

} // namespace pumiceturn::entry
