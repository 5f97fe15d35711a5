#pragma once

#include <Caller.grpc.pb.h>
#include <Operator.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::client {

/// Channels to the entries of one fleet. Thread-safe.
class EntryChannels
{
public:
  /// @param aAddresses IP:port of each entry, at least one.
  /// @param aToken     Access token sent with each call; may be empty.
  EntryChannels(const std::vector<std::string>& aAddresses, std::string aToken);

  [[nodiscard]] std::size_t Count() const { return channels_.size(); }

  [[nodiscard]] std::unique_ptr<caller::Caller::Stub> MakeCallerStub(
    std::size_t aEntry) const;
  [[nodiscard]] std::unique_ptr<operations::Operator::Stub> MakeOperatorStub(
    std::size_t aEntry) const;

  /// Puts the token into a call's metadata, and its deadline.
  /// @param aTimeout 0: no deadline.
  void Prepare(grpc::ClientContext& aContext,
               std::chrono::milliseconds aTimeout) const;

private:
  std::vector<std::shared_ptr<grpc::Channel>> channels_;
  std::string authorization_;
};

} // namespace pumiceturn::client
