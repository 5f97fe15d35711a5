#pragma once

#include "LibEntry/EntryCore.h"

#include <Caller.pb.h>
#include <grpcpp/support/server_callback.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace pumiceturn::entry {

/// Handles one CallService RPC: an online request with a single reply. Owns
/// itself until gRPC calls OnDone().
class ServiceCall final
  : public grpc::ServerUnaryReactor
  , public std::enable_shared_from_this<ServiceCall>
{
public:
  /// @param aReply Filled before the RPC finishes.
  static std::shared_ptr<ServiceCall> Make(std::shared_ptr<EntryCore> aCore,
                                           caller::ServiceCallReply* aReply);

  void RefuseImmediately(const grpc::Status& aStatus);
  void Begin(OnlineDescription aDescription);

  void OnCancel() override;
  void OnDone() override;

private:
  ServiceCall(std::shared_ptr<EntryCore> aCore,
              caller::ServiceCallReply* aReply);

  void OnEmission(OnlineAction aEmission);
  void FinishOnce(const grpc::Status& aStatus);

  std::shared_ptr<EntryCore> core_;
  OpenCall open_;
  caller::ServiceCallReply* reply_;
  std::string key_;
  std::mutex mutex_;
  std::uint64_t call_ = 0; ///< 0 before Begin().
  bool cancelled_ = false;
  bool finished_ = false;
  std::shared_ptr<ServiceCall> self_;
};

} // namespace pumiceturn::entry
