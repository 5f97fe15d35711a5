#pragma once

#include <capnp/message.h>
#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <cstdint>

namespace pumiceturn::wire {

/// Cap'n Proto messages over a socket, each with its length in front. Small
/// ones, heartbeats above all, travel packed: most of their bytes are zeros,
/// and a host that is at rest sends nothing else. Large ones travel as they
/// are, since packing would cost time and their text does not shrink.
class FramedStream final : public capnp::MessageStream
{
public:
  /// @param aStream Outlives this.
  explicit FramedStream(kj::AsyncIoStream& aStream)
    : stream_(aStream)
  {
  }

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> aDescriptors,
    capnp::ReaderOptions aOptions,
    kj::ArrayPtr<capnp::word> aScratch) override;

  kj::Promise<void> writeMessage(
    kj::ArrayPtr<const int> aDescriptors,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> aSegments) override;

  kj::Promise<void> writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> aMessages)
    override;

  kj::Maybe<int> getSendBufferSize() override { return nullptr; }

  kj::Promise<void> end() override;

private:
  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> ReadBody(
    std::uint32_t aHeader,
    capnp::ReaderOptions aOptions);

  kj::AsyncIoStream& stream_;
};

} // namespace pumiceturn::wire
