#include "LibClient/EntryChannels.h"

#include <cassert>

namespace pumiceturn::client {

namespace {

constexpr int kConnectTimeoutMs = 2000;
constexpr int kReconnectMs = 200;
constexpr int kMaxReconnectMs = 2000;
constexpr int kKeepaliveMs = 20'000;
constexpr int kKeepaliveTimeoutMs = 5000;

grpc::ChannelArguments
MakeArguments()
{
  grpc::ChannelArguments arguments;
  // It is also the time allowed for one connection attempt.
  arguments.SetInt("grpc.min_reconnect_backoff_ms", kConnectTimeoutMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  // A connection that something in between forgot never reports an error; a
  // ping without an answer ends it, and the call goes to the next entry.
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetMaxReceiveMessageSize(-1);
  return arguments;
}

} // namespace

EntryChannels::EntryChannels(const std::vector<std::string>& aAddresses,
                             std::string aToken)
{
  assert(!aAddresses.empty());
  for (const std::string& address : aAddresses) {
    channels_.push_back(grpc::CreateCustomChannel(
      address, grpc::InsecureChannelCredentials(), MakeArguments()));
  }
  if (!aToken.empty()) {
    authorization_ = "Bearer " + std::move(aToken);
  }
}

std::unique_ptr<caller::Caller::Stub>
EntryChannels::MakeCallerStub(std::size_t aEntry) const
{
  return caller::Caller::NewStub(channels_.at(aEntry));
}

std::unique_ptr<operations::Operator::Stub>
EntryChannels::MakeOperatorStub(std::size_t aEntry) const
{
  return operations::Operator::NewStub(channels_.at(aEntry));
}

void
EntryChannels::Prepare(grpc::ClientContext& aContext,
                       std::chrono::milliseconds aTimeout) const
{
  if (!authorization_.empty()) {
    aContext.AddMetadata("authorization", authorization_);
  }
  if (aTimeout.count() > 0) {
    aContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
  }
}

} // namespace pumiceturn::client
