#pragma once

#include "LibEntry/EntryCore.h"

#include <Caller.grpc.pb.h>

#include <memory>

namespace pumiceturn::entry {

/// Implements the callers' RPCs: checks requests and passes them on. No RPC
/// blocks a thread.
class CallerService final : public caller::Caller::CallbackService
{
public:
  /// Timeout of one request to an owner; longer than a takeover of the
  /// partition.
  static constexpr base::Duration kOwnerTimeout{ std::chrono::seconds{ 10 } };

  explicit CallerService(std::shared_ptr<EntryCore> aCore);

  grpc::ServerWriteReactor<caller::CallEvent>* Call(
    grpc::CallbackServerContext* aContext,
    const caller::CallRequest* aRequest) override;
  grpc::ServerUnaryReactor* CallService(
    grpc::CallbackServerContext* aContext,
    const caller::ServiceCallRequest* aRequest,
    caller::ServiceCallReply* aReply) override;
  grpc::ServerReadReactor<caller::SubmitJobRequest>* SubmitJob(
    grpc::CallbackServerContext* aContext,
    caller::SubmitJobReply* aReply) override;
  grpc::ServerUnaryReactor* GetJob(grpc::CallbackServerContext* aContext,
                                   const caller::GetJobRequest* aRequest,
                                   caller::JobStatus* aReply) override;
  grpc::ServerWriteReactor<caller::ItemResult>* ReadResults(
    grpc::CallbackServerContext* aContext,
    const caller::ReadResultsRequest* aRequest) override;
  grpc::ServerUnaryReactor* CancelJob(grpc::CallbackServerContext* aContext,
                                      const caller::CancelJobRequest* aRequest,
                                      caller::CancelJobReply* aReply) override;
  grpc::ServerUnaryReactor* GetResult(grpc::CallbackServerContext* aContext,
                                      const caller::GetResultRequest* aRequest,
                                      caller::ItemResult* aReply) override;

private:
  std::shared_ptr<EntryCore> core_;
};

} // namespace pumiceturn::entry
